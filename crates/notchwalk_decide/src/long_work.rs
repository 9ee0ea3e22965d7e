//! Long prompts. Each needs a memory reservation from the home of its engine, so
//! that the nodes together never overcommit an engine. A prompt larger than an
//! engine's memory is spread over several engines, all or none.
//!
//! The home checks its ledger and reserves in one step. Reservations are made
//! in the order of server numbers and released in reverse order. A denied
//! reservation releases the granted ones, so there is no deadlock.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::{Attempt, Instant, RequestId, ServerId, Tokens};
use notchwalk_wire::{
    LongReply, LongReplyKind, LongRequest, LongRequestKind, LongReservation, PeerMessage,
};
use rand::Rng;

use crate::{
    attempt, credit,
    effect::{Effect, SegmentPrefill},
    lane::Lane,
    long_home,
    node::{Cx, Node},
    placement,
    request::{Phase, RequestKey},
    schedule,
    server::ServerKey,
    sweep,
    timer::TimerKind,
};

/// Maximum number of requests that wait for reservations at the same time.
const MAX_RESERVING: usize = 8;
/// Maximum time to wait for a home's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a reservation that waits for memory is requested again.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Backoff after all servers denied a reservation.
const DENIED_BACKOFF: Duration = Duration::from_millis(80);
/// Engine time per prefilled prompt token, to convert charged time to tokens.
const PREFILL_US_PER_TOKEN: u64 = 40;
/// Time limit of a segment, in addition to a multiple of its prefill time, in
/// milliseconds.
const SEGMENT_BASE_TIMEOUT_MS: u64 = 10_000;
/// Multiple of the estimated prefill time allowed for a segment.
const SEGMENT_PREFILL_FACTOR: u64 = 4;
/// Share of an engine's memory that a single long prompt may use, in percent.
pub(crate) const SOLE_PROMPT_PERCENT: Tokens = 95;

/// The reservations of one request.
#[derive(Clone, Debug)]
pub(crate) struct LongPlan {
    /// The servers, ordered by number.
    pub servers: Vec<ServerKey>,
    /// Tokens to reserve on each server.
    pub tokens_per_server: Tokens,
    /// How many servers have granted their reservation.
    pub granted: usize,
    /// How many segments are prefilled.
    pub segments_done: usize,
    /// Servers that denied a reservation in this round.
    pub denied_by: Vec<ServerKey>,
}

/// Returns the lane whose priority long work gets after waiting for `steps`
/// ageing periods.
pub(crate) fn aged_lane(lane: Lane, steps: u64) -> Lane {
    match (lane, steps) {
        (Lane::Huge | Lane::Long, 1) => Lane::Medium,
        (Lane::Huge | Lane::Long, 2..) => Lane::Short,
        (lane, _) => lane,
    }
}

/// Starts reserving for the request at the head of its lane. Returns whether
/// the request left the lane.
pub(crate) fn start_reserving(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) -> bool {
    if node.reserving >= MAX_RESERVING {
        return false;
    }
    schedule::dequeue(node, key);
    let req = &mut node.requests[key];
    req.phase = Phase::Asking;
    node.reserving += 1;
    choose_servers(node, cx, key, Vec::new());
    true
}

/// Chooses servers for a request and sends the first reservation.
fn choose_servers(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, denied_by: Vec<ServerKey>) {
    let tokens = placement::tokens_to_reserve(node, key);
    let group = node.requests[key].group;
    let mut ranked = Vec::new();
    let mut largest = 0;
    for server in node.servers.of_group(group).to_vec() {
        if !placement::can_serve(node, cx.now, key, server) {
            continue;
        }
        largest = largest.max(node.servers.arena[server].capacity());
        if denied_by.contains(&server) {
            continue;
        }
        let score = long_score(node, cx.now, key, server);
        ranked.push((score, server));
    }
    if largest == 0 {
        return back_off_denied(node, cx, key);
    }
    let short_reserve_percent = node.bundle().map_or(0, |b| b.policy.short_reserve_percent);
    let segments_at = |percent: Tokens| tokens.div_ceil((largest * percent / 100).max(1)) as usize;
    // Leaves room for short work on each server, unless there are too few.
    let mut segments = segments_at(100 - short_reserve_percent);
    if ranked.len() < segments {
        segments = segments_at(SOLE_PROMPT_PERCENT);
    }
    if ranked.len() < segments {
        return back_off_denied(node, cx, key);
    }
    ranked.sort_unstable();
    let mut servers: Vec<_> = ranked.into_iter().take(segments).map(|(_, s)| s).collect();
    servers.sort_unstable_by_key(|server| node.servers.arena[*server].id);
    node.requests[key].plan = Some(LongPlan {
        servers,
        tokens_per_server: tokens.div_ceil(segments as u64),
        granted: 0,
        segments_done: 0,
        denied_by,
    });
    send_reserve(node, cx, key);
}

