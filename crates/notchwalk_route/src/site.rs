//! What an operator configures for routed requests.

use std::time::Duration;

/// A whole configuration. Versions only rise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// The version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: ClientLimits,
    /// Workspaces and their keys; `None` if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// What may be done with a request that was sent and did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    Once,
    /// A stream that may be picked up after the last event that was delivered.
    Resumable,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host it belongs to.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// What may be repeated.
    pub repeatability: Repeatability,
    /// How long a request may be held.
    pub timeout: Duration,
    /// The latency objective: to the whole answer, or to the first event.
    pub objective: Duration,
    /// The longest pause between events that is still in time.
    pub pause_objective: Option<Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
    /// The services, with weights.
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
    /// Connections one server accepts from all callers together.
    pub max_connections: u32,
    /// The costs of its model engines; `None` for a plain service.
    pub engine: Option<EngineParameters>,
}

/// Figures of a model engine, as its operator states them.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens of context.
    pub memory_tokens: u64,
    /// Token steps in a pass while any request generates.
    pub steps_per_pass: f64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds added to a step for each generating request.
    pub sequence_ms: f64,
    /// Milliseconds added to a step for each 1,000 tokens of context.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a prompt token and an earlier one.
    pub pair_ms_per_million: f64,
    /// Prompt tokens read in one step at most.
    pub chunk_tokens: u32,
    /// Milliseconds added to a step when a prompt is spread over engines.
    pub hop_ms: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may lie idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace and the keys that act for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name, as backend servers get it.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank, 0 first; goes before that of the route.
    pub priority: u8,
}
