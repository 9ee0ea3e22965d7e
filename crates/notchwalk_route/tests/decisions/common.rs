//! A router with a small fleet, and functions that send it events.

use std::{collections::HashMap, sync::Arc, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};
use notchwalk_route::{
    Assignment, AttemptEnd, Backend, DrainSchedule, Effect, EngineParameters, Event, ForwardedSend,
    Forwarding, LimitSharing, PeerStatus, Refusal, Repeatability, RequestFacts, RequestKey, Route,
    RouteLookup, Router, RouterConfig, ServerChange, ServerKey, ServerRecord, ServerStage, Service,
    SiteConfig, Workspace, WorkspaceShortId,
};

pub const ENGINES: &str = "engines";
pub const PLAIN_SERVICE: &str = "desk";

pub fn parameters() -> EngineParameters {
    EngineParameters {
        slots: 16,
        memory_tokens: 315_000,
        decode_steps_per_engine_step: 51.0,
        decode_step_ms: 0.85,
        sequence_ms: 0.00425,
        context_ms_per_k: 0.00285,
        prefill_tokens_per_ms: 177.0,
        pair_ms_per_million: 0.184,
        chunk_tokens: 2_048,
        split_step_ms: 0.05,
    }
}

pub fn route(prefix: &str, service: &str, repeatability: Repeatability) -> Route {
    let streaming = repeatability == Repeatability::Resumable;
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        streaming,
        repeatability,
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(300),
        inter_token_objective: streaming.then_some(Duration::from_millis(250)),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        backends: vec![Backend {
            service: service.to_owned(),
            weight: 1,
        }],
    }
}

pub fn site() -> SiteConfig {
    let long = Route {
        objective: Duration::from_secs(3),
        inter_token_objective: Some(Duration::from_secs(1)),
        timeout: Duration::from_secs(15),
        ..route("/long/", ENGINES, Repeatability::Resumable)
    };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        max_connections: 100,
        engine,
    };
    SiteConfig {
        version: 1,
        routes: vec![
            route("/short/", ENGINES, Repeatability::Resumable),
            route("/short/special/", PLAIN_SERVICE, Repeatability::Idempotent),
            long,
            route("/once/", PLAIN_SERVICE, Repeatability::AtMostOnce),
            route("/again/", PLAIN_SERVICE, Repeatability::Idempotent),
        ],
        services: vec![
            service(ENGINES, Some(parameters())),
            service(PLAIN_SERVICE, None),
        ],
        workspaces: Some(vec![Workspace {
            name: "riggers".to_owned(),
            keys: vec!["key".to_owned()],
            priority: 0,
        }]),
        ..SiteConfig::default()
    }
}

/// Returns the fingerprint of a request with this body.
pub fn content(body: &str) -> Fingerprint {
    let mut builder = FingerprintBuilder::new(&RequestHead {
        workspace: None,
        method: "POST",
        host: "a.example",
        target: "/",
    });
    builder.update(body.as_bytes());
    builder.finish()
}

pub fn record(service: &str, number: u8) -> ServerRecord {
    ServerRecord {
        instance: format!("{service}-{number}"),
        started_ms: None,
        service: service.to_owned(),
        addr: format!("10.0.{}.{number}:80", service.len())
            .parse()
            .unwrap(),
        failure_domain: "a".to_owned(),
        slots: 16,
        stage: ServerStage::Ready,
    }
}

/// A node under test: its router, its clock and the emitted effects.
pub struct TestRouter {
    pub router: Router,
    pub now: Instant,
    pub effects: Vec<Effect>,
    /// Workspace of the requests that arrive.
    pub workspace: WorkspaceShortId,
    /// Content of the requests that arrive; `None` gives each request different content.
    pub shared_parts: Vec<Fingerprint>,
    pub content: Option<Fingerprint>,
    /// How the sends of the requests that arrive count, if peers forward them.
    pub forwarded: Option<ForwardedSend>,
    /// The servers that the peers that forward them exclude.
    pub excluded_servers: Vec<u32>,
    /// Whether each check of links passes at once. Otherwise the test reports the results.
    pub passes_link_checks: bool,
    arrivals: u64,
}

