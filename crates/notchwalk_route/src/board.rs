//! What runs on each server, as this entry believes: its own requests exactly,
//! those of its peers as they told.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use slotmap::SecondaryMap;

use crate::{shares::Shares, Fleet, RequestKey, ServerKey, WorkspaceTag};

/// What a request does on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WorkPhase {
    /// Its prompt, or a part of it, is being read; it will generate there.
    Reading,
    /// It generates.
    Writing,
    /// A part of its prompt is being read for a request that generates
    /// elsewhere.
    Helping,
    /// A part of its prompt is held for a request that generates elsewhere.
    Holding,
    /// A call of a plain service.
    Calling,
}

/// A peer's work on one server, as peers tell each other.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct PeerWork {
    /// The server's short id.
    pub server: u32,
    /// What it does.
    pub phase: WorkPhase,
    /// Tokens of its prompt held there.
    pub context_tokens: u32,
    /// Tokens of context that each pass there pays for once it generates.
    pub pass_tokens: u32,
    /// Time its reading takes there, in milliseconds.
    pub read_ms: u16,
    /// The longest pause that is in time for it, in milliseconds.
    pub pause_ms: u16,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u16,
    /// Time from sending until reading was predicted to end, in milliseconds.
    pub reading_ms: u16,
    /// The short id of its workspace.
    pub workspace: u32,
}

/// One request's work on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    pub owner: Owner,
    pub workspace: WorkspaceTag,
    pub phase: WorkPhase,
    pub context_tokens: f64,
    pub pass_tokens: f64,
    /// Reading at this server, whole, in milliseconds.
    pub read_ms: f64,
    /// Longest pause in time, in milliseconds.
    pub pause_ms: f64,
    pub since: Instant,
    /// When its reading was predicted to end.
    pub read_by: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Own(RequestKey),
    Peer(u32),
}

impl Work {
    /// Returns the reading still to be done, in milliseconds.
    pub fn reading_left_ms(&self, now: Instant) -> f64 {
        /// Part of its reading that is taken to be left while its end was not
        /// seen, though it was predicted.
        const LATE_PART: f64 = 0.15;
        if !matches!(self.phase, WorkPhase::Reading | WorkPhase::Helping) {
            return 0.0;
        }
        let whole = self.read_by.since(self.since).as_secs_f64();
        let left = self.read_by.since(now).as_secs_f64();
        if whole <= 0.0 {
            return self.read_ms * LATE_PART;
        }
        self.read_ms * (left / whole).clamp(LATE_PART, 1.0)
    }
}

/// What stands on a server, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests that generate.
    pub writers: usize,
    /// Requests that will generate once their prompt is read.
    pub readers: usize,
    /// Memory in use, in tokens.
    pub context_tokens: f64,
    /// Context in tokens that passes pay for.
    pub pass_tokens: f64,
    /// Reading left, in milliseconds.
    pub reading_ms: f64,
    /// Long prompts that are read here and will generate here; an engine reads
    /// parts for others before them.
    pub own_long_reads: usize,
    /// Requests with a tight pause objective.
    pub short: usize,
    /// The tightest pause objective of those that generate, in milliseconds;
    /// infinite without any.
    pub tightest_pause_ms: f64,
    /// The same over those that still read as well.
    pub tightest_coming_pause_ms: f64,
    /// Calls of a plain service.
    pub calls: usize,
    /// Prompts being read as a helper.
    pub helping: usize,
}

impl ServerLoad {
    /// Returns the requests that take a slot.
    pub fn occupied(&self) -> usize {
        self.writers + self.readers + self.calls
    }
}

/// Work on all servers.
#[derive(Debug, Default)]
pub struct Board {
    work: SecondaryMap<ServerKey, Vec<Work>>,
    /// When each peer last told something.
    peers: HashMap<u32, Instant>,
    /// Servers whose own work changed since the last digest.
    changed: Vec<ServerKey>,
}

/// Pause objectives at or below this mark short work, in milliseconds.
const SHORT_PAUSE_MS: f64 = 400.0;
/// Reading that counts as a whole engine kept busy, in milliseconds: the time
/// over which shares are compared, about that of a short answer.
const FULL_READING_MS: f64 = 1_000.0;
/// The pause objective of work that has none, in milliseconds.
pub(crate) const NO_PAUSE_MS: f64 = 60_000.0;

impl Board {
    pub(crate) fn add(&mut self, server: ServerKey, work: Work) {
        if let Some(entry) = self.work.entry(server) {
            entry.or_default().push(work);
        }
        self.mark(server);
    }

    fn mark(&mut self, server: ServerKey) {
        if !self.changed.contains(&server) {
            self.changed.push(server);
        }
    }

