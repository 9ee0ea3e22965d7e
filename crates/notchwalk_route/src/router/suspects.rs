//! Attributes server crashes to request contents and enforces quarantines.
//!
//! Guards against a request that crashes every server it runs on and that its caller retries
//! at any node.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::{
    Fingerprint, PromptPart, Quarantine, QuarantineUpdate, RequestVerdict, SubjectKind, Verdict,
};

use super::Router;
use crate::{
    request::Request, shares::short_id_of, AttemptEnd, Effect, Refusal, RequestKey, ServerKey,
};

/// Maximum time that a request waits for another run of the same content to end. By then a
/// short response is complete, or its server has crashed.
const MAX_CONCURRENT_RUN_WAIT: Duration = Duration::from_millis(1_000);

/// Whether the quarantine rules allow a request to be sent.
pub(super) enum ContentCheck {
    /// The request may be sent.
    Allowed,
    /// The request waits until another run of the same content ends.
    Wait,
    /// The request is refused.
    Refuse(Refusal),
}

impl Router {
    /// Returns the quarantine state.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Takes the quarantine updates to broadcast to peers.
    pub fn take_quarantine_updates(&mut self) -> Vec<QuarantineUpdate> {
        self.quarantine.take_updates()
    }

    /// Checks a request's content and the parts of its prompt against the quarantine.
    pub(super) fn check_content(&self, request: &Request, now: Instant) -> ContentCheck {
        let RequestVerdict { verdict, subject } =
            self.quarantine.request_verdict(&request.subjects, now);
        match verdict {
            Verdict::Allowed => ContentCheck::Allowed,
            // Runs that began before their part was suspected are not tracked by the quarantine.
            Verdict::Suspected { .. } if !self.runs_part(subject) => ContentCheck::Allowed,
            Verdict::Quarantined { .. } => ContentCheck::Refuse(Refusal::Quarantined),
            Verdict::Held => ContentCheck::Refuse(Refusal::Suspected),
            Verdict::Suspected { .. } | Verdict::RunningElsewhere => {
                match now.since(request.waiting_since) < MAX_CONCURRENT_RUN_WAIT {
                    true => ContentCheck::Wait,
                    false => ContentCheck::Refuse(Refusal::Suspected),
                }
            }
        }
    }

    /// Returns whether content is suspected of crashing its servers, or quarantined.
    pub(super) fn is_suspected(&self, content: Fingerprint, now: Instant) -> bool {
        self.quarantine.verdict(content, now) != Verdict::Allowed
    }

    /// Returns the probability that a request crashes its server.
    pub(super) fn crash_risk(&self, request: &Request, now: Instant) -> f64 {
        match self
            .quarantine
            .request_verdict(&request.subjects, now)
            .verdict
        {
            Verdict::Suspected { risk } => risk,
            _ => 0.0,
        }
    }

    /// Returns whether a request of this node with this part of a prompt is assigned to a server
    /// and has not survived yet.
    fn runs_part(&self, subject: Fingerprint) -> bool {
        let mut requests = self.requests.values().flatten();
        requests.any(|request| {
            let is_running = request.server.is_some() && !request.survived;
            let is_part = request.subjects.content != subject;
            is_running && is_part && request.subjects.contains(subject)
        })
    }