impl TestRouter {
    pub fn new() -> Self {
        Self::with_engines("entry-1", 18)
    }

    /// Creates the router of a node that has run long enough to receive its peers' work.
    pub fn with_engines(name: &str, engines: u8) -> Self {
        let mut node = Self::just_started(name, engines);
        node.advance(Duration::from_secs(5));
        node
    }

    /// Creates the router of a node that has just started.
    pub fn just_started(name: &str, engines: u8) -> Self {
        Self::just_started_at(name, 1, engines, Instant::from_millis(1_000))
    }

    /// Creates the router of a node that started at this time.
    pub fn just_started_at(name: &str, boot: u64, engines: u8, now: Instant) -> Self {
        let router = Router::new(RouterConfig {
            name: name.to_owned(),
            failure_domain: "a".to_owned(),
            retry_ratio: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
            boot,
            seed: 7,
        });
        let mut node = Self {
            router,
            now,
            effects: Vec::new(),
            workspace: WorkspaceShortId::default(),
            shared_parts: Vec::new(),
            content: None,
            forwarded: None,
            excluded_servers: Vec::new(),
            passes_link_checks: true,
            arrivals: 0,
        };
        node.step(Event::NodeCount { count: 1 });
        node.step(Event::LimitSharing(LimitSharing::new(name, 1, 1)));
        node.step(Event::Configured(site()));
        let engines = (0..engines).map(|number| record(ENGINES, number));
        let plain_servers = (0..3).map(|number| record(PLAIN_SERVICE, number));
        let servers = engines.chain(plain_servers).collect();
        node.step(Event::Servers(ServerChange::All(servers)));
        node
    }

    pub fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.step(self.now, event, &mut out);
        let checks = out.iter().filter_map(|effect| match effect {
            Effect::CheckLinks { service, .. } if self.passes_link_checks => Some(service.clone()),
            _ => None,
        });
        let checks: Vec<String> = checks.collect();
        self.effects.extend(out);
        for service in checks {
            let passed = true;
            self.step(Event::LinksChecked { service, passed });
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now.after(time);
        self.step(Event::Tick);
    }

    pub fn route(&self, path: &str) -> Arc<Route> {
        match self.router.routes().lookup("a.example", path, Some("key")) {
            RouteLookup::Found { route, .. } => route,
            other => panic!("{path}: {other:?}"),
        }
    }

    pub fn arrive(&mut self, path: &str, prompt_tokens: u32) -> RequestKey {
        self.arrive_retry(path, prompt_tokens, Duration::ZERO)
    }

    /// Sends a request of a caller whose first attempt was `since_first_attempt` ago.
    pub fn arrive_retry(
        &mut self,
        path: &str,
        prompt_tokens: u32,
        since_first_attempt: Duration,
    ) -> RequestKey {
        let route = self.route(path);
        let caller_timeout = route.timeout - since_first_attempt;
        self.arrivals += 1;
        let default_content = content(&self.arrivals.to_string());
        let facts = RequestFacts {
            forwarded: self.forwarded,
            excluded_servers: self.excluded_servers.clone(),
            workspace: self.workspace,
            workspace_priority: 0,
            arrived_at: self.now,
            caller_timeout,
            deadline: self.now.after(caller_timeout),
            prompt_tokens,
            output_tokens: 800,
            route,
            content: self.content.unwrap_or(default_content),
            shared_parts: self.shared_parts.clone(),
        };
        let request = self.router.new_request();
        self.step(Event::Arrived { request, facts });
        request
    }

    pub fn end_attempt(&mut self, request: RequestKey, end: AttemptEnd) {
        self.step(Event::AttemptEnded { request, end });
    }

