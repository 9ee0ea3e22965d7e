//! Backend servers: what they report, what this node has running on them, and
//! whether they may get new work.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::{Instant, ServerId, Tokens};
use notchwalk_wire::{LoadReport, ServerShare};
use slotmap::{new_key_type, SlotMap};

use crate::{
    catalog::GroupKey,
    event::ServerKind,
    lane::{Lane, LANES},
    prefix::PrefixIndex,
};

new_key_type! {
    /// Names a backend server within a node.
    pub(crate) struct ServerKey;
}

/// Requests a plain service's server gets at once from one entry.
const SERVICE_SLOTS: u32 = 256;
/// A report older than this no longer vouches for an engine.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Failures in a row that open the circuit.
const FAILURES_TO_OPEN: u32 = 5;
/// How long the circuit first stays open.
const FIRST_OPEN: Duration = Duration::from_secs(1);
/// How often that time doubles at the most.
const MAX_DOUBLINGS: u32 = 5;

/// How far ahead of its payment a server may get work.
const PAY_AHEAD: Duration = Duration::from_millis(20);
/// The most that is ever to be paid off.
const MAX_DEBT: Duration = Duration::from_secs(10);

/// Keeps work from a server that fails, and lets it come back slowly: one
/// request at a time until one succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Circuit {
    /// It gets work; so many failures in a row.
    Closed {
        /// Failures since the last success.
        failures: u32,
    },
    /// It gets none until then.
    Open {
        /// The end of the pause.
        until: Instant,
        /// Times it opened in a row.
        times: u32,
    },
    /// It gets one request at a time.
    HalfOpen {
        /// Times it opened in a row.
        times: u32,
    },
}

impl Circuit {
    /// Notes a failure; tells whether the circuit opened by it.
    pub fn failed(&mut self, now: Instant) -> bool {
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
        let pause = FIRST_OPEN * 2u32.pow((times - 1).min(MAX_DOUBLINGS));
        let until = now.after(pause);
        *self = Self::Open { until, times };
        true
    }

    /// Notes a success; tells whether the circuit closed by it.
    pub fn succeeded(&mut self) -> bool {
        let was_closed = matches!(self, Self::Closed { .. });
        *self = Self::Closed { failures: 0 };
        !was_closed
    }

    /// Moves from open to half open when the pause is over.
    fn refresh(&mut self, now: Instant) {
        if let Self::Open { until, times } = *self {
            if now >= until {
                *self = Self::HalfOpen { times };
            }
        }
    }
}

/// A model as an engine has it loaded, by its lasting key.
#[derive(Clone, Debug)]
pub(crate) struct LoadedGroup {
    /// The model.
    pub group: GroupKey,
    /// Loaded versions.
    pub versions: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    /// Its number.
    pub id: ServerId,
    /// What it is.
    pub kind: ServerKind,
    /// Its failure domain.
    pub failure_domain: String,
    /// It leaves: no new work.
    pub leaving: bool,
    /// The VM list no longer names it.
    pub gone: bool,
    /// The latest report and when it came.
    pub report: Option<(Instant, LoadReport)>,
    /// What it serves.
    pub loaded: Vec<LoadedGroup>,
    /// Tokens this node holds there, long work aside.
    pub held: Tokens,
    /// Requests this node has running there.
    pub running: u32,
    /// Prompt tokens this node sent there whose first token hasn't come, by
    /// class. Long work is not among them.
    pub backlog: [Tokens; LANES.len()],
    /// What its home granted, and until when.
    pub grant: Option<(ServerShare, Instant)>,
    /// When the work sent there so far is paid for by this entry's share of
    /// the server's time.
    pub paid_at: Instant,
    /// Its circuit.
    pub circuit: Circuit,
    /// Lives of it that this node saw end.
    pub lives: u32,
    /// It could not be reached when it was last tried.
    pub away: bool,
    /// It refused work as overloaded until then.
    pub refused_until: Instant,
    /// What its prefix cache is believed to hold.
    pub prefix: PrefixIndex,
}

impl Server {
    fn new(id: ServerId, kind: ServerKind, failure_domain: String) -> Self {
        Self {
            id,
            kind,
            failure_domain,
            leaving: false,
            gone: false,
            report: None,
            loaded: Vec::new(),
            held: 0,
            running: 0,
            backlog: [0; LANES.len()],
            grant: None,
            paid_at: Instant::ZERO,
            circuit: Circuit::Closed { failures: 0 },
            lives: 0,
            away: false,
            refused_until: Instant::ZERO,
            prefix: PrefixIndex::default(),
        }
    }

