//! A node with a bundle and engines, and functions that feed it events.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, ModelKey, Part, PartName, ServiceKey, WorkspaceKey};
use notchwalk_core::{Attempt, BootNumber, Instant, RequestId, ServerId, VmId};
use notchwalk_decide::{
    Arrival, AttemptEnd, CallWork, CallerKey, Dispatch, Effect, Event, Failure, GenerateWork, Node,
    NodeConfig, RequestKey, ServerDump, ServerKind, ServerRecord, Work,
};
use notchwalk_quarantine::Fingerprint;
use notchwalk_wire::{LoadReport, LoadedModel};

const PUBLIC_KEYS: [&str; 2] = [
    "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
    "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c",
];

/// Returns the parts of a bundle with a model `m`, a service `s` and workspaces
/// `a` (weight 1) and `b` (weight 3).
pub fn parts(policy: &str) -> Vec<Part> {
    let operators = format!(
        "[operator x]\npublic_key = {}\nroles = author\n\n\
         [operator y]\npublic_key = {}\nroles = reviewer\n",
        PUBLIC_KEYS[0], PUBLIC_KEYS[1]
    );
    let workspace = |name: &str, weight: u32| {
        format!(
            "[workspace {name}]\nweight = {weight}\nmodels = m\nservices = s\n\
             priority_max = 9\nmax_queued = 100000\nmax_in_flight = 100000\n\n"
        )
    };
    let part = |name, text: String| Part { name, text };
    vec![
        part(PartName::Operators, operators),
        part(
            PartName::Models,
            "[model m]\ncontext_tokens = 1000000\n".to_owned(),
        ),
        part(
            PartName::Services,
            "[service s]\ntimeout_ms = 1000\n".to_owned(),
        ),
        part(PartName::Workspaces, workspace("a", 1) + &workspace("b", 3)),
        part(PartName::Policy, format!("[policy]\n{policy}")),
    ]
}

/// A node under test.
pub struct TestNode {
    /// The node.
    pub inner: Node,
    /// The current time, in milliseconds.
    pub now_ms: u64,
    /// The effects since [`TestNode::take_effects`] was last called.
    pub out: Vec<Effect>,
    /// The content fingerprint of arriving requests.
    pub content: Option<Fingerprint>,
    next_caller: u64,
}

impl TestNode {
    /// Builds a node with a bundle and `engines` idle engines.
    pub fn new(engines: u32) -> Self {
        Self::with_policy(engines, "")
    }

    /// Builds a node with the given policy lines.
    pub fn with_policy(engines: u32, policy: &str) -> Self {
        let mut node = Self {
            inner: Node::new(NodeConfig::new(VmId(1), BootNumber(5), "d", 7)),
            now_ms: 1_000,
            out: Vec::new(),
            content: None,
            next_caller: 0,
        };
        let bundle = Bundle::parse(1, &parts(policy)).expect("a valid bundle");
        node.feed(Event::Bundle(Arc::new(bundle)));
        node.apply_vm_list(engines, &[]);
        node.report_idle(engines);
        node.out.clear();
        node
    }

    /// Applies a VM list in which some engines are draining.
    pub fn apply_vm_list(&mut self, engines: u32, draining: &[u32]) {
        let mut servers: Vec<_> = (0..engines)
            .map(|id| ServerRecord {
                id: ServerId(id),
                kind: ServerKind::Engine,
                failure_domain: "d".to_owned(),
                draining: draining.contains(&id),
            })
            .collect();
        servers.push(ServerRecord {
            id: ServerId(900),
            kind: ServerKind::Service("s".to_owned()),
            failure_domain: "d".to_owned(),
            draining: false,
        });
        let nodes = Vec::new();
        self.feed(Event::VmList { servers, nodes });
    }

    /// Reports all engines as idle.
    pub fn report_idle(&mut self, engines: u32) {
        for id in 0..engines {
            let report = Box::new(idle_report());
            let server = ServerId(id);
            self.feed(Event::Load { server, report });
        }
    }

    /// Feeds one event.
    pub fn feed(&mut self, event: Event) {
        let now = Instant::from_millis(self.now_ms);
        self.inner.step(now, event, &mut self.out);
    }

    /// Advances time, with a tick every 10 ms and load reports every 500 ms.
    pub fn advance(&mut self, ms: u64, engines: u32) {
        for i in 0..ms / 10 {
            self.now_ms += 10;
            self.feed(Event::Tick);
            if i % 50 == 49 {
                self.report_idle(engines);
            }
        }
    }

    /// Returns the known servers, by their ids.
    pub fn servers(&mut self) -> Vec<ServerDump> {
        let now = Instant::from_millis(self.now_ms);
        let mut servers = self.inner.dump(now).servers;
        servers.sort_by_key(|server| server.id);
        servers
    }

