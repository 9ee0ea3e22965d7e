//! The load view: what runs on each server, from this node's own requests and from the
//! updates of its peers.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use slotmap::SecondaryMap;

use crate::{shares::Shares, Fleet, RequestKey, ServerKey, WorkspaceShortId};

/// The phase of a request on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WorkPhase {
    /// Prefill of its prompt or of a segment; it will decode on this server.
    #[serde(rename = "Reading")]
    Prefill,
    /// Decode.
    #[serde(rename = "Writing")]
    Decode,
    /// Prefill of a segment of its prompt; it decodes on another server.
    #[serde(rename = "Helping")]
    RemotePrefill,
    /// Memory is reserved for a segment of its prompt; it decodes on another server.
    #[serde(rename = "Holding")]
    RemoteCache,
    /// A call to a plain service.
    #[serde(rename = "Calling")]
    Call,
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
    pub step_tokens: u32,
    /// Prefill time on the server, in milliseconds.
    pub prefill_ms: u16,
    /// Its inter-token latency objective, in milliseconds.
    pub inter_token_ms: u16,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u16,
    /// Predicted time from its send to the end of its prefill, in milliseconds.
    pub predicted_prefill_ms: u16,
    /// The short id of its workspace.
    pub workspace: u32,
}

/// The work of one request on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    pub owner: Owner,
    pub workspace: WorkspaceShortId,
    pub phase: WorkPhase,
    pub context_tokens: f64,
    pub step_tokens: f64,
    /// Total prefill time on this server, in milliseconds.
    pub prefill_ms: f64,
    /// Inter-token latency objective, in milliseconds.
    pub inter_token_ms: f64,
    pub since: Instant,
    /// Predicted end of its prefill.
    pub predicted_prefill_end: Instant,
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
        if !matches!(self.phase, WorkPhase::Prefill | WorkPhase::RemotePrefill) {
            return 0.0;
        }
        let total = self.predicted_prefill_end.since(self.since).as_secs_f64();
        let remaining = self.predicted_prefill_end.since(now).as_secs_f64();
        if total <= 0.0 {
            return self.prefill_ms * MIN_REMAINING;
        }
        self.prefill_ms * (remaining / total).clamp(MIN_REMAINING, 1.0)
    }
}

/// The total load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests in decode.
    pub decoding: usize,
    /// Requests in prefill that will decode here.
    pub prefilling: usize,
    /// Memory in use, in tokens.
    pub context_tokens: f64,
    /// Context tokens that add to the cost of each engine step.
    pub step_tokens: f64,
    /// Remaining prefill time, in milliseconds.
    pub remaining_prefill_ms: f64,
    /// Requests without a tight inter-token latency objective that are in prefill and will
    /// decode here. An engine prefills segments for other engines before them.
    pub own_long_prefills: usize,
    /// Requests with a tight inter-token latency objective, in prefill or decode.
    pub short_requests: usize,
    /// The tightest inter-token latency objective in decode, in milliseconds; infinite if
    /// there is none.
    pub tightest_inter_token_ms: f64,
    /// The tightest inter-token latency objective in decode or prefill, in milliseconds;
    /// infinite if there is none.
    pub tightest_upcoming_inter_token_ms: f64,
    /// Calls to a plain service.
    pub calls: usize,
    /// Segments in prefill for other engines.
    pub prefill_segments: usize,
}

impl ServerLoad {
    /// Returns the number of occupied slots.
    pub fn occupied(&self) -> usize {
        self.decoding + self.prefilling + self.calls
    }
}

/// The load view of all servers.
#[derive(Debug, Default)]
pub struct LoadView {
    work: SecondaryMap<ServerKey, Vec<Work>>,
    /// Time of the last update of each peer.
    peers: HashMap<u32, Instant>,
    /// Servers on which this node's own work has changed since it was last published.
    changed: Vec<ServerKey>,
}

/// Maximum inter-token latency objective that counts as tight, in milliseconds.
const MAX_SHORT_INTER_TOKEN_MS: f64 = 400.0;
/// Remaining prefill time that counts as the full load of one engine, in milliseconds.
const FULL_LOAD_PREFILL_MS: f64 = 1_000.0;
/// Inter-token latency objective of requests without one, in milliseconds.
pub(crate) const DEFAULT_INTER_TOKEN_MS: f64 = 60_000.0;

impl LoadView {
    /// Adds work of this node to a server.
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
    pub(crate) fn remove_server(&mut self, server: ServerKey) {
        self.work.remove(server);
        self.changed.retain(|&other| other != server);
    }

