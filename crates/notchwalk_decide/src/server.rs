//! Backend servers: their reports, this node's work on them, and whether they
//! may get new work.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use notchwalk_core::{Instant, ServerId, Tokens};
use notchwalk_wire::{LoadReport, ServerShare};
use slotmap::{new_key_type, SlotMap};

use crate::{
    catalog::GroupKey,
    event::{ServerKind, ServerRecord},
    lane::{Lane, LANES},
    prefix::PrefixIndex,
};

new_key_type! {
    /// Identifies a backend server within a node.
    pub(crate) struct ServerKey;
}

/// Maximum number of concurrent requests from one node to a server of a plain
/// service.
const SERVICE_SLOTS: u32 = 256;
/// Age at which a load report expires.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 5;
/// How long the circuit stays open the first time.
const INITIAL_OPEN_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of times that this period doubles.
const MAX_OPEN_DOUBLINGS: u32 = 5;

/// How far charged time may run ahead of this node's share.
const TIME_CHARGE_SLACK: Duration = Duration::from_millis(20);
/// Maximum time charged ahead.
const MAX_TIME_DEBT: Duration = Duration::from_secs(10);

/// A circuit breaker. After the open period the server gets one request at a
/// time until one succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Circuit {
    /// Work is allowed.
    Closed {
        /// Consecutive failures.
        failures: u32,
    },
    /// No work is allowed.
    Open {
        /// When the circuit becomes half-open.
        until: Instant,
        /// Consecutive times it opened.
        times: u32,
    },
    /// One request at a time is allowed.
    HalfOpen {
        /// Consecutive times it opened.
        times: u32,
    },
}

impl Circuit {
    /// Records a failure. Returns whether it opened the circuit.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let times = match *self {
            Self::Closed { failures } if failures + 1 < FAILURES_TO_OPEN => {
                *self = Self::Closed {
                    failures: failures + 1,
                };
                return false;
            }
            Self::Closed { .. } => 1,
            Self::HalfOpen { times } => times + 1,
            Self::Open { .. } => return false,
        };
        let open_period = INITIAL_OPEN_PERIOD * 2u32.pow((times - 1).min(MAX_OPEN_DOUBLINGS));
        let until = now.after(open_period);
        *self = Self::Open { until, times };
        true
    }

    /// Records a success. Returns whether it closed the circuit.
    pub fn record_success(&mut self) -> bool {
        let was_closed = matches!(self, Self::Closed { .. });
        *self = Self::Closed { failures: 0 };
        !was_closed
    }

    /// Moves from open to half-open when the open period is over.
    fn refresh(&mut self, now: Instant) {
        if let Self::Open { until, times } = *self {
            if now >= until {
                *self = Self::HalfOpen { times };
            }
        }
    }
}

/// A model that an engine has loaded.
#[derive(Clone, Debug)]
pub(crate) struct LoadedGroup {
    pub group: GroupKey,
    pub versions: Vec<String>,
    pub adapters: Vec<String>,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub id: ServerId,
    pub kind: ServerKind,
    pub failure_domain: String,
    /// Whether it is draining; it gets no new work.
    pub draining: bool,
    /// Whether the VM list no longer contains it.
    pub removed: bool,
    /// The latest report and when it arrived.
    pub report: Option<(Instant, LoadReport)>,
    /// The models or the service it serves.
    pub loaded: Vec<LoadedGroup>,
    /// Tokens this node reserved there, excluding long work.
    pub reserved: Tokens,
    /// Requests this node has running there.
    pub running: u32,
    /// Prompt tokens this node sent there that are not prefilled yet, by lane.
    /// Excludes long work.
    pub backlog: [Tokens; LANES.len()],
    /// The share its home granted, and when that expires.
    pub grant: Option<(ServerShare, Instant)>,
    /// Until when this node's share of the server's time is used up by the work
    /// sent so far.
    pub time_charged_until: Instant,
    pub circuit: Circuit,
    /// Number of the server's incarnations that this node has observed to end.
    pub incarnation: u32,
    /// Whether it was unreachable when last contacted.
    pub unreachable: bool,
    /// When it may get new work again after it rejected an attempt.
    pub refused_until: Instant,
    /// Estimated contents of its prefix cache.
    pub prefix: PrefixIndex,
}

