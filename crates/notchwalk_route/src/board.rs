//! The load view: what runs on each server, from this node's own requests and from the
//! updates of its peers.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use slotmap::SecondaryMap;

use crate::{shares::Shares, Fleet, RequestKey, ServerKey, WorkspaceTag};

/// The phase of a request on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WorkPhase {
    /// Prefill of its prompt, or of a part of it; it will decode on this server.
    Reading,
    /// Decode.
    Writing,
    /// Prefill of a part of its prompt; it decodes on another server.
    Helping,
    /// Memory is reserved for a part of its prompt; it decodes on another server.
    Holding,
    /// A call to a plain service.
    Calling,
}

/// A request of a peer on a server, as published to peers.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct PeerWork {
    /// The server's short id.
    pub server: u32,
    /// Its phase.
    pub phase: WorkPhase,
    /// Prompt tokens in the server's memory.
    pub context_tokens: u32,
    /// Context tokens that add to the cost of each engine step during its decode.
    pub pass_tokens: u32,
    /// Prefill time on the server, in milliseconds.
    pub read_ms: u16,
    /// Its inter-token latency objective, in milliseconds.
    pub pause_ms: u16,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u16,
    /// Predicted time from its send to the end of its prefill, in milliseconds.
    pub reading_ms: u16,
    /// The short id of its workspace.
    pub workspace: u32,
}

/// The work of one request on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    pub owner: Owner,
    pub workspace: WorkspaceTag,
    pub phase: WorkPhase,
    pub context_tokens: f64,
    pub pass_tokens: f64,
    /// Total prefill time on this server, in milliseconds.
    pub read_ms: f64,
    /// Inter-token latency objective, in milliseconds.
    pub pause_ms: f64,
    pub since: Instant,
    /// Predicted end of its prefill.
    pub read_by: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Own(RequestKey),
    Peer(u32),
}

impl Work {
    /// Returns the remaining prefill time, in milliseconds.
    pub fn remaining_prefill_ms(&self, now: Instant) -> f64 {
        /// Fraction of the prefill that counts as remaining after its predicted end, until
        /// the first token is seen.
        const MIN_REMAINING: f64 = 0.15;
        if !matches!(self.phase, WorkPhase::Reading | WorkPhase::Helping) {
            return 0.0;
        }
        let total = self.read_by.since(self.since).as_secs_f64();
        let remaining = self.read_by.since(now).as_secs_f64();
        if total <= 0.0 {
            return self.read_ms * MIN_REMAINING;
        }
        self.read_ms * (remaining / total).clamp(MIN_REMAINING, 1.0)
    }
}

/// The total load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests in decode.
    pub writers: usize,
    /// Requests in prefill that will decode here.
    pub readers: usize,
    /// Memory in use, in tokens.
    pub context_tokens: f64,
    /// Context tokens that add to the cost of each engine step.
    pub pass_tokens: f64,
    /// Remaining prefill time, in milliseconds.
    pub reading_ms: f64,
    /// Requests without a tight latency objective that are in prefill and will decode here.
    /// An engine prefills parts for other engines before them.
    pub own_long_reads: usize,
    /// Requests with a tight inter-token latency objective.
    pub short: usize,
    /// The tightest inter-token latency objective in decode, in milliseconds; infinite if
    /// there is none.
    pub tightest_pause_ms: f64,
    /// The same for decode and prefill.
    pub tightest_coming_pause_ms: f64,
    /// Calls to a plain service.
    pub calls: usize,
    /// Parts of prompts in prefill for other engines.
    pub helping: usize,
}

impl ServerLoad {
    /// Returns the number of occupied slots.
    pub fn occupied(&self) -> usize {
        self.writers + self.readers + self.calls
    }
}

/// The load view of all servers.
#[derive(Debug, Default)]
pub struct Board {
    work: SecondaryMap<ServerKey, Vec<Work>>,
    /// Time of the last update of each peer.
    peers: HashMap<u32, Instant>,
    /// Servers on which this node's own work has changed since it was last published.
    changed: Vec<ServerKey>,
}

/// Maximum inter-token latency objective of short requests, in milliseconds.
const SHORT_INTER_TOKEN_MS: f64 = 400.0;
/// Remaining prefill time that counts as one fully used engine, in milliseconds: about the
/// duration of a short response.
const FULL_PREFILL_MS: f64 = 1_000.0;
/// Inter-token latency objective of requests without one, in milliseconds.
pub(crate) const NO_PAUSE_MS: f64 = 60_000.0;

impl Board {
    pub(crate) fn add(&mut self, server: ServerKey, work: Work) {
        if let Some(entry) = self.work.entry(server) {
            entry.or_default().push(work);
        }
        self.mark_changed(server);
    }

    fn mark_changed(&mut self, server: ServerKey) {
        if !self.changed.contains(&server) {
            self.changed.push(server);
        }
    }

    /// Sets the phase of one of this node's requests on a server.
    pub(crate) fn set_phase(&mut self, server: ServerKey, request: RequestKey, phase: WorkPhase) {
        let works = self.work.get_mut(server).into_iter().flatten();
        for work in works {
            if work.owner == Owner::Own(request) {
                work.phase = phase;
            }
        }
        self.mark_changed(server);
    }

    /// Removes one of this node's requests from a server.
    pub(crate) fn remove(&mut self, server: ServerKey, request: RequestKey) {
        if let Some(works) = self.work.get_mut(server) {
            works.retain(|work| work.owner != Owner::Own(request));
        }
        self.mark_changed(server);
    }

