//! What the end of a send says about its request and its server, and which
//! requests go to no server because servers ended under them.
//!
//! It answers requests that crash each server that runs them and come again at any
//! entry: without it, one such request every 150 ms cost a fleet of 16 servers 37
//! crashes in seven seconds, and 69 of 100 other requests were not served.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, News, Quarantine, Verdict};

use super::Router;
use crate::{request::Request, shares::tag_of, AttemptEnd, Effect, Refusal, RequestKey, ServerKey};

/// How long a request waits for another run of the same content, before it is
/// refused: a short answer is there, or its server has crashed, by then.
const WAITS_FOR_OTHER_RUN: Duration = Duration::from_millis(1_000);

/// What becomes of a request for what is held against its content.
pub(super) enum Standing {
    /// It may be sent.
    Clear,
    /// It waits until another run of the same content ended.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

impl Router {
    /// Returns what is known of requests under which servers ended.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Takes what peers are to be told of suspects at once.
    pub fn take_news(&mut self) -> Vec<News> {
        self.quarantine.take_news()
    }

    /// Returns whether a request may be sent, for all that is held against its
    /// content.
    pub(super) fn standing(&self, request: &Request, now: Instant) -> Standing {
        match self.quarantine.verdict(request.facts.content, now) {
            Verdict::Free | Verdict::Suspected { .. } => Standing::Clear,
            Verdict::Quarantined { .. } => Standing::Refuse(Refusal::Quarantined),
            Verdict::Held => Standing::Refuse(Refusal::Suspected),
            Verdict::Busy if now.since(request.waits_since) < WAITS_FOR_OTHER_RUN => Standing::Wait,
            Verdict::Busy => Standing::Refuse(Refusal::Suspected),
        }
    }

    /// Returns how likely a request crashes its server, 0 to 1.
    pub(super) fn crash_risk(&self, request: &Request, now: Instant) -> f64 {
        match self.quarantine.verdict(request.facts.content, now) {
            Verdict::Suspected { risk } => risk,
            _ => 0.0,
        }
    }

    /// Returns how long a request's content is still quarantined, if it is.
    pub(super) fn quarantine_left(&self, key: RequestKey, now: Instant) -> Option<Duration> {
        let request = self.requests.get(key)?.as_ref()?;
        match self.quarantine.verdict(request.facts.content, now) {
            Verdict::Quarantined { until } => Some(until.since(now)),
            _ => None,
        }
    }

    fn tag(&self, server: ServerKey) -> Option<u32> {
        self.fleet.get(server).map(|server| server.tag)
    }

    /// Takes from the end of a send what it says about content and server.
    pub(super) fn note_end(&mut self, key: RequestKey, end: AttemptEnd, now: Instant) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let (content, sent_at) = (request.facts.content, request.sent_at);
        let Some(server) = request.at else {
            return;
        };
        let tag = self.tag(server);
        let answered = matches!(
            end,
            AttemptEnd::Delivered { .. }
                | AttemptEnd::Failed
                | AttemptEnd::Unusable
                | AttemptEnd::NotRun {
                    at_fault: None,
                    moved: false
                }
        );
        if let Some(tag) = tag.filter(|_| answered) {
            self.quarantine.note_server_lived(tag, sent_at, now);
        }
        match end {
            AttemptEnd::Delivered { healthy: true } => self.quarantine.note_succeeded(content, now),
            AttemptEnd::Broken => self.note_crash(key, server, false, now),
            AttemptEnd::Silent => self.note_crash(key, server, true, now),
            AttemptEnd::NotConnected | AttemptEnd::NotRun { moved: true, .. } => {
                self.quarantine.note_idle(content);
                if let Some(tag) = tag {
                    self.quarantine.note_server_ended(tag, true, now);
                }
            }
            AttemptEnd::NotRun {
                at_fault: Some(addr),
                ..
            } => {
                // The part that a helper read may have crashed it, if it lived when
                // the part was sent.
                let helper = self.fleet.by_addr(addr).filter(|&key| key != server);
                let lived = |&key: &ServerKey| self.fleet.was_heard_since(key, sent_at);
                match helper.filter(lived).and_then(|key| self.tag(key)) {
                    Some(tag) => {
                        self.quarantine.note_broken(content, &[tag], 0, false, now);
                    }
                    None => self.quarantine.note_idle(content),
                }
            }
            _ => self.quarantine.note_idle(content),
        }
    }