    /// Tells whether the server may get new work now.
    pub fn is_open(&mut self, now: Instant) -> bool {
        if self.leaving || self.gone || now < self.refused_until {
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

    /// Returns the report, unless it is too old.
    pub fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) <= REPORT_LIFE).then_some(report)
    }

    /// Tells whether this entry's share of the server's time allows more work
    /// of a class now. A server where nothing of that class or a shorter one
    /// waits may be used in any case.
    pub fn is_paid(&self, now: Instant, lane: Lane) -> bool {
        let idle = |r: &LoadReport| reported_before(r, lane) == 0 && self.backlog_before(lane) == 0;
        self.paid_at <= now.after(PAY_AHEAD) || self.fresh_report(now).is_some_and(idle)
    }

    /// Books work of so many microseconds against a share of the server's
    /// time, in thousandths.
    pub fn pay(&mut self, now: Instant, cost_us: u64, per_mille: u64) {
        let us = cost_us * 1_000 / per_mille.max(1);
        let paid_at = self.paid_at.max(now).after(Duration::from_micros(us));
        self.paid_at = paid_at.min(now.after(MAX_DEBT));
    }

    /// Returns this node's backlog that a request of a class has to wait for:
    /// engines serve shorter classes first.
    pub fn backlog_before(&self, lane: Lane) -> Tokens {
        self.backlog[..=lane.index()].iter().sum()
    }

    /// Returns this node's whole backlog.
    pub fn whole_backlog(&self) -> Tokens {
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

    /// Tells whether a model variant is loaded.
    pub fn serves(&self, group: GroupKey, adapter: Option<&str>, version: Option<&str>) -> bool {
        let Some(loaded) = self.loaded.iter().find(|l| l.group == group) else {
            return false;
        };
        let has = |list: &[String], wanted: Option<&str>| {
            wanted.is_none_or(|wanted| list.iter().any(|item| item == wanted))
        };
        has(&loaded.versions, version) && has(&loaded.adapters, adapter)
    }
}

/// Returns the reported backlog that goes before a class or with it.
pub(crate) fn reported_before(report: &LoadReport, lane: Lane) -> Tokens {
    let least = lane.engine_priority(0);
    let before = report.backlog_by_priority.iter();
    before.filter(|(p, _)| *p >= least).map(|(_, n)| n).sum()
}

/// All backend servers known to a node.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    /// The servers.
    pub arena: SlotMap<ServerKey, Server>,
    by_id: HashMap<ServerId, ServerKey>,
    by_group: Vec<Vec<ServerKey>>,
    /// Counts changes of the set, so that others can tell when to look anew.
    pub epoch: u64,
}

impl Servers {
    /// Finds a server by number.
    pub fn key(&self, id: ServerId) -> Option<ServerKey> {
        self.by_id.get(&id).copied()
    }

    /// Finds a server by number.
    pub fn by_id(&mut self, id: ServerId) -> Option<&mut Server> {
        let key = self.key(id)?;
        self.arena.get_mut(key)
    }

    /// Returns the servers that serve a group.
    pub fn of_group(&self, group: GroupKey) -> &[ServerKey] {
        self.by_group.get(group.index()).map_or(&[], Vec::as_slice)
    }

    /// Adds a server, or finds it.
    pub fn ensure(&mut self, id: ServerId, kind: ServerKind, failure_domain: &str) -> ServerKey {
        if let Some(key) = self.key(id) {
            return key;
        }
        let server = Server::new(id, kind, failure_domain.to_owned());
        let key = self.arena.insert(server);
        self.by_id.insert(id, key);
        self.epoch += 1;
        key
    }

    /// Forgets servers that are gone and have nothing running.
    pub fn forget_gone(&mut self) {
        let gone = |s: &Server| s.gone && s.running == 0;
        let keys = self
            .arena
            .iter()
            .filter(|(_, s)| gone(s))
            .map(|(key, _)| key);
        let keys: Vec<_> = keys.collect();
        for key in &keys {
            if let Some(server) = self.arena.remove(*key) {
                self.by_id.remove(&server.id);
            }
        }
        if !keys.is_empty() {
            self.epoch += 1;
            self.regroup();
        }
    }

    /// Sets what a server serves.
    pub fn set_loaded(&mut self, key: ServerKey, loaded: Vec<LoadedGroup>) {
        let server = &mut self.arena[key];
        let groups = |list: &[LoadedGroup]| list.iter().map(|l| l.group).collect::<Vec<_>>();
        let regroup = groups(&server.loaded) != groups(&loaded);
        server.loaded = loaded;
        if regroup {
            self.regroup();
        }
    }

    fn regroup(&mut self) {
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