    /// Handles a stream that went on for long enough to clear the parts of its prompt.
    pub(super) fn handle_survived(&mut self, key: RequestKey, now: Instant) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        if request.server.is_none() {
            return;
        }
        request.survived = true;
        self.quarantine.record_survival(&request.subjects, now);
    }

    /// Returns the remaining quarantine of a request's content, if any.
    pub(super) fn quarantine_left(&self, key: RequestKey, now: Instant) -> Option<Duration> {
        let request = self.requests.get(key)?.as_ref()?;
        match self
            .quarantine
            .request_verdict(&request.subjects, now)
            .verdict
        {
            Verdict::Quarantined { until } => Some(until.since(now)),
            _ => None,
        }
    }

    /// Reports which content or part of a prompt keeps a request from being sent.
    pub(super) fn report_blocked(&self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let blocked = self.quarantine.request_verdict(&request.subjects, now);
        let kind = match blocked.subject == request.subjects.content {
            true => SubjectKind::Content,
            false => SubjectKind::Part,
        };
        out.push(Effect::Blocked {
            request: key,
            subject: blocked.subject,
            kind,
        });
    }

    fn short_id(&self, server: ServerKey) -> Option<u32> {
        self.fleet.get(server).map(|server| server.short_id)
    }

    /// Records what the end of an attempt shows about its content and server.
    pub(super) fn record_content_outcome(
        &mut self,
        key: RequestKey,
        end: AttemptEnd,
        now: Instant,
    ) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let (subjects, sent_at) = (request.subjects.clone(), request.sent_at);
        let survived = request.survived;
        let Some(server) = request.server else {
            return;
        };
        let short_id = self.short_id(server);
        let responded = matches!(
            end,
            AttemptEnd::Delivered { .. }
                | AttemptEnd::ServerError
                | AttemptEnd::InvalidResponse
                | AttemptEnd::NotRun {
                    faulty_server: None,
                    address_reused: false
                }
        );
        if let Some(short_id) = short_id.filter(|_| responded) {
            self.quarantine.record_server_alive(short_id, sent_at, now);
        }
        match end {
            AttemptEnd::Delivered { is_success: true } => {
                self.quarantine.record_request_success(&subjects, now)
            }
            AttemptEnd::ConnectionLost => self.record_crash(key, server, false, now),
            AttemptEnd::IdleTimeout => self.record_crash(key, server, true, now),
            AttemptEnd::NotConnected
            | AttemptEnd::NotRun {
                address_reused: true,
                ..
            } => {
                self.quarantine.record_request_ended(&subjects, now);
                match short_id {
                    Some(short_id) if end == AttemptEnd::NotConnected => {
                        self.record_refused_connection(server, short_id);
                    }
                    Some(short_id) => self.quarantine.record_server_ended(short_id, true, now),
                    None => {}
                }
            }
            AttemptEnd::NotRun {
                faulty_server: Some(addr),
                ..
            } => {
                // The segment may have crashed the worker, if the worker was alive when the
                // segment was sent.
                let worker = self.engine_at(addr).filter(|&key| key != server);
                let was_alive = |&key: &ServerKey| self.fleet.has_responded_since(key, sent_at);
                match worker.filter(was_alive).and_then(|key| self.short_id(key)) {
                    Some(short_id) => {
                        self.quarantine.record_request_broken(
                            &subjects,
                            &[short_id],
                            0,
                            false,
                            survived,
                            now,
                        );
                    }
                    None => self.quarantine.record_request_ended(&subjects, now),
                }
            }
            _ => self.quarantine.record_request_ended(&subjects, now),
        }
    }

    /// Records that the connection to a server broke or timed out during a request.
    /// Draining and unregistered servers don't count as crashed.
    fn record_crash(&mut self, key: RequestKey, server: ServerKey, silent: bool, now: Instant) {
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let (subjects, survived) = (request.subjects.clone(), request.survived);
        let servers = std::iter::once(&server).chain(&request.prefill_workers);
        let short_ids: Vec<u32> = servers
            .filter_map(|&key| self.crashed_short_id(key))
            .collect();
        if short_ids.is_empty() {
            return self.quarantine.record_request_ended(&subjects, now);
        }
        let others = self.load_view.work_on(server).len().saturating_sub(1);
        let others = u16::try_from(others).unwrap_or(u16::MAX);
        self.quarantine
            .record_request_broken(&subjects, &short_ids, others, silent, survived, now);
    }

    /// Returns the short id of a server that may have crashed.
    fn crashed_short_id(&self, server: ServerKey) -> Option<u32> {
        let Some(known) = self.fleet.get(server) else {
            return self
                .fleet
                .ended_incarnation(server)
                .map(|ended| ended.short_id);
        };
        (!known.is_draining()).then_some(known.short_id)
    }

    /// Restricts a request with suspected content to a subset of servers that depends on
    /// its content. Otherwise nodes that lose requests in the same crash would all retry on
    /// the same server, and harmless contents would be quarantined too.
    pub(super) fn restrict_suspect(&mut self, key: RequestKey, now: Instant) {
        /// Number of available servers per server of the subset.
        const SERVERS_PER_CANDIDATE: usize = 4;
        /// Minimum size of the subset, so that the load can still be balanced.
        const MIN_CANDIDATES: usize = 3;
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let content = request.facts.content;
        let needs_reservation = self
            .engine_placement(&request.service, now)
            .is_some_and(|placement| placement.exceeds_engine(&self.demand(request, now)));
        if needs_reservation || !self.is_suspected(content, now) {
            return;
        }
        let servers = self.fleet.servers_in_use(&request.service, now).iter();
        let is_eligible = |key: &&ServerKey| {
            let server = self.fleet.get(**key);
            server.is_some_and(|server| server.is_available(now))
                && !request.attempted.contains(key)
        };
        let mut servers: Vec<ServerKey> = servers.filter(is_eligible).copied().collect();
        servers.sort_by_key(|&key| {
            let short_id = self.short_id(key).unwrap_or_default();
            short_id_of(&format!("{content}/{short_id}"))
        });
        let candidates = (servers.len() / SERVERS_PER_CANDIDATE)
            .max(MIN_CANDIDATES)
            .min(servers.len());
        let others = servers.split_off(candidates);
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.attempted.extend(others);
        }
    }

    /// Applies a peer's quarantine updates.
    pub(super) fn apply_quarantine_updates(
        &mut self,
        peer: u32,
        updates: &[QuarantineUpdate],
        now: Instant,
    ) {
        self.quarantine.apply_updates(peer, updates, now);
        let mut crashed_parts = HashSet::new();
        for update in updates {
            let QuarantineUpdate::Crashed {
                content, origin, ..
            } = *update
            else {
                continue;
            };
            // The peer's count doesn't include runs on this node.
            if origin.is_some() {
                crashed_parts.insert(content);
            } else if self.is_running(content) {
                self.quarantine.record_send(content, now);
            }
        }
        if !crashed_parts.is_empty() {
            self.publish_part_runs(&crashed_parts, now);
        }
    }

    /// Publishes that requests of this node with these parts of prompts are running. `parts` are
    /// their fingerprints in common.
    fn publish_part_runs(&mut self, parts: &HashSet<Fingerprint>, now: Instant) {
        let requests = self.requests.values().flatten();
        let running = requests.filter(|request| request.server.is_some() && !request.survived);
        let running = running.flat_map(|request| &request.subjects.parts);
        let running = running.filter(|part| parts.contains(&part.common()));
        let running: Vec<PromptPart> = running.copied().collect();
        self.quarantine.record_part_runs(&running, now);
    }

    /// Returns whether a request of this node with this content is assigned to a server.
    fn is_running(&self, content: Fingerprint) -> bool {
        let requests = self.requests.values().flatten();
        let mut same = requests.filter(|request| request.facts.content == content);
        same.any(|request| request.server.is_some())
    }

    /// Removes a request whose caller disconnected or timed out.
    pub(super) fn handle_abandoned(
        &mut self,
        key: RequestKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get(key) else {
            return self.remove_request(key, now, out);
        };
        if request.server.is_some() {
            self.quarantine.record_request_ended(&request.subjects, now);
        }
        if request.pending_assignment.is_some() {
            self.roll_back_sends(key, now);
        }
        self.end_forwarding(key, None, now);
        self.remove_request(key, now, out);
    }

    /// Records that no process listens at a server's address.
    pub(super) fn handle_port_closed(&mut self, server: u32, now: Instant, out: &mut Vec<Effect>) {
        match self.fleet.by_short_id(server) {
            Some(key) => {
                self.record_refused_connection(key, server);
                self.start_link_checks(now, out);
            }
            None => self.quarantine.record_server_ended(server, true, now),
        }
    }

    /// Records that a server refused a connection; the next check of the links shows whether
    /// it ended.
    fn record_refused_connection(&mut self, server: ServerKey, short_id: u32) {
        if let Some(service) = self.configured_service_of(server) {
            let service = service.to_owned();
            self.links.record_refused_connection(&service, short_id);
        }
    }

    /// Emits port probes of servers whose connections broke, to confirm crashes.
    pub(super) fn probe_servers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for server in self.quarantine.take_probes(now) {
            let server_key = self.fleet.by_short_id(server);
            let Some(known) = server_key.and_then(|key| self.fleet.get(key)) else {
                continue;
            };
            let addr = known.record().addr;
            out.push(Effect::ProbePort { server, addr });
        }
    }

    /// Emits the quarantine's new findings as effects.
    pub(super) fn emit_findings(&mut self, out: &mut Vec<Effect>) {
        let findings = self.quarantine.take_findings();
        out.extend(findings.into_iter().map(Effect::Finding));
    }
}
