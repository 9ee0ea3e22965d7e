//! Long prompts: each needs a reservation of the home of the engine it goes
//! to, so that entries never overcommit an engine with them. A prompt larger
//! than an engine's memory is spread over several engines, all or none.
//!
//! The home's ledger counts what is held before new work is granted, in one
//! step, as the paper's `held` field does (PAPER-budget-scopes-reservations-
//! 46cd.md). Reservations are taken in the order of server numbers and
//! released in reverse; nobody waits while holding, so there is no deadlock.

use std::time::Duration;

use notchwalk_core::{Attempt, Instant, RequestId, ServerId, Tokens};
use notchwalk_wire::{
    LongHold, LongReply, LongReplyKind, LongRequest, LongRequestKind, PeerMessage,
};
use rand::Rng;

use crate::{
    attempt, credit,
    effect::{Effect, SegmentOrder},
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

/// Requests of a group that ask homes at the same time.
const MAX_ASKING: usize = 8;
/// How long a home's answer is waited for.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// The pause before a home that clears room is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(60);
/// The pause after all servers denied.
const DENIED_PAUSE: Duration = Duration::from_millis(80);
/// Turns a debt of engine time into prompt tokens, roughly.
const US_PER_TOKEN: u64 = 40;
/// How long a segment may take beyond a multiple of its time, in milliseconds.
const SEGMENT_STALL_MS: u64 = 10_000;
/// That multiple.
const SEGMENT_FACTOR: u64 = 4;
/// The part of an engine's memory that a lone long prompt may take, in
/// percent.
pub(crate) const LONE_PERCENT: Tokens = 95;

/// One request's reservations.
#[derive(Clone, Debug)]
pub(crate) struct LongPlan {
    /// The servers, in the order of their numbers.
    pub servers: Vec<ServerKey>,
    /// Tokens to hold on each.
    pub tokens_each: Tokens,
    /// How many have granted.
    pub granted: usize,
    /// Segments that are computed.
    pub segments_done: usize,
    /// Servers that denied in this round.
    pub tried: Vec<ServerKey>,
}

/// Moves a class up by so many steps for long waiting.
pub(crate) fn aged_lane(lane: Lane, steps: u64) -> Lane {
    match (lane, steps) {
        (Lane::Huge | Lane::Long, 1) => Lane::Medium,
        (Lane::Huge | Lane::Long, 2..) => Lane::Short,
        (lane, _) => lane,
    }
}

/// Starts asking for room for a request at the head of its lane. Returns
/// whether it left the lane.
pub(crate) fn start_asking(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) -> bool {
    if node.asking >= MAX_ASKING {
        return false;
    }
    schedule::dequeue(node, key);
    let req = &mut node.requests[key];
    req.phase = Phase::Asking;
    node.asking += 1;
    choose(node, cx, key, Vec::new());
    true
}

/// Chooses servers for a request that asks, and asks the first.
fn choose(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, tried: Vec<ServerKey>) {
    let need = placement::hold_for(node, key);
    let group = node.requests[key].group;
    let mut ranked = Vec::new();
    let mut largest = 0;
    for server in node.servers.of_group(group).to_vec() {
        if !placement::can_serve(node, cx.now, key, server) {
            continue;
        }
        largest = largest.max(node.servers.arena[server].capacity());
        if tried.contains(&server) {
            continue;
        }
        let score = long_score(node, cx.now, key, server);
        ranked.push((score, server));
    }
    if largest == 0 {
        return pause(node, cx, key);
    }
    let short_room = node.bundle().map_or(0, |b| b.policy.short_room_percent);
    let parts_of = |percent: Tokens| need.div_ceil((largest * percent / 100).max(1)) as usize;
    // Room for short work is left on each server, unless there are too few.
    let mut parts = parts_of(100 - short_room);
    if ranked.len() < parts {
        parts = parts_of(LONE_PERCENT);
    }
    if ranked.len() < parts {
        return pause(node, cx, key);
    }
    ranked.sort_unstable();
    let mut servers: Vec<_> = ranked.into_iter().take(parts).map(|(_, s)| s).collect();
    servers.sort_unstable_by_key(|server| node.servers.arena[*server].id);
    node.requests[key].plan = Some(LongPlan {
        servers,
        tokens_each: need.div_ceil(parts as u64),
        granted: 0,
        segments_done: 0,
        tried,
    });
    ask(node, cx, key);
}

/// Ranks a server for a long prompt: the emptier the better, with a bonus for
/// a cached beginning.
fn long_score(node: &mut Node, now: Instant, key: RequestKey, server: ServerKey) -> u64 {
    let noise = node.rng.random_range(0..4_096);
    let req = &node.requests[key];
    let prefix = req.generate().map_or(&[][..], |work| &work.prefix);
    let cached = node.servers.arena[server].prefix.cached_tokens(prefix);
    let avoided = if req.avoid == Some(server) {
        1 << 32
    } else {
        0
    };
    let place = &node.servers.arena[server];
    let load = place.fresh_report(now).map_or(u64::from(u32::MAX), |r| {
        r.backlog_tokens + r.used_tokens / 4
    });
    let own = node.long.held_on(place.id);
    // A server whose time this entry has used up comes later.
    let debt_us = place.paid_at.since(now).as_micros() as u64;
    let debt = debt_us / US_PER_TOKEN;
    (load + own + debt + noise + avoided).saturating_sub(cached)
}

fn pause(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    stop_asking(node, key);
    schedule::back_off(node, cx, key, DENIED_PAUSE);
}

fn stop_asking(node: &mut Node, key: RequestKey) {
    if node.requests[key].phase == Phase::Asking {
        node.asking -= 1;
        node.requests[key].phase = Phase::Backoff;
    }
}

/// Asks the home of the next server of the plan.
fn ask(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &node.requests[key];
    let Some(plan) = &req.plan else {
        return;
    };
    let server = plan.servers[plan.granted];
    let message = LongRequest {
        request: req.id,
        server: node.servers.arena[server].id,
        kind: LongRequestKind::Reserve(plan.tokens_each),
    };
    node.timers
        .set(cx.now.after(ANSWER_WITHIN), key, TimerKind::Ask);
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

/// A home answered.
pub(crate) fn on_reply(node: &mut Node, cx: &mut Cx<'_>, reply: LongReply) {
    let key = node.by_seq.get(&reply.request.seq).copied();
    let asked = key.filter(|key| is_asking(node, *key, reply));
    let Some(key) = asked else {
        if reply.kind == LongReplyKind::Granted && !holds(node, key, reply) {
            release(node, cx, reply.request, reply.server);
        }
        return;
    };
    match reply.kind {
        LongReplyKind::Granted => on_granted(node, cx, key),
        LongReplyKind::Denied => on_denied(node, cx, key),
        LongReplyKind::Earmarked => {
            node.timers
                .set(cx.now.after(ASK_AGAIN), key, TimerKind::Ask);
        }
    }
}

fn is_asking(node: &Node, key: RequestKey, reply: LongReply) -> bool {
    let Some(req) = node.requests.get(key) else {
        return false;
    };
    let Some(plan) = &req.plan else {
        return false;
    };
    let next = plan.servers.get(plan.granted);
    let next = next.map(|server| node.servers.arena[*server].id);
    req.id == reply.request && req.phase == Phase::Asking && next == Some(reply.server)
}

/// Tells whether a reservation belongs to a plan that still stands.
fn holds(node: &Node, key: Option<RequestKey>, reply: LongReply) -> bool {
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
        return ask(node, cx, key);
    }
    stop_asking(node, key);
    go_on(node, cx, key);
}

fn on_denied(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(mut plan) = node.requests[key].plan.clone() else {
        return;
    };
    let denied = plan.servers[plan.granted];
    release_granted(node, cx, key);
    node.requests[key].plan = None;
    plan.tried.push(denied);
    choose(node, cx, key, plan.tried);
}

/// A home is silent, or is asked again for room that it clears.
pub(crate) fn on_ask_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let asking = node
        .requests
        .get(key)
        .is_some_and(|req| req.phase == Phase::Asking);
    if asking {
        ask(node, cx, key);
    }
}

