//! The recent retries of the processes of all nodes. Nodes keep them for each other: a node
//! that restarts learns from its peers what its previous processes used of the retry budget.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::shares::short_id_of;

/// How long a silent process is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Longest time from the last message of a process to the start of the next one after which
/// its reported retries count as all of them.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// The recent retries of a process for one service, as published to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ServiceRetries {
    /// The service's short id.
    pub service: u32,
    /// Time since each retry, in milliseconds.
    pub ages_ms: Vec<u32>,
}

/// The recent retries of a process, as published to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ProcessRetries {
    /// The short id of its node.
    pub node: u32,
    /// The boot number of the process.
    pub boot: u64,
    /// Time since its last message, in milliseconds.
    pub silent_ms: u32,
    /// Its retries as of its last message.
    pub services: Vec<ServiceRetries>,
}

/// Identifies a process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProcessId {
    node: u32,
    boot: u64,
}

#[derive(Debug)]
struct Process {
    /// When its last message was received, by this node or a peer.
    heard_at: Instant,
    retries: HashMap<u32, Vec<Instant>>,
}

/// What this node knows of the recent retries of other processes.
#[derive(Debug)]
pub(crate) struct RetryHistory {
    own: ProcessId,
    window: Duration,
    started_at: Option<Instant>,
    processes: HashMap<ProcessId, Process>,
    /// Whether a peer that knew all retries within the window has published them to this node.
    is_inherited: bool,
    is_first_process: bool,
}

impl RetryHistory {
    /// Creates an empty history at the node with this name.
    pub fn new(name: &str, boot: u64, window: Duration) -> Self {
        let node = short_id_of(name);
        Self {
            own: ProcessId { node, boot },
            window,
            started_at: None,
            processes: HashMap::new(),
            is_inherited: false,
            is_first_process: false,
        }
    }

    /// Marks the start of serving; further calls have no effect.
    pub fn start(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
    }

    /// Records that this is the first process of its node.
    pub fn set_first_process(&mut self) {
        self.is_first_process = true;
    }

    /// Returns whether all retries within the window by this node are known.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.is_first_process || self.knows_all_nodes(now)
    }

    /// Returns whether all retries within the window by all nodes are known.
    fn knows_all_nodes(&self, now: Instant) -> bool {
        let has_run_for_window = self
            .started_at
            .is_some_and(|started_at| now.since(started_at) >= self.window);
        self.is_inherited || has_run_for_window
    }

    /// Records the retries that a process published.
    pub fn record(&mut self, node: &str, boot: u64, services: &[ServiceRetries], now: Instant) {
        let node = short_id_of(node);
        self.insert(ProcessId { node, boot }, now, services, now);
        self.remove_ended(now);
    }

    /// Adopts the history of a peer that knows all retries within the window.
    ///
    /// It does not cover the previous process of this node if that was silent for long: it may
    /// have served callers while it was unreachable.
    pub fn adopt(&mut self, processes: &[ProcessRetries], now: Instant) {
        for process in processes {
            let id = ProcessId {
                node: process.node,
                boot: process.boot,
            };
            let heard_at = now.before(Duration::from_millis(process.silent_ms.into()));
            self.insert(id, heard_at, &process.services, heard_at);
        }
        let started_at = self.started_at.unwrap_or(now);
        let last_heard = self.previous_processes().map(|process| process.heard_at);
        let is_covered = last_heard
            .max()
            .is_none_or(|last_heard| started_at.since(last_heard) <= MAX_SILENCE);
        self.is_inherited |= is_covered;
    }

    fn insert(
        &mut self,
        id: ProcessId,
        heard_at: Instant,
        services: &[ServiceRetries],
        as_of: Instant,
    ) {
        let is_newer = |known: &Process| known.heard_at < heard_at;
        if id == self.own || !self.processes.get(&id).is_none_or(is_newer) {
            return;
        }
        let retries = services.iter().map(|service| {
            let ages = service.ages_ms.iter();
            let times = ages.map(|&age| as_of.before(Duration::from_millis(age.into())));
            (service.service, times.collect())
        });
        let retries = retries.collect();
        self.processes.insert(id, Process { heard_at, retries });
    }

    /// Removes processes that ended and whose retries have expired.
    fn remove_ended(&mut self, now: Instant) {
        let retained_since = now.before(RETENTION.max(self.window));
        let mut newest: HashMap<u32, u64> = HashMap::new();
        for id in self.processes.keys() {
            let boot = newest.entry(id.node).or_default();
            *boot = id.boot.max(*boot);
        }
        let window_start = now.before(self.window);
        self.processes.retain(|id, process| {
            let is_newest = newest.get(&id.node) == Some(&id.boot);
            match is_newest {
                true => process.heard_at >= retained_since,
                false => process.heard_at >= window_start,
            }
        });
    }

    /// Returns the earlier processes of this node.
    fn previous_processes(&self) -> impl Iterator<Item = &Process> {
        let processes = self.processes.iter();
        let own = processes.filter(|(id, _)| id.node == self.own.node);
        own.map(|(_, process)| process)
    }

    /// Returns the number of retries within the window by earlier processes of this node.
    pub fn previous_retries(&self, service: &str, now: Instant) -> u32 {
        let service = short_id_of(service);
        let window_start = now.before(self.window);
        let processes = self.previous_processes();
        let times = processes.filter_map(|process| process.retries.get(&service));
        times.flatten().filter(|&&at| at >= window_start).count() as u32
    }

    /// Returns the history for a node that has just started; `None` if it is incomplete.
    pub fn to_publish(&self, now: Instant) -> Option<Vec<ProcessRetries>> {
        if !self.knows_all_nodes(now) {
            return None;
        }
        let processes = self.processes.iter().map(|(id, process)| ProcessRetries {
            node: id.node,
            boot: id.boot,
            silent_ms: age_ms(process.heard_at, now),
            services: process
                .retries
                .iter()
                .map(|(&service, times)| ServiceRetries {
                    service,
                    ages_ms: times
                        .iter()
                        .map(|&at| age_ms(at, process.heard_at))
                        .collect(),
                })
                .collect(),
        });
        Some(processes.collect())
    }
}

/// Returns the time from `at` to `now` in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u32 {
    now.since(at).as_millis().try_into().unwrap_or(u32::MAX)
}
