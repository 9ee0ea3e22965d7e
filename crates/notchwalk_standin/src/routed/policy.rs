//! What is compared, and the site that all policies play on.

use std::{net::SocketAddr, time::Duration};

use notchwalk_route::{
    Backend, EngineParameters, Repeatability, Route, ServerRecord, ServerStage, Service, SiteConfig,
};

use super::traffic::KINDS;

/// Engines, as on the users' sites.
pub(crate) const ENGINES: usize = 18;
const SERVICE: &str = "engines";
/// One way between an entry and an engine, or another entry.
pub(crate) const TO_SERVER: Duration = Duration::from_millis(1);
/// The figures of the users' engines.
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
        hop_ms: 0.05,
    }
}

/// Who decides, and on which knowledge.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Entries that callers are spread over.
    pub entries: usize,
    /// How entries tell each other what they have on the engines; `None` for
    /// not at all.
    pub telling: Option<Telling>,
}

/// How entries tell each other.
#[derive(Clone, Copy, Debug)]
pub struct Telling {
    /// Whether they tell at once, or on their ticks.
    pub at_once: bool,
    /// How long a message takes.
    pub takes: Duration,
}

/// The policies that are compared.
pub const POLICIES: [Policy; 5] = [
    Policy {
        name: "product",
        entries: 6,
        telling: Some(Telling {
            at_once: true,
            takes: TO_SERVER,
        }),
    },
    Policy {
        name: "one_entry",
        entries: 1,
        telling: None,
    },
    Policy {
        name: "told_on_ticks",
        entries: 6,
        telling: Some(Telling {
            at_once: false,
            takes: TO_SERVER,
        }),
    },
    Policy {
        name: "late_knowledge",
        entries: 6,
        telling: Some(Telling {
            at_once: true,
            takes: Duration::from_millis(250),
        }),
    },
    Policy {
        name: "no_knowledge",
        entries: 6,
        telling: None,
    },
];

/// Returns the configuration: a route for each kind.
pub(crate) fn site() -> SiteConfig {
    let routes = KINDS.iter().map(|kind| Route {
        name: kind.name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{}/", kind.name),
        streaming: true,
        repeatability: Repeatability::Resumable,
        timeout: kind.patience,
        objective: kind.objective,
        inter_token_objective: Some(kind.pause),
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

/// Returns the record of an engine.
pub(crate) fn record(number: usize) -> ServerRecord {
    ServerRecord {
        instance: format!("engine-{number}"),
        started_ms: None,
        service: SERVICE.to_owned(),
        addr: SocketAddr::from(([10, 0, 0, number as u8], 80)),
        failure_domain: "a".to_owned(),
        slots: parameters().slots,
        stage: ServerStage::Ready,
    }
}