/// Scores a server for a long prompt; the lowest score wins. Low load and a
/// cached prefix lower it.
fn long_score(node: &mut Node, now: Instant, key: RequestKey, server: ServerKey) -> u64 {
    let jitter = node.rng.random_range(0..4_096);
    let req = &node.requests[key];
    let prefix = req.generate().map_or(&[][..], |work| &work.prefix);
    let cached = node.servers.arena[server].prefix.cached_tokens(prefix);
    let avoided = if req.avoid == Some(server) {
        1 << 32
    } else {
        0
    };
    let target = &node.servers.arena[server];
    let load = target.fresh_report(now).map_or(u64::from(u32::MAX), |r| {
        r.backlog_tokens + r.used_tokens / 4
    });
    let reserved = node.reservation_ledgers.reserved_on(target.id);
    // Servers where this node has used up its share of time rank lower.
    let debt_us = target.time_charged_until.since(now).as_micros() as u64;
    let debt = debt_us / PREFILL_US_PER_TOKEN;
    (load + reserved + debt + jitter + avoided).saturating_sub(cached)
}

fn back_off_denied(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    stop_reserving(node, key);
    schedule::back_off(node, cx, key, DENIED_BACKOFF);
}

fn stop_reserving(node: &mut Node, key: RequestKey) {
    if node.requests[key].phase == Phase::Asking {
        node.reserving -= 1;
        node.requests[key].phase = Phase::Backoff;
    }
}

/// Sends a reservation to the home of the plan's next server.
fn send_reserve(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &node.requests[key];
    let Some(plan) = &req.plan else {
        return;
    };
    let server = plan.servers[plan.granted];
    let message = LongRequest {
        request: req.id,
        server: node.servers.arena[server].id,
        kind: LongRequestKind::Reserve(plan.tokens_per_server),
    };
    node.timers
        .set(cx.now.after(REPLY_TIMEOUT), key, TimerKind::Reserve);
    send_to_home(node, cx, message);
}

fn send_to_home(node: &mut Node, cx: &mut Cx<'_>, message: LongRequest) {
    let home = credit::home_of(node, cx.now, message.server);
    if home == node.cfg.vm {
        long_home::on_request(node, cx, home, message);
        return;
    }
    let message = Box::new(PeerMessage::LongRequest(message));
    cx.emit(Effect::Peer { to: home, message });
}

/// Handles a home's reply.
pub(crate) fn on_reply(node: &mut Node, cx: &mut Cx<'_>, reply: LongReply) {
    let key = node.by_seq.get(&reply.request.seq).copied();
    let waiting_request = key.filter(|key| awaits_reply(node, *key, reply));
    let Some(key) = waiting_request else {
        if reply.kind == LongReplyKind::Granted && !is_reserved(node, key, reply) {
            release(node, cx, reply.request, reply.server);
        }
        return;
    };
    match reply.kind {
        LongReplyKind::Granted => on_granted(node, cx, key),
        LongReplyKind::Denied => on_denied(node, cx, key),
        LongReplyKind::Clearing => {
            node.timers
                .set(cx.now.after(RESERVE_RETRY_DELAY), key, TimerKind::Reserve);
        }
    }
}

fn awaits_reply(node: &Node, key: RequestKey, reply: LongReply) -> bool {
    let Some(req) = node.requests.get(key) else {
        return false;
    };
    let Some(plan) = &req.plan else {
        return false;
    };
    let next_server = plan.servers.get(plan.granted);
    let next_server = next_server.map(|server| node.servers.arena[*server].id);
    req.id == reply.request && req.phase == Phase::Asking && next_server == Some(reply.server)
}

/// Returns whether a reservation belongs to a plan that is still active.
fn is_reserved(node: &Node, key: Option<RequestKey>, reply: LongReply) -> bool {
    let plan = key
        .and_then(|key| node.requests.get(key))
        .and_then(|req| req.plan.as_ref());
    plan.is_some_and(|plan| {
        let granted = plan.servers.iter().take(plan.granted);
        let mut ids = granted.map(|server| node.servers.arena[*server].id);
        ids.any(|id| id == reply.server)
    })
}

fn on_granted(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(plan) = node.requests[key].plan.as_mut() else {
        return;
    };
    plan.granted += 1;
    if plan.granted < plan.servers.len() {
        return send_reserve(node, cx, key);
    }
    stop_reserving(node, key);
    continue_plan(node, cx, key);
}

fn on_denied(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(mut plan) = node.requests[key].plan.clone() else {
        return;
    };
    let denied = plan.servers[plan.granted];
    release_granted(node, cx, key);
    node.requests[key].plan = None;
    plan.denied_by.push(denied);
    choose_servers(node, cx, key, plan.denied_by);
}

/// Repeats a reservation that got no response, or that waits for memory.
pub(crate) fn on_reserve_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let reserving = node
        .requests
        .get(key)
        .is_some_and(|req| req.phase == Phase::Asking);
    if reserving {
        send_reserve(node, cx, key);
    }
}

