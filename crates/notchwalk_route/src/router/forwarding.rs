//! Forwards requests to peers while this node can't reach their service.
//!
//! A forwarded request is one attempt of this node, like a send to a server. The peer starts
//! it on at most one server and never forwards it, so that this node alone decides about
//! further attempts.

use notchwalk_core::Instant;

use super::Router;
use crate::{
    forward_peers::WantedPeer, request::Request, retry_budget::SendCount, shares::short_id_of,
    AttemptEnd, Effect, ForwardedSend, Forwarding, PeerStatus, Refusal, RequestKey,
};

/// Maximum number of peers that a request is forwarded to, refusals included.
const MAX_FORWARDS: usize = 4;

impl Router {
    pub(super) fn handle_peer_status(&mut self, peer: u32, status: PeerStatus, now: Instant) {
        self.forward_peers.record_status(peer, status, now);
    }

    /// Forgets a peer that expired or restarted. What its former process refused or failed to
    /// serve says nothing about a new one.
    pub(super) fn forget_forward_peer(&mut self, peer: u32) {
        self.forward_peers.remove(peer);
        for request in self.requests.values_mut().flatten() {
            request.refused_by.retain(|&by| by != peer);
        }
    }

    /// Returns the peer that a request is to be forwarded to; `None` if this node sends it
    /// itself, or if no peer reaches its service.
    pub(super) fn peer_to_forward_to(&self, request: &Request, now: Instant) -> Option<u32> {
        let needs_peer = request.next_send == SendCount::PeerRetry
            || self.links.is_unreachable(&request.service)
            || self.has_ejected_all(request, now);
        match needs_peer {
            true => self.choose_peer(request, now),
            false => None,
        }
    }

    /// Returns the peer whose retry budget may pay for a retry that the budget of this node
    /// does not allow. That is for the retries after a lost link only.
    pub(super) fn peer_to_pay_retry(&self, request: &Request, now: Instant) -> Option<u32> {
        match self.links.is_suspect(&request.service) {
            true => self.choose_peer(request, now),
            false => self.peer_to_forward_to(request, now),
        }
    }

    fn choose_peer(&self, request: &Request, now: Instant) -> Option<u32> {
        if request.facts.forwarded.is_some() || request.forwarded_to.len() >= MAX_FORWARDS {
            return None;
        }
        let wanted = WantedPeer {
            service: &request.service,
            refused_by: &request.refused_by,
            tried: &request.forwarded_to,
            config_version: self.version,
            salt: short_id_of(&request.facts.content.to_string()),
        };
        self.forward_peers.choose(&wanted, now)
    }

    /// Returns whether no server is left for a request because this node ejected some. A peer
    /// may reach them; servers that are draining or reject requests treat all nodes alike.
    /// Suspected content may run on some of the servers only, which holds at the peers as well.
    fn has_ejected_all(&self, request: &Request, now: Instant) -> bool {
        if self.is_suspected(request.facts.content, now) {
            return false;
        }
        let servers = self.fleet.of_service(&request.service).iter();
        let servers = servers.filter_map(|&key| Some((key, self.fleet.get(key)?)));
        let mut has_ejected = false;
        for (key, server) in servers {
            if server.is_ejected(now) {
                has_ejected = true;
            } else if server.accepts_requests(now) && !request.attempted.contains(&key) {
                return false;
            }
        }
        has_ejected
    }

    /// Forwards a request to a peer.
    pub(super) fn forward(
        &mut self,
        key: RequestKey,
        peer: u32,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(status) = self.forward_peers.status(peer) else {
            return;
        };
        let (name, addr) = (status.name.clone(), status.addr);
        let excluded_servers = self.servers_backing_off(key, now);
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let counts_as = match request.next_send {
            SendCount::FirstAttempt => ForwardedSend::FirstAttempt,
            SendCount::PeerRetry => ForwardedSend::Retry,
            SendCount::Retry | SendCount::Nothing => ForwardedSend::Counted,
        };
        if request.next_send == SendCount::Retry {
            self.retry_budgets
                .record_send(&request.service, SendCount::Retry, now);
            request.next_send = SendCount::Nothing;
        }
        request.sent_at = now;
        request.started = false;
        request.current_peer = Some(peer);
        request.forwarded_to.push(peer);
        let to = Forwarding {
            peer: name,
            addr,
            counts_as,
            config_version: self.version,
            excluded_servers,
            first_output_timeout: request.forwarded_output_timeout(),
            inter_token_timeout: request.inter_token_timeout(),
        };
        self.forward_peers.record_forwarded(peer);
        out.push(Effect::Forward { request: key, to });
    }

    /// Returns the servers of a request's service that requested a backoff from this node.
    fn servers_backing_off(&self, key: RequestKey, now: Instant) -> Vec<u32> {
        let Some(Some(request)) = self.requests.get(key) else {
            return Vec::new();
        };
        let servers = self.fleet.of_service(&request.service).iter();
        let servers = servers.filter_map(|&key| self.fleet.get(key));
        let backing_off = servers.filter(|server| !server.backoff_remaining(now).is_zero());
        backing_off.map(|server| server.short_id).collect()
    }

    /// Excludes the servers that requested a backoff from the peer that forwarded a request.
    pub(super) fn exclude_servers_of_peer(&mut self, key: RequestKey) {
        if let Some(Some(request)) = self.requests.get_mut(key) {
            let excluded = request.facts.excluded_servers.iter();
            let excluded = excluded.filter_map(|&server| self.fleet.by_short_id(server));
            request.attempted.extend(excluded);
        }
    }

    /// Records that the attempt of a request at a peer ended, if there is one.
    pub(super) fn end_forwarding(
        &mut self,
        key: RequestKey,
        end: Option<AttemptEnd>,
        now: Instant,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return;
        };
        let Some(peer) = request.current_peer.take() else {
            return;
        };
        if matches!(
            end,
            Some(AttemptEnd::PeerRefused { .. } | AttemptEnd::NotConnected)
        ) {
            request.refused_by.push(peer);
        }
        self.forward_peers.record_end(peer, end, now);
    }

    /// Charges a forwarded retry to the budget of this node; returns whether it is allowed.
    pub(super) fn charge_forwarded(&mut self, key: RequestKey, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            return false;
        };
        request.next_send = match request.facts.forwarded {
            None | Some(ForwardedSend::FirstAttempt) => SendCount::FirstAttempt,
            Some(ForwardedSend::Counted) => SendCount::Nothing,
            Some(ForwardedSend::Retry) => {
                if !self.retry_budgets.try_reserve(&request.service, now) {
                    request.next_send = SendCount::Nothing;
                    return false;
                }
                SendCount::Retry
            }
        };
        true
    }
}

/// Returns whether a request that a peer refused may go to another peer. Other refusals apply
/// at all nodes.
pub(super) fn may_try_other_peer(reason: Refusal) -> bool {
    matches!(
        reason,
        Refusal::NotReady
            | Refusal::Draining
            | Refusal::NoServer
            | Refusal::NotRun
            | Refusal::PeerBusy
    )
}