/// Does what comes next for a plan that is wholly granted: a segment, or the
/// answer itself on the last server.
fn go_on(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &mut node.requests[key];
    let prompt = req.prompt_tokens();
    let Some(plan) = req.plan.as_ref() else {
        return;
    };
    let done = plan.segments_done;
    let parts = plan.servers.len();
    let server = plan.servers[done];
    let held = plan.tokens_each;
    let segment = prompt.div_ceil(parts as u64);
    if done + 1 == parts {
        let backlog = prompt.saturating_sub(segment * done as u64);
        if parts == 1 {
            req.attempt.0 += 1;
        }
        attempt::start(node, cx, key, server, held, backlog);
        return;
    }
    if done == 0 {
        req.attempt.0 += 1;
    }
    req.phase = Phase::Running;
    req.sent = true;
    let (attempt, group, left) = (req.attempt, req.group, req.deadline.since(cx.now));
    let alone_ms = node.costs[group.index()].prompt_us(segment) / 1_000;
    let patience = SEGMENT_STALL_MS + alone_ms * SEGMENT_FACTOR;
    cx.emit(Effect::Segment(SegmentOrder {
        timeout_ms: patience.min(left.as_millis() as u64),
        request: key,
        attempt,
        server: node.servers.arena[server].id,
        from: segment * done as u64,
        to: (segment * (done as u64 + 1)).min(prompt),
    }));
}

/// A segment of a huge prompt is computed and exported.
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
    tell_prompt_done(node, cx, key, server);
    go_on(node, cx, key);
}

/// The first token came: the last server's prompt is computed.
pub(crate) fn on_prompt_done(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let plan = node.requests[key].plan.as_ref();
    let last = plan.and_then(|plan| plan.servers.last().copied());
    if let Some(server) = last {
        tell_prompt_done(node, cx, key, server);
    }
}

fn tell_prompt_done(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, server: ServerKey) {
    let message = LongRequest {
        request: node.requests[key].id,
        server: node.servers.arena[server].id,
        kind: LongRequestKind::PromptDone,
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

/// Releases what a plan was granted, the last first, and what was asked for.
fn release_granted(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &node.requests[key];
    let id = req.id;
    let Some(plan) = req.plan.clone() else {
        return;
    };
    let asked = (plan.granted + 1).min(plan.servers.len());
    for server in plan.servers[..asked].iter().rev() {
        let server = node.servers.arena[*server].id;
        release(node, cx, id, server);
    }
}

/// Ends a request's plan, wherever it stands: reservations are released and
/// segments freed. A hold exists only while its work might still happen.
pub(crate) fn release_plan(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.plan.is_none() {
        stop_asking(node, key);
        return;
    }
    stop_asking(node, key);
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

/// Returns the reservations of this node's requests, as heartbeats carry them.
pub(crate) fn own_holds(node: &Node) -> Vec<LongHold> {
    let mut holds = Vec::new();
    for req in node.requests.values() {
        let Some(plan) = &req.plan else { continue };
        for (i, server) in plan.servers.iter().take(plan.granted).enumerate() {
            let computed = req.running.is_some_and(|r| r.answers);
            holds.push(LongHold {
                server: node.servers.arena[*server].id,
                request: req.id,
                tokens: plan.tokens_each,
                prompt_done: i < plan.segments_done || computed,
            });
        }
    }
    holds
}