/// Starts the next segment of a fully granted plan, or the attempt on the last
/// server.
fn continue_plan(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &mut node.requests[key];
    let prompt = req.prompt_tokens();
    let Some(plan) = req.plan.as_ref() else {
        return;
    };
    let done = plan.segments_done;
    let segments = plan.servers.len();
    let server = plan.servers[done];
    let reserved = plan.tokens_per_server;
    let segment_tokens = prompt.div_ceil(segments as u64);
    if done + 1 == segments {
        let backlog = prompt.saturating_sub(segment_tokens * done as u64);
        if segments == 1 {
            req.attempt.0 += 1;
        }
        attempt::start(node, cx, key, server, reserved, backlog);
        return;
    }
    if done == 0 {
        req.attempt.0 += 1;
    }
    req.phase = Phase::Running;
    req.sent = true;
    let (attempt, group, left) = (req.attempt, req.group, req.deadline.since(cx.now));
    let prefill_ms = node.costs[group.index()].prefill_us(segment_tokens) / 1_000;
    let stall_timeout_ms = SEGMENT_BASE_TIMEOUT_MS + prefill_ms * SEGMENT_PREFILL_FACTOR;
    cx.emit(Effect::Segment(SegmentPrefill {
        timeout_ms: stall_timeout_ms.min(left.as_millis() as u64),
        request: key,
        attempt,
        server: node.servers.arena[server].id,
        from: segment_tokens * done as u64,
        to: (segment_tokens * (done as u64 + 1)).min(prompt),
    }));
}

/// Handles a segment that is prefilled and exported.
pub(crate) fn on_segment_ready(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    attempt: Attempt,
) {
    let Some(req) = node.requests.get_mut(key) else {
        return;
    };
    if req.attempt != attempt || req.running.is_some() {
        return;
    }
    let Some(plan) = req.plan.as_mut() else {
        return;
    };
    let server = plan.servers[plan.segments_done];
    plan.segments_done += 1;
    send_prefill_done(node, cx, key, server);
    continue_plan(node, cx, key);
}

/// Handles the first token, which ends the prefill on the last server.
pub(crate) fn on_prefill_done(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let plan = node.requests[key].plan.as_ref();
    let last = plan.and_then(|plan| plan.servers.last().copied());
    if let Some(server) = last {
        send_prefill_done(node, cx, key, server);
    }
}

fn send_prefill_done(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, server: ServerKey) {
    let message = LongRequest {
        request: node.requests[key].id,
        server: node.servers.arena[server].id,
        kind: LongRequestKind::PrefillDone,
    };
    send_to_home(node, cx, message);
}

fn release(node: &mut Node, cx: &mut Cx<'_>, request: RequestId, server: ServerId) {
    let message = LongRequest {
        request,
        server,
        kind: LongRequestKind::Release,
    };
    send_to_home(node, cx, message);
}

/// Releases the plan's granted reservations and the one requested last, in
/// reverse order.
fn release_granted(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &node.requests[key];
    let id = req.id;
    let Some(plan) = req.plan.clone() else {
        return;
    };
    let requested = (plan.granted + 1).min(plan.servers.len());
    for server in plan.servers[..requested].iter().rev() {
        let server = node.servers.arena[*server].id;
        release(node, cx, id, server);
    }
}

/// Ends a request's plan in any phase: releases its reservations and cancels
/// its segments.
pub(crate) fn release_plan(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.plan.is_none() {
        stop_reserving(node, key);
        return;
    }
    stop_reserving(node, key);
    release_granted(node, cx, key);
    let req = &mut node.requests[key];
    let (id, up_to) = (req.id, req.attempt);
    let Some(plan) = req.plan.take() else {
        return;
    };
    let started = match plan.granted == plan.servers.len() && plan.servers.len() > 1 {
        true => plan.segments_done + 1,
        false => 0,
    };
    for server in plan.servers[..started].iter().rev() {
        sweep::cancel(node, cx, *server, id, up_to);
    }
}

/// Returns the servers that the plans of this node's requests name.
pub(crate) fn planned_servers(node: &Node) -> HashSet<ServerKey> {
    let plans = node.requests.values().filter_map(|req| req.plan.as_ref());
    plans
        .flat_map(|plan| plan.servers.iter().copied())
        .collect()
}

/// Returns the reservations of this node's requests, for heartbeats.
pub(crate) fn own_reservations(node: &Node) -> Vec<LongReservation> {
    let mut reservations = Vec::new();
    for req in node.requests.values() {
        let Some(plan) = &req.plan else { continue };
        for (i, server) in plan.servers.iter().take(plan.granted).enumerate() {
            let prefilled = req.running.is_some_and(|r| r.first_token_received);
            reservations.push(LongReservation {
                server: node.servers.arena[*server].id,
                request: req.id,
                tokens: plan.tokens_per_server,
                prefill_done: i < plan.segments_done || prefilled,
            });
        }
    }
    reservations
}
