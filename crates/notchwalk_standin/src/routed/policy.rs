//! The routing policies that are compared, and the site configuration they share.

use std::{net::SocketAddr, time::Duration};

use notchwalk_route::{
    Backend, EngineParameters, Repeatability, Route, ServerRecord, ServerStage, Service, SiteConfig,
};

use super::traffic::KINDS;

/// Number of engines.
pub(crate) const ENGINES: usize = 18;
const SERVICE: &str = "engines";
/// One-way latency between a node and an engine or a peer.
pub(crate) const NETWORK_LATENCY: Duration = Duration::from_millis(1);

/// Returns the parameters of the engines.
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

/// A routing policy: the number of nodes, and the updates that they exchange.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name, as reported and as selected on the command line.
    pub name: &'static str,
    /// Number of nodes. Requests are distributed evenly over them.
    pub nodes: usize,
    /// How nodes publish their work on the engines to peers; `None` if they don't.
    pub updates: Option<PeerUpdates>,
}

/// How nodes publish updates to peers.
#[derive(Clone, Copy, Debug)]
pub struct PeerUpdates {
    /// Whether changes are published immediately instead of on the next tick.
    pub immediate: bool,
    /// One-way latency of a message.
    pub latency: Duration,
}

/// The policies that are compared.
pub const POLICIES: [Policy; 5] = [
    Policy {
        name: "product",
        nodes: 6,
        updates: Some(PeerUpdates {
            immediate: true,
            latency: NETWORK_LATENCY,
        }),
    },
    Policy {
        name: "one_entry",
        nodes: 1,
        updates: None,
    },
    Policy {
        name: "told_on_ticks",
        nodes: 6,
        updates: Some(PeerUpdates {
            immediate: false,
            latency: NETWORK_LATENCY,
        }),
    },
    Policy {
        name: "late_knowledge",
        nodes: 6,
        updates: Some(PeerUpdates {
            immediate: true,
            latency: Duration::from_millis(250),
        }),
    },
    Policy {
        name: "no_knowledge",
        nodes: 6,
        updates: None,
    },
];

/// Returns the site configuration, with one route for each kind of request.
pub(crate) fn site() -> SiteConfig {
    let routes = KINDS.iter().map(|kind| Route {
        name: kind.name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{}/", kind.name),
        streaming: true,
        repeatability: Repeatability::Resumable,
        timeout: kind.caller_timeout,
        objective: kind.objective,
        inter_token_objective: Some(kind.inter_token_objective),
        priority: 1,
        max_attempts: 2,
        is_public: true,
        backends: vec![Backend {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
    });
    SiteConfig {
        version: 1,
        routes: routes.collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            max_connections: 424,
            engine: Some(parameters()),
        }],
        ..SiteConfig::default()
    }
}

/// Returns the registration of an engine.
pub(crate) fn server_record(engine: usize) -> ServerRecord {
    ServerRecord {
        instance: format!("engine-{engine}"),
        started_ms: None,
        service: SERVICE.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, engine as u8], 80)),
        failure_domain: "a".to_owned(),
        slots: parameters().slots,
        stage: ServerStage::Ready,
    }
}