    /// Notes that the connection to a server ended, or fell silent, under a request.
    /// A server that said that it leaves, or that went off the record before, ends
    /// by itself.
    fn note_crash(&mut self, key: RequestKey, server: ServerKey, silent: bool, now: Instant) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let content = request.facts.content;
        let servers = std::iter::once(&server).chain(&request.helpers);
        let tags: Vec<u32> = servers.filter_map(|&key| self.crashed_tag(key)).collect();
        if tags.is_empty() {
            return self.quarantine.note_idle(content);
        }
        let others = self.board.on(server).len().saturating_sub(1);
        let others = u16::try_from(others).unwrap_or(u16::MAX);
        self.quarantine
            .note_broken(content, &tags, others, silent, now);
    }

    /// Returns the short id of a server that may just have crashed.
    fn crashed_tag(&self, server: ServerKey) -> Option<u32> {
        let Some(known) = self.fleet.get(server) else {
            return self.fleet.ended_life(server).map(|life| life.tag);
        };
        (!known.leaves()).then_some(known.tag)
    }

    /// Keeps a request whose content is suspected to a few servers that are its
    /// content's own. Entries that lose streams to one crash choose alike, in the same
    /// moment: on two of eleven days with a request that crashes its servers, one or two
    /// harmless ones went with it from server to server and were quarantined as well.
    pub(super) fn scatter_suspect(&mut self, key: RequestKey, now: Instant) {
        /// One in so many of the servers, and at least as many as leave a choice by load.
        const ONE_IN: usize = 4;
        const LEAST: usize = 3;
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let content = request.facts.content;
        let needs_many = self
            .engine_placement(&request.service, now)
            .is_some_and(|placement| placement.exceeds_engine(&self.demand(request, now)));
        if needs_many || self.quarantine.verdict(content, now) == Verdict::Free {
            return;
        }
        let servers = self.fleet.in_use(&request.service, now).iter();
        let may_go = |key: &&ServerKey| {
            let server = self.fleet.get(**key);
            server.is_some_and(|server| server.takes_work(now)) && !request.tried.contains(key)
        };
        let mut servers: Vec<ServerKey> = servers.filter(may_go).copied().collect();
        servers.sort_by_key(|&key| {
            let tag = self.tag(key).unwrap_or_default();
            tag_of(&format!("{content}/{tag}"))
        });
        let own = (servers.len() / ONE_IN).max(LEAST).min(servers.len());
        let others = servers.split_off(own);
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.tried.extend(others);
        }
    }

    /// Takes what a peer told of suspects.
    pub(super) fn hear_news(&mut self, peer: u32, news: &[News], now: Instant) {
        self.quarantine.hear(peer, news, now);
        for item in news {
            let News::Crashed { content, .. } = *item else {
                continue;
            };
            // The peer can't know that the same runs here.
            if self.is_running(content) {
                self.quarantine.note_sent(content, now);
            }
        }
    }

    fn is_running(&self, content: Fingerprint) -> bool {
        let requests = self.requests.values().flatten();
        let mut same = requests.filter(|request| request.facts.content == content);
        same.any(|request| request.at.is_some())
    }

    /// Notes that nobody waits any more for a request.
    pub(super) fn abandoned(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return self.forget(key, now, out);
        };
        if request.at.is_some() {
            self.quarantine.note_idle(request.facts.content);
        }
        if request.reserving.is_some() {
            self.take_back_sends(key, now);
        }
        self.forget(key, now, out);
    }

    /// Has it checked whether servers still listen under which requests broke.
    pub(super) fn check_servers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for server in self.quarantine.take_checks(now) {
            let known = self.fleet.by_tag(server);
            let Some(known) = known.and_then(|key| self.fleet.get(key)) else {
                continue;
            };
            let addr = known.record.addr;
            out.push(Effect::Check { server, addr });
        }
    }

    /// Hands out what became known of suspects.
    pub(super) fn tell_findings(&mut self, out: &mut Vec<Effect>) {
        let findings = self.quarantine.take_findings();
        out.extend(findings.into_iter().map(Effect::Found));
    }
}