impl Server {
    fn new(id: ServerId, kind: ServerKind, failure_domain: String) -> Self {
        Self {
            id,
            kind,
            failure_domain,
            draining: false,
            removed: false,
            report: None,
            loaded: Vec::new(),
            reserved: 0,
            running: 0,
            backlog: [0; LANES.len()],
            grant: None,
            time_charged_until: Instant::ZERO,
            circuit: Circuit::Closed { failures: 0 },
            incarnation: 0,
            unreachable: false,
            refused_until: Instant::ZERO,
            prefix: PrefixIndex::default(),
        }
    }

    /// Returns whether the server may get new work now.
    pub fn accepts_work(&mut self, now: Instant) -> bool {
        if self.draining || self.removed || now < self.refused_until {
            return false;
        }
        self.circuit.refresh(now);
        match self.circuit {
            Circuit::Closed { .. } => {}
            Circuit::Open { .. } => return false,
            Circuit::HalfOpen { .. } if self.running > 0 => return false,
            Circuit::HalfOpen { .. } => {}
        }
        match self.kind {
            ServerKind::Service(_) => true,
            ServerKind::Engine => self.fresh_report(now).is_some(),
        }
    }

    /// Returns the report, unless it has expired.
    pub fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) <= REPORT_TTL).then_some(report)
    }

    /// Returns whether this node's share of the server's time allows more work
    /// of a lane now. A server without backlog in that lane or a shorter one is
    /// always allowed.
    pub fn is_within_time_share(&self, now: Instant, lane: Lane) -> bool {
        let idle = |r: &LoadReport| {
            reported_backlog_before(r, lane) == 0 && self.backlog_before(lane) == 0
        };
        self.time_charged_until <= now.after(TIME_CHARGE_SLACK)
            || self.fresh_report(now).is_some_and(idle)
    }

    /// Charges `cost_us` microseconds of work against a share of the server's
    /// time, in thousandths.
    pub fn charge_time(&mut self, now: Instant, cost_us: u64, per_mille: u64) {
        let us = cost_us * 1_000 / per_mille.max(1);
        let time_charged_until = self
            .time_charged_until
            .max(now)
            .after(Duration::from_micros(us));
        self.time_charged_until = time_charged_until.min(now.after(MAX_TIME_DEBT));
    }

    /// Returns this node's backlog that a request of a lane waits for: engines
    /// serve shorter lanes first.
    pub fn backlog_before(&self, lane: Lane) -> Tokens {
        self.backlog[..=lane.index()].iter().sum()
    }

    /// Returns this node's backlog over all lanes.
    pub fn total_backlog(&self) -> Tokens {
        self.backlog.iter().sum()
    }

    /// Returns the memory in tokens, 0 if unknown.
    pub fn capacity(&self) -> Tokens {
        self.report.as_ref().map_or(0, |(_, r)| r.capacity_tokens)
    }

    /// Returns how many requests can run at once.
    pub fn slots(&self) -> u32 {
        match self.kind {
            ServerKind::Service(_) => SERVICE_SLOTS,
            ServerKind::Engine => self.report.as_ref().map_or(1, |(_, r)| r.slots),
        }
    }

    /// Returns whether a model variant is loaded.
    pub fn serves(&self, group: GroupKey, adapter: Option<&str>, version: Option<&str>) -> bool {
        let Some(loaded) = self.loaded.iter().find(|l| l.group == group) else {
            return false;
        };
        let has = |list: &[String], requested: Option<&str>| {
            requested.is_none_or(|requested| list.iter().any(|item| item == requested))
        };
        has(&loaded.versions, version) && has(&loaded.adapters, adapter)
    }
}