    /// Removes all work on a server that no longer exists.
    pub(crate) fn forget_server(&mut self, server: ServerKey) {
        self.work.remove(server);
        self.changed.retain(|&other| other != server);
    }

    /// Replaces the work of a peer on the given servers.
    pub(crate) fn replace_peer(
        &mut self,
        peer: u32,
        servers: &[ServerKey],
        work: impl Iterator<Item = (ServerKey, PeerWork)>,
        now: Instant,
    ) {
        self.peers.insert(peer, now);
        for &server in servers {
            if let Some(works) = self.work.get_mut(server) {
                works.retain(|work| work.owner != Owner::Peer(peer));
            }
        }
        for (server, update) in work {
            let since = now.before(Duration::from_millis(update.age_ms.into()));
            let item = Work {
                owner: Owner::Peer(peer),
                workspace: WorkspaceTag::from_number(update.workspace),
                phase: update.phase,
                context_tokens: update.context_tokens.into(),
                pass_tokens: update.pass_tokens.into(),
                read_ms: update.read_ms.into(),
                pause_ms: update.pause_ms.into(),
                since,
                read_by: since.after(Duration::from_millis(update.reading_ms.into())),
            };
            if let Some(entry) = self.work.entry(server) {
                entry.or_default().push(item);
            }
        }
    }

    /// Removes all work of a peer.
    pub(crate) fn forget_peer(&mut self, peer: u32) {
        self.peers.remove(&peer);
        for (_, works) in &mut self.work {
            works.retain(|work| work.owner != Owner::Peer(peer));
        }
    }

    /// Removes peers without an update since `since`.
    pub(crate) fn forget_silent_peers(&mut self, since: Instant) {
        let silent: Vec<u32> = self
            .peers
            .iter()
            .filter(|(_, &updated_at)| updated_at < since)
            .map(|(&peer, _)| peer)
            .collect();
        for peer in silent {
            self.forget_peer(peer);
        }
    }

    /// Returns the total load of a server.
    pub fn load(&self, server: ServerKey, now: Instant) -> ServerLoad {
        let mut load = ServerLoad {
            tightest_pause_ms: f64::INFINITY,
            tightest_coming_pause_ms: f64::INFINITY,
            ..ServerLoad::default()
        };
        for work in self.work.get(server).into_iter().flatten() {
            load.reading_ms += work.remaining_prefill_ms(now);
            let decodes = matches!(work.phase, WorkPhase::Reading | WorkPhase::Writing);
            if decodes {
                let tightest = load.tightest_coming_pause_ms.min(work.pause_ms);
                load.tightest_coming_pause_ms = tightest;
            }
            if decodes && work.pause_ms <= SHORT_INTER_TOKEN_MS {
                load.short += 1;
            }
            match work.phase {
                WorkPhase::Reading => {
                    load.readers += 1;
                    load.own_long_reads += usize::from(work.pause_ms > SHORT_INTER_TOKEN_MS);
                }
                WorkPhase::Writing => {
                    load.writers += 1;
                    load.tightest_pause_ms = load.tightest_pause_ms.min(work.pause_ms);
                }
                WorkPhase::Helping => load.helping += 1,
                WorkPhase::Holding => {}
                WorkPhase::Calling => load.calls += 1,
            }
            load.context_tokens += work.context_tokens;
            load.pass_tokens += work.pass_tokens;
        }
        load
    }

    /// Returns the load of each workspace over all servers.
    pub(crate) fn shares(&self, fleet: &Fleet, now: Instant) -> Shares {
        let mut shares = Shares::default();
        for (server, works) in &self.work {
            let slots = fleet.get(server).map_or(1, |server| server.record.slots);
            for work in works {
                let slot = match work.phase {
                    WorkPhase::Reading | WorkPhase::Writing => 1.0 / f64::from(slots.max(1)),
                    WorkPhase::Helping | WorkPhase::Holding | WorkPhase::Calling => 0.0,
                };
                let prefill = work.remaining_prefill_ms(now) / FULL_PREFILL_MS;
                shares.add(work.workspace, slot + prefill.min(1.0));
            }
        }
        shares
    }

    /// Returns whether the view has ever contained work on a server.
    pub(crate) fn knows(&self, server: ServerKey) -> bool {
        self.work.contains_key(server)
    }

    /// Returns the work on a server.
    pub(crate) fn on(&self, server: ServerKey) -> &[Work] {
        self.work.get(server).map_or(&[], Vec::as_slice)
    }

    /// Returns whether one of this node's requests is on any server.
    pub(crate) fn has_request(&self, request: RequestKey) -> bool {
        let mut works = self.work.iter().flat_map(|(_, works)| works);
        works.any(|work| work.owner == Owner::Own(request))
    }

    /// Returns whether this node's work has changed since the last call of
    /// [`Self::take_changed`].
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the servers on which this node's work has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.changed)
    }

    /// Returns this node's work on a server for publishing.
    pub fn own_work(&self, server: ServerKey, tag: u32, now: Instant) -> Vec<PeerWork> {
        let works = self.on(server).iter();
        let own = works.filter(|work| matches!(work.owner, Owner::Own(_)));
        own.map(|work| PeerWork {
            server: tag,
            phase: work.phase,
            context_tokens: work.context_tokens as u32,
            pass_tokens: work.pass_tokens as u32,
            read_ms: saturating_u16(work.read_ms),
            pause_ms: saturating_u16(work.pause_ms),
            age_ms: saturating_u16(now.since(work.since).as_secs_f64() * 1e3),
            reading_ms: saturating_u16(work.read_by.since(work.since).as_secs_f64() * 1e3),
            workspace: work.workspace.number(),
        })
        .collect()
    }
}

fn saturating_u16(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}