    /// Takes the sends emitted since the last call.
    pub fn take_sends(&mut self) -> Vec<(RequestKey, Assignment)> {
        let mut sends = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Send { request, to } => {
                sends.push((*request, to.clone()));
                false
            }
            _ => true,
        });
        sends
    }

    pub fn take_only_send(&mut self) -> Assignment {
        let mut sends = self.take_sends();
        assert_eq!(sends.len(), 1, "{sends:?}");
        sends.remove(0).1
    }

    /// Takes the forwardings to peers emitted since the last call.
    pub fn take_forwards(&mut self) -> Vec<(RequestKey, Forwarding)> {
        let mut forwards = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Forward { request, to } => {
                forwards.push((*request, to.clone()));
                false
            }
            _ => true,
        });
        forwards
    }

    /// Receives the status of a peer that does not reach these services.
    pub fn receive_status(&mut self, peer: u32, unreachable_services: &[u32]) {
        let status = PeerStatus {
            name: format!("entry-{peer}"),
            addr: format!("10.1.0.{peer}:7000").parse().unwrap(),
            is_in_group: true,
            accepts_requests: true,
            config_version: 1,
            unreachable_services: unreachable_services.to_vec(),
            ttl: Duration::from_secs(1),
        };
        self.step(Event::PeerStatus { peer, status });
    }

    /// Checks the links to a service, after a silence; `opened` servers accept a connection.
    /// From then on, no check passes by itself.
    pub fn check_links(&mut self, service: &str, opened: u32) {
        self.passes_link_checks = false;
        let server = self.router.fleet().of_service(service)[0];
        self.advance(Duration::from_millis(500));
        self.step(Event::ServiceSilent { server });
        self.step(Event::LinksChecked {
            service: service.to_owned(),
            passed: opened > 0,
        });
    }

    pub fn refusals(&self) -> Vec<Refusal> {
        let reasons = self.effects.iter().filter_map(|effect| match effect {
            Effect::Refuse { reason, .. } => Some(*reason),
            _ => None,
        });
        reasons.collect()
    }

    /// Broadcasts the node's work on all servers to another node's router.
    pub fn broadcast_work_to(&self, other: &mut Self, peer: u32) {
        let (servers, work) = self.router.all_own_work(self.now);
        other.step(Event::PeerWork {
            peer,
            servers,
            work,
        });
    }
}

/// Returns the schedule of a node that starts to shut down now and exits after 7.6 s.
pub fn drain_schedule(now: Instant) -> DrainSchedule {
    let after_ms = |ms| now.after(Duration::from_millis(ms));
    DrainSchedule {
        started_at: now,
        unlisted_at: after_ms(2_000),
        refuses_callers_from: after_ms(3_000),
        refuses_peers_from: after_ms(6_100),
        responses_end_at: after_ms(7_400),
        exits_at: after_ms(7_600),
    }
}

/// Returns a registration of a plain server with the start time of its incarnation.
pub fn plain_server(number: u8, started_ms: u64) -> ServerRecord {
    ServerRecord {
        started_ms: Some(started_ms),
        ..record(PLAIN_SERVICE, number)
    }
}

/// Registers a server, or updates its registration.
pub fn register(node: &mut TestRouter, record: ServerRecord) {
    node.step(Event::Servers(ServerChange::Registered(record)));
}

/// Returns the key of a registered server.
pub fn server_key(node: &TestRouter, service: &str, number: u8) -> ServerKey {
    let instance = record(service, number).instance;
    let fleet = node.router.fleet();
    fleet.by_instance(&instance).expect("server is registered")
}

/// Counts the requests sent to each server.
pub fn count_by_server(sends: &[(RequestKey, Assignment)]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for (_, to) in sends {
        *counts.entry(to.instance.clone()).or_default() += 1;
    }
    counts
}