    /// Takes the effects so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    fn arrive(&mut self, work: Work, workspace: u32, priority: u8, timeout_ms: u64) {
        self.next_caller += 1;
        self.feed(Event::Arrival(Box::new(Arrival {
            caller: CallerKey(self.next_caller),
            workspace: WorkspaceKey(workspace),
            work,
            content: self.content,
            priority: Some(priority),
            timeout_ms: Some(timeout_ms),
        })));
    }

    /// Sends a generation.
    pub fn generate(&mut self, prompt_tokens: u64, max_tokens: u32, timeout_ms: u64) {
        let work = generation(prompt_tokens, max_tokens);
        self.arrive(work, 0, 5, timeout_ms);
    }

    /// Sends a generation of a workspace with a priority.
    pub fn generate_for(&mut self, workspace: u32, priority: u8, prompt_tokens: u64) {
        let work = generation(prompt_tokens, 10);
        self.arrive(work, workspace, priority, 3_000_000);
    }

    /// Sends a call that must not be repeated.
    pub fn call(&mut self, idempotency_key: Option<&str>) {
        let work = Work::Call(CallWork {
            service: ServiceKey(0),
            repeatable: false,
            idempotency_key: idempotency_key.map(str::to_owned),
            fingerprint: "f".to_owned(),
        });
        self.arrive(work, 0, 5, 10_000);
    }

    /// Delivers a frame of a dispatched attempt.
    pub fn frame(&mut self, d: &Dispatch, id: RequestId, offset: u32, count: u32) {
        self.feed(Event::Frame {
            request: d.request,
            id,
            attempt: d.attempt,
            offset,
            count,
        });
    }

    /// Ends a dispatched attempt.
    pub fn end(&mut self, d: &Dispatch, end: AttemptEnd) {
        self.feed(Event::AttemptEnded {
            request: d.request,
            attempt: d.attempt,
            end,
        });
    }

    /// Ends an attempt with a complete response.
    pub fn complete(&mut self, d: &Dispatch, tokens: u32) {
        let end = AttemptEnd::Complete {
            prompt_tokens: 100,
            cached_tokens: 0,
            completion_tokens: tokens,
        };
        self.end(d, end);
    }
}

/// Returns the work of a generation.
pub fn generation(prompt_tokens: u64, max_tokens: u32) -> Work {
    Work::Generate(GenerateWork {
        model: ModelKey(0),
        adapter: None,
        version: None,
        prompt_tokens,
        max_tokens,
        prefix: Vec::new(),
    })
}

/// Returns the load report of an idle engine.
pub fn idle_report() -> LoadReport {
    LoadReport {
        capacity_tokens: 100_000,
        used_tokens: 0,
        running: 0,
        waiting: 0,
        slots: 8,
        backlog_tokens: 0,
        backlog_by_priority: Vec::new(),
        prefill_token_ns: 40_000,
        decode_token_ns: 100_000,
        loaded: vec![LoadedModel {
            model: "m".to_owned(),
            versions: vec!["1".to_owned()],
            adapters: Vec::new(),
        }],
        draining: false,
        evictions: 0,
    }
}

/// Returns the dispatches among effects.
pub fn dispatches(effects: &[Effect]) -> Vec<Dispatch> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::Dispatch(dispatch) => Some(*dispatch),
        _ => None,
    });
    found.collect()
}

/// Returns the only dispatch among effects.
#[track_caller]
pub fn single_dispatch(effects: &[Effect]) -> Dispatch {
    let found = dispatches(effects);
    assert_eq!(found.len(), 1, "{effects:?}");
    found[0]
}

/// Returns the failures among effects, including refusals.
pub fn failures(effects: &[Effect]) -> Vec<Failure> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::Finish {
            result: Err(failure),
            ..
        } => Some(*failure),
        Effect::Refuse { failure, .. } => Some(*failure),
        _ => None,
    });
    found.collect()
}

/// Returns the key and id of the last admitted request.
#[track_caller]
pub fn admitted(effects: &[Effect]) -> (RequestKey, RequestId) {
    let found = effects.iter().rev().find_map(|e| match e {
        Effect::Admitted { request, id, .. } => Some((*request, *id)),
        _ => None,
    });
    found.expect("a request was admitted")
}

/// Returns an id that no request has.
pub fn other_id() -> RequestId {
    RequestId {
        vm: VmId(1),
        boot: BootNumber(5),
        seq: 1_000_000,
    }
}

/// An attempt number below that of any attempt.
pub const STALE_ATTEMPT: Attempt = Attempt(0);
