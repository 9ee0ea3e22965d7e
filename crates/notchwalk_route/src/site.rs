//! The configuration of routed requests.

use std::time::Duration;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// The version, which only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Workspaces and their keys; `None` if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Whether a failed request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// It is a stream that may be resumed after the last delivered event.
    Resumable,
}

/// A route for requests to a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host name.
    pub host: String,
    /// The path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether a failed request may be sent again.
    pub repeatability: Repeatability,
    /// Maximum time for a request.
    pub timeout: Duration,
    /// Latency objective: to the first event of a stream, otherwise to the complete
    /// response.
    pub objective: Duration,
    /// Inter-token latency objective: the maximum time between two events.
    pub inter_token_objective: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of servers that a request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The services and their weights.
    pub backends: Vec<Backend>,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// A service that servers register for.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// Maximum number of connections that a server accepts from all clients together.
    pub max_connections: u32,
    /// The cost parameters of its model engines; `None` for a plain service.
    pub engine: Option<EngineParameters>,
}

/// Cost parameters of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Memory capacity, in context tokens.
    pub memory_tokens: u64,
    /// Token steps per engine step while any request decodes.
    pub decode_steps_per_engine_step: f64,
    /// Base duration of a token step, in milliseconds.
    pub decode_step_ms: f64,
    /// Time added to a token step per decoding request, in milliseconds.
    pub sequence_ms: f64,
    /// Time added to a token step per 1,000 context tokens, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prefill throughput, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost of prefill, in milliseconds per million pairs of a prompt token and an
    /// earlier one.
    pub pair_ms_per_million: f64,
    /// Maximum number of prompt tokens that are prefilled in one token step.
    pub chunk_tokens: u32,
    /// Time added to a token step if the prompt is split over several engines, in
    /// milliseconds.
    pub split_step_ms: f64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name, as sent to backend servers.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Priority; 0 is the highest. It takes precedence over the priority of the route.
    pub priority: u32,
}