    /// Replaces the work of a peer on the given servers.
    pub(crate) fn replace_peer_work(
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
                workspace: WorkspaceShortId::from_number(update.workspace),
                phase: update.phase,
                context_tokens: update.context_tokens.into(),
                step_tokens: update.step_tokens.into(),
                prefill_ms: update.prefill_ms.into(),
                inter_token_ms: update.inter_token_ms.into(),
                since,
                predicted_prefill_end: since
                    .after(Duration::from_millis(update.predicted_prefill_ms.into())),
            };
            if let Some(entry) = self.work.entry(server) {
                entry.or_default().push(item);
            }
        }
    }

    /// Removes all work of a peer.
    pub(crate) fn remove_peer(&mut self, peer: u32) {
        self.peers.remove(&peer);
        for (_, works) in &mut self.work {
            works.retain(|work| work.owner != Owner::Peer(peer));
        }
    }

    /// Removes peers without an update since `since`.
    pub(crate) fn remove_stale_peers(&mut self, since: Instant) {
        let stale: Vec<u32> = self
            .peers
            .iter()
            .filter(|(_, &updated_at)| updated_at < since)
            .map(|(&peer, _)| peer)
            .collect();
        for peer in stale {
            self.remove_peer(peer);
        }
    }

    /// Returns the total load of a server.
    pub fn load(&self, server: ServerKey, now: Instant) -> ServerLoad {
        let mut load = ServerLoad {
            tightest_inter_token_ms: f64::INFINITY,
            tightest_upcoming_inter_token_ms: f64::INFINITY,
            ..ServerLoad::default()
        };
        for work in self.work.get(server).into_iter().flatten() {
            load.remaining_prefill_ms += work.remaining_prefill_ms(now);
            let decodes = matches!(work.phase, WorkPhase::Prefill | WorkPhase::Decode);
            if decodes {
                let tightest = load
                    .tightest_upcoming_inter_token_ms
                    .min(work.inter_token_ms);
                load.tightest_upcoming_inter_token_ms = tightest;
            }
            if decodes && work.inter_token_ms <= MAX_SHORT_INTER_TOKEN_MS {
                load.short_requests += 1;
            }
            match work.phase {
                WorkPhase::Prefill => {
                    load.prefilling += 1;
                    load.own_long_prefills +=
                        usize::from(work.inter_token_ms > MAX_SHORT_INTER_TOKEN_MS);
                }
                WorkPhase::Decode => {
                    load.decoding += 1;
                    load.tightest_inter_token_ms =
                        load.tightest_inter_token_ms.min(work.inter_token_ms);
                }
                WorkPhase::RemotePrefill => load.prefill_segments += 1,
                WorkPhase::RemoteCache => {}
                WorkPhase::Call => load.calls += 1,
            }
            load.context_tokens += work.context_tokens;
            load.step_tokens += work.step_tokens;
        }
        load
    }

    /// Returns the load of each workspace over all servers.
    pub(crate) fn shares(&self, fleet: &Fleet, now: Instant) -> Shares {
        let mut shares = Shares::default();
        for (server, works) in &self.work {
            let slots = fleet.get(server).map_or(1, |server| server.record().slots);
            for work in works {
                let slot = match work.phase {
                    WorkPhase::Prefill | WorkPhase::Decode => 1.0 / f64::from(slots.max(1)),
                    WorkPhase::RemotePrefill | WorkPhase::RemoteCache | WorkPhase::Call => 0.0,
                };
                let prefill = work.remaining_prefill_ms(now) / FULL_LOAD_PREFILL_MS;
                shares.add(work.workspace, slot + prefill.min(1.0));
            }
        }
        shares
    }

    /// Returns whether there has ever been work on a server.
    pub(crate) fn has_had_work(&self, server: ServerKey) -> bool {
        self.work.contains_key(server)
    }

    /// Returns the work on a server.
    pub(crate) fn work_on(&self, server: ServerKey) -> &[Work] {
        self.work.get(server).map_or(&[], Vec::as_slice)
    }

    /// Returns whether one of this node's requests has work on any server.
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
    pub fn own_work(&self, server: ServerKey, short_id: u32, now: Instant) -> Vec<PeerWork> {
        let works = self.work_on(server).iter();
        let own = works.filter(|work| matches!(work.owner, Owner::Own(_)));
        own.map(|work| PeerWork {
            server: short_id,
            phase: work.phase,
            context_tokens: work.context_tokens as u32,
            step_tokens: work.step_tokens as u32,
            prefill_ms: saturating_u16(work.prefill_ms),
            inter_token_ms: saturating_u16(work.inter_token_ms),
            age_ms: saturating_u16(now.since(work.since).as_secs_f64() * 1e3),
            predicted_prefill_ms: saturating_u16(
                work.predicted_prefill_end.since(work.since).as_secs_f64() * 1e3,
            ),
            workspace: work.workspace.number(),
        })
        .collect()
    }
}

fn saturating_u16(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}