    /// Sets the phase of an own request on a server.
    pub(crate) fn set_phase(&mut self, server: ServerKey, request: RequestKey, phase: WorkPhase) {
        let works = self.work.get_mut(server).into_iter().flatten();
        for work in works {
            if work.owner == Owner::Own(request) {
                work.phase = phase;
            }
        }
        self.mark(server);
    }

    /// Takes an own request off a server.
    pub(crate) fn remove(&mut self, server: ServerKey, request: RequestKey) {
        if let Some(works) = self.work.get_mut(server) {
            works.retain(|work| work.owner != Owner::Own(request));
        }
        self.mark(server);
    }

    /// Forgets a server that is gone.
    pub(crate) fn forget_server(&mut self, server: ServerKey) {
        self.work.remove(server);
        self.changed.retain(|&other| other != server);
    }

    /// Replaces what a peer has on some servers.
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
        for (server, told) in work {
            let since = now.before(Duration::from_millis(told.age_ms.into()));
            let item = Work {
                owner: Owner::Peer(peer),
                workspace: WorkspaceTag::from_number(told.workspace),
                phase: told.phase,
                context_tokens: told.context_tokens.into(),
                pass_tokens: told.pass_tokens.into(),
                read_ms: told.read_ms.into(),
                pause_ms: told.pause_ms.into(),
                since,
                read_by: since.after(Duration::from_millis(told.reading_ms.into())),
            };
            if let Some(entry) = self.work.entry(server) {
                entry.or_default().push(item);
            }
        }
    }

    /// Forgets what a peer told.
    pub(crate) fn forget_peer(&mut self, peer: u32) {
        self.peers.remove(&peer);
        for (_, works) in &mut self.work {
            works.retain(|work| work.owner != Owner::Peer(peer));
        }
    }

    /// Forgets peers that have told nothing since `since`.
    pub(crate) fn forget_silent_peers(&mut self, since: Instant) {
        let silent: Vec<u32> = self
            .peers
            .iter()
            .filter(|(_, &heard)| heard < since)
            .map(|(&peer, _)| peer)
            .collect();
        for peer in silent {
            self.forget_peer(peer);
        }
    }

    /// Sums up what stands on a server.
    pub fn load(&self, server: ServerKey, now: Instant) -> ServerLoad {
        let mut load = ServerLoad {
            tightest_pause_ms: f64::INFINITY,
            tightest_coming_pause_ms: f64::INFINITY,
            ..ServerLoad::default()
        };
        for work in self.work.get(server).into_iter().flatten() {
            load.reading_ms += work.reading_left_ms(now);
            let generates = matches!(work.phase, WorkPhase::Reading | WorkPhase::Writing);
            if generates {
                let tightest = load.tightest_coming_pause_ms.min(work.pause_ms);
                load.tightest_coming_pause_ms = tightest;
            }
            if generates && work.pause_ms <= SHORT_PAUSE_MS {
                load.short += 1;
            }
            match work.phase {
                WorkPhase::Reading => {
                    load.readers += 1;
                    load.own_long_reads += usize::from(work.pause_ms > SHORT_PAUSE_MS);
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

    /// Sums up what workspaces have on all servers.
    pub(crate) fn shares(&self, fleet: &Fleet, now: Instant) -> Shares {
        let mut shares = Shares::default();
        for (server, works) in &self.work {
            let slots = fleet.get(server).map_or(1, |server| server.record.slots);
            for work in works {
                let slot = match work.phase {
                    WorkPhase::Reading | WorkPhase::Writing => 1.0 / f64::from(slots.max(1)),
                    WorkPhase::Helping | WorkPhase::Holding | WorkPhase::Calling => 0.0,
                };
                let reading = work.reading_left_ms(now) / FULL_READING_MS;
                shares.add(work.workspace, slot + reading.min(1.0));
            }
        }
        shares
    }

    /// Tells whether there was ever work on a server, as far as is known.
    pub(crate) fn knows(&self, server: ServerKey) -> bool {
        self.work.contains_key(server)
    }

    /// Returns the work on a server.
    pub(crate) fn on(&self, server: ServerKey) -> &[Work] {
        self.work.get(server).map_or(&[], Vec::as_slice)
    }

    /// Tells whether an own request is on any server.
    pub(crate) fn has_request(&self, request: RequestKey) -> bool {
        let mut works = self.work.iter().flat_map(|(_, works)| works);
        works.any(|work| work.owner == Owner::Own(request))
    }

    /// Tells whether own work changed since it was last taken.
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the servers whose own work changed since the last call.
    pub fn take_changed(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.changed)
    }

    /// Returns this entry's own work on a server, for its peers.
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