/// Returns the reported backlog of a lane and the shorter ones.
pub(crate) fn reported_backlog_before(report: &LoadReport, lane: Lane) -> Tokens {
    let least = lane.engine_priority(0);
    let before = report.backlog_by_priority.iter();
    before.filter(|(p, _)| *p >= least).map(|(_, n)| n).sum()
}

/// All backend servers known to a node.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    pub arena: SlotMap<ServerKey, Server>,
    by_id: HashMap<ServerId, ServerKey>,
    by_group: Vec<Vec<ServerKey>>,
    /// Counts changes of the set, so that derived state can be refreshed.
    pub epoch: u64,
}

impl Servers {
    /// Returns the key of a server.
    pub fn key_of(&self, id: ServerId) -> Option<ServerKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the key of a server if it is an engine.
    pub fn engine_key_of(&self, id: ServerId) -> Option<ServerKey> {
        let is_engine = |key: &ServerKey| self.arena[*key].kind == ServerKind::Engine;
        self.key_of(id).filter(is_engine)
    }

    /// Returns a server by its id.
    pub fn by_id(&mut self, id: ServerId) -> Option<&mut Server> {
        let key = self.key_of(id)?;
        self.arena.get_mut(key)
    }

    /// Returns the servers that serve a group.
    pub fn of_group(&self, group: GroupKey) -> &[ServerKey] {
        self.by_group.get(group.index()).map_or(&[], Vec::as_slice)
    }

    /// Applies a record of the VM list and returns the key of its server.
    pub fn upsert(&mut self, record: ServerRecord) -> ServerKey {
        let Some(key) = self.key_of(record.id) else {
            let id = record.id;
            let server = Server::new(id, record.kind, record.failure_domain);
            let key = self.arena.insert(server);
            self.by_id.insert(id, key);
            self.epoch += 1;
            return key;
        };
        self.set_kind(key, record.kind);
        let server = &mut self.arena[key];
        server.failure_domain = record.failure_domain;
        server.removed = false;
        key
    }

    /// Sets the kind of a server. If it changes, another program runs on the VM, and what is
    /// known of the former one does not apply to it.
    fn set_kind(&mut self, key: ServerKey, kind: ServerKind) {
        let server = &mut self.arena[key];
        if server.kind == kind {
            return;
        }
        server.kind = kind;
        server.draining = false;
        server.report = None;
        server.circuit = Circuit::Closed { failures: 0 };
        server.prefix = PrefixIndex::default();
        self.epoch += 1;
        self.set_loaded(key, Vec::new());
    }

    /// Drops servers that the VM list no longer contains, that have nothing
    /// running and that no plan in `planned` names.
    pub fn drop_removed(&mut self, planned: &HashSet<ServerKey>) {
        let servers = self.arena.iter();
        let unused = servers.filter(|(_, s)| s.removed && s.running == 0);
        let keys = unused.map(|(key, _)| key);
        let keys: Vec<_> = keys.filter(|key| !planned.contains(key)).collect();
        for key in &keys {
            if let Some(server) = self.arena.remove(*key) {
                self.by_id.remove(&server.id);
            }
        }
        if !keys.is_empty() {
            self.epoch += 1;
            self.rebuild_groups();
        }
    }

    /// Sets the groups that a server serves.
    pub fn set_loaded(&mut self, key: ServerKey, loaded: Vec<LoadedGroup>) {
        let server = &mut self.arena[key];
        let groups = |list: &[LoadedGroup]| list.iter().map(|l| l.group).collect::<Vec<_>>();
        let rebuild_groups = groups(&server.loaded) != groups(&loaded);
        server.loaded = loaded;
        if rebuild_groups {
            self.rebuild_groups();
        }
    }

    fn rebuild_groups(&mut self) {
        self.by_group.iter_mut().for_each(Vec::clear);
        for (key, server) in &self.arena {
            for loaded in &server.loaded {
                let index = loaded.group.index();
                if self.by_group.len() <= index {
                    self.by_group.resize_with(index + 1, Vec::new);
                }
                self.by_group[index].push(key);
            }
        }
    }
}
