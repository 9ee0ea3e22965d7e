//! Attempts: dispatch, frames, and retries after failures. Each frame names its
//! request, attempt and offset, so a response that is continued by further
//! attempts has no gaps or duplicates.

use std::time::Duration;

use notchwalk_core::{Attempt, LogEventKind, RequestId, Tokens};
use notchwalk_wire::ExecutionOutcome;

use crate::{
    admission, claim,
    config::ReserveMode,
    credit,
    effect::{Completion, Dispatch, Effect, Failure, FailureCode},
    event::{AttemptEnd, Work},
    invariant::invariant,
    long_work,
    node::{Cx, Node},
    request::{Phase, Request, RequestKey, Running},
    schedule,
    server::ServerKey,
    suspects, sweep,
    timer::TimerKind,
};

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u16 = 8;
/// The backoff after the first failed attempt; doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time between frames after the first token.
pub(crate) const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of the first token, in addition to a multiple of the prefill
/// time.
const FIRST_TOKEN_BASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Multiple of the estimated prefill time allowed for the first token.
const FIRST_TOKEN_PREFILL_FACTOR: u64 = 4;
/// How long a server gets no new work after it rejected an attempt.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);
/// Percentage of its reserved tokens at which a growing completion gets a larger
/// reservation.
const TOP_UP_AT_PERCENT: u64 = 80;
/// Size of the increase, as a percentage of the completion so far.
const TOP_UP_PERCENT: u64 = 50;

/// The header of a frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader {
    pub id: RequestId,
    pub attempt: Attempt,
    /// The offset of its first token.
    pub offset: u32,
    /// The number of its tokens.
    pub count: u32,
}

/// Sends a request to a server.
pub(crate) fn start(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    server: ServerKey,
    reserved: Tokens,
    backlog: Tokens,
) {
    let req = &mut node.requests[key];
    let repeatable = req.is_repeatable();
    invariant!(
        repeatable || !req.sent,
        "non-repeatable call {} is dispatched twice",
        req.id
    );
    invariant!(
        req.running.is_none(),
        "request {} already has a running attempt",
        req.id
    );
    if req.attempt.0 == 0 || req.plan.is_none() {
        req.attempt.0 += 1;
    }
    req.phase = Phase::Running;
    req.sent = true;
    req.running = Some(Running {
        server,
        sent_at: cx.now,
        last_progress: cx.now,
        first_token_received: false,
        reserved,
        backlog,
    });
    let slot = req.workspace;
    let (long, lane) = (req.plan.is_some(), req.lane);
    let dispatch = Dispatch {
        request: key,
        attempt: req.attempt,
        server: node.servers.arena[server].id,
        offset: req.delivered,
        priority: engine_priority(node, cx, key),
        timeout_ms: node.requests[key].deadline.since(cx.now).as_millis() as u64,
    };
    let cost_us = expected_engine_us(node, key, backlog);
    let share = credit::share_of(node, cx.now, server);
    let target = &mut node.servers.arena[server];
    target.charge_time(cx.now, cost_us, share);
    target.running += 1;
    if !long {
        target.reserved += reserved;
        target.backlog[lane.index()] += backlog;
    }
    node.catalog.workspace(slot).in_flight += 1;
    node.counters.attempts += 1;
    charge_estimate(node, key);
    set_stall_timer(node, cx, key);
    suspects::on_sent(node, cx, key);
    cx.emit(Effect::Dispatch(dispatch));
}

/// Returns the expected engine time of an attempt, in microseconds.
fn expected_engine_us(node: &Node, key: RequestKey, backlog: Tokens) -> u64 {
    let req = &node.requests[key];
    match req.generate() {
        Some(work) => node.costs[req.group.index()].expected_us(backlog, work.max_tokens),
        None => 0,
    }
}

/// Returns the priority on engines, which is 0 under the baseline policies. Long
/// work that has waited for an ageing period gets the priority of a shorter
/// lane.
fn engine_priority(node: &mut Node, cx: &Cx<'_>, key: RequestKey) -> u8 {
    if node.policy_kind() != notchwalk_bundle::PolicyKind::Fair {
        return 0;
    }
    let ageing_ms = node.bundle().map_or(u64::MAX, |b| b.policy.ageing_ms);
    let req = &node.requests[key];
    let waited = cx.now.since(req.arrived).as_millis() as u64;
    let lane = long_work::aged_lane(req.lane, waited / ageing_ms.max(1));
    lane.engine_priority(req.priority)
}

/// Charges the workspace with the expected cost, once.
fn charge_estimate(node: &mut Node, key: RequestKey) {
    let req = &node.requests[key];
    if req.charged_us > 0 {
        return;
    }
    let cost = match &req.work {
        Work::Generate(work) => node.costs[req.group.index()].generation_us(work),
        Work::Call(_) => crate::cost::CostModel::call_us(),
    };
    charge(node, key, cost as i64);
}

fn charge(node: &mut Node, key: RequestKey, cost_us: i64) {
    let req = &mut node.requests[key];
    req.charged_us = req.charged_us.saturating_add_signed(cost_us);
    let slot = req.workspace;
    let state = node.catalog.workspace(slot);
    state.served_us = state.served_us.saturating_add_signed(cost_us);
    let weight = state.weight;
    node.membership.served_since_heartbeat.insert(slot);
    node.queue.charge(slot, cost_us, weight);
}

/// Replaces the estimated cost by the actual one.
fn settle_cost(node: &mut Node, key: RequestKey, prefilled_tokens: Tokens, completion_tokens: u32) {
    let req = &node.requests[key];
    if req.generate().is_none() {
        return;
    }
    let actual = node.costs[req.group.index()].actual_us(prefilled_tokens, completion_tokens);
    let change = actual as i64 - req.charged_us as i64;
    charge(node, key, change);
}

fn set_stall_timer(node: &mut Node, cx: &Cx<'_>, key: RequestKey) {
    let at = cx.now.after(stall_timeout(node, key));
    node.timers.set(at, key, TimerKind::Stall);
}

/// Returns how long the running attempt may go without a frame.
fn stall_timeout(node: &Node, key: RequestKey) -> Duration {
    let req = &node.requests[key];
    let Some(work) = req.generate() else {
        return req.deadline.since(req.arrived);
    };
    let waits_for_first = req.running.is_some_and(|r| !r.first_token_received);
    if !waits_for_first {
        return STREAM_STALL_TIMEOUT;
    }
    let prompt = node.costs[req.group.index()].prefill_us(work.prompt_tokens);
    FIRST_TOKEN_BASE_TIMEOUT + Duration::from_micros(prompt * FIRST_TOKEN_PREFILL_FACTOR)
}

/// Fails the running attempt if it has stalled.
pub(crate) fn on_stall_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(running) = node.requests.get(key).and_then(|req| req.running) else {
        return;
    };
    let due = running.last_progress.after(stall_timeout(node, key));
    if cx.now < due {
        node.timers.set(due, key, TimerKind::Stall);
        return;
    }
    let attempt = node.requests[key].attempt;
    on_ended(node, cx, key, attempt, AttemptEnd::Broken);
}

/// Handles a frame. Frames of other requests or attempts are dropped, and
/// tokens that were already delivered are skipped.
pub(crate) fn on_frame(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, frame: FrameHeader) {
    let Some(req) = node.requests.get_mut(key) else {
        return;
    };
    let Some(running) = req.running.as_mut() else {
        return;
    };
    if frame.id != req.id || frame.attempt != req.attempt {
        node.counters.frames_dropped += 1;
        let facts = format!(
            "request={} got={} attempt={}",
            req.id, frame.id, frame.attempt.0
        );
        cx.log(LogEventKind::FrameDropped, facts);
        return;
    }
    if frame.offset > req.delivered {
        let attempt = req.attempt;
        on_ended(node, cx, key, attempt, AttemptEnd::Broken);
        return;
    }
    let first = !std::mem::replace(&mut running.first_token_received, true);
    running.last_progress = cx.now;
    let skip = req.delivered - frame.offset;
    if skip >= frame.count {
        return;
    }
    req.delivered = frame.offset + frame.count;
    node.counters.tokens += u64::from(frame.count - skip);
    cx.emit(Effect::Deliver { request: key, skip });
    if first {
        on_first_token(node, cx, key);
    }
    top_up(node, key);
}

fn on_first_token(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    release_backlog(node, key);
    // From now on the stall timeout limits the gap between frames.
    set_stall_timer(node, cx, key);
    long_work::on_prefill_done(node, cx, key);
    node.schedule.capacity_changed();
}

fn release_backlog(node: &mut Node, key: RequestKey) {
    let req = &mut node.requests[key];
    let (long, lane) = (req.plan.is_some(), req.lane);
    if let Some(running) = req.running.as_mut() {
        let backlog = std::mem::take(&mut running.backlog);
        if !long {
            node.servers.arena[running.server].backlog[lane.index()] -= backlog;
        }
    }
}

/// Raises the reservation of a completion that is about to exceed it.
fn top_up(node: &mut Node, key: RequestKey) {
    let req = &mut node.requests[key];
    if node.cfg.reserve != ReserveMode::TopUp || req.plan.is_some() {
        return;
    }
    let prompt = req.prompt_tokens();
    let delivered = Tokens::from(req.delivered);
    let max_tokens = req.generate().map_or(0, |work| work.max_tokens);
    let Some(running) = req.running.as_mut() else {
        return;
    };
    let reserved_completion = running.reserved.saturating_sub(prompt);
    let max_completion = Tokens::from(max_tokens);
    if reserved_completion >= max_completion
        || delivered * 100 < reserved_completion * TOP_UP_AT_PERCENT
    {
        return;
    }
    let increase = (delivered * TOP_UP_PERCENT / 100).max(16);
    let increase = increase.min(max_completion - reserved_completion);
    running.reserved += increase;
    node.servers.arena[running.server].reserved += increase;
    node.counters.top_ups += 1;
}

/// Removes the running attempt from all counts. Returns its server.
fn clear_running(node: &mut Node, key: RequestKey) -> Option<ServerKey> {
    release_backlog(node, key);
    let req = &mut node.requests[key];
    let running = req.running.take()?;
    let long = req.plan.is_some();
    let slot = req.workspace;
    let server = &mut node.servers.arena[running.server];
    invariant!(
        server.running > 0,
        "server {}: count of running requests underflows",
        server.id.0
    );
    server.running -= 1;
    if !long {
        invariant!(
            server.reserved >= running.reserved,
            "server {}: count of reserved tokens underflows",
            server.id.0
        );
        server.reserved -= running.reserved;
    }
    node.catalog.workspace(slot).in_flight -= 1;
    node.queue.unpark(slot);
    node.schedule.capacity_changed();
    Some(running.server)
}

/// Handles the end of an attempt. Ends of earlier attempts are ignored.
pub(crate) fn on_ended(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    attempt: Attempt,
    end: AttemptEnd,
) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.attempt != attempt {
        return;
    }
    if req.running.is_none() {
        // A segment of a huge prompt failed before decoding started.
        if req.plan.is_some() && req.phase == Phase::Running {
            retry_or_fail(node, cx, key, end);
        }
        return;
    }
    suspects::on_attempt_ended(node, cx, key, &end);
    match end {
        AttemptEnd::Complete {
            prompt_tokens,
            cached_tokens,
            completion_tokens,
        } => {
            let req = &node.requests[key];
            let is_complete = req.generate().is_none() || completion_tokens == req.delivered;
            if !is_complete {
                return on_failed_attempt(node, cx, key, AttemptEnd::Broken);
            }
            complete(node, cx, key, prompt_tokens, cached_tokens);
        }
        end => on_failed_attempt(node, cx, key, end),
    }
}

fn complete(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    prompt_tokens: Tokens,
    cached_tokens: Tokens,
) {
    let prefilled = prompt_tokens.saturating_sub(cached_tokens);
    let req = &node.requests[key];
    let (group, completion_tokens) = (req.group, req.delivered);
    if req.generate().is_some() {
        node.cost(group).record_completion(completion_tokens);
    }
    settle_cost(node, key, prefilled, completion_tokens);
    if let Some(server) = clear_running(node, key) {
        schedule::server_succeeded(node, cx, server);
    }
    let percent = node.bundle().map_or(0, |b| b.policy.retry_percent);
    node.retry_budget.record_success(percent);
    node.counters.completed += 1;
    let completion = Completion {
        prompt_tokens,
        completion_tokens: Tokens::from(completion_tokens),
        attempts: node.requests[key].attempt.0,
    };
    finish(node, cx, key, Ok(completion));
}

fn on_failed_attempt(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, end: AttemptEnd) {
    let Some(server) = clear_running(node, key) else {
        return;
    };
    let req = &mut node.requests[key];
    req.avoid = Some(server);
    match &end {
        AttemptEnd::Refused { .. } => {
            node.servers.arena[server].refused_until = cx.now.after(REFUSAL_BACKOFF);
        }
        AttemptEnd::NotSent => {
            suspects::on_server_unreachable(node, cx, server);
            schedule::server_failed(node, cx, server);
        }
        AttemptEnd::Broken | AttemptEnd::Complete { .. } => {
            let (id, up_to) = (req.id, req.attempt);
            let cancellable = req.generate().is_some();
            schedule::server_failed(node, cx, server);
            if cancellable {
                sweep::cancel(node, cx, server, id, up_to);
            }
        }
    }
    retry_or_fail(node, cx, key, end);
}

/// Retries a request after a failed attempt, or fails it.
fn retry_or_fail(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, end: AttemptEnd) {
    let req = &mut node.requests[key];
    // Completed segments ran, even if the last attempt did not.
    let segments_ran = req.plan.as_ref().is_some_and(|plan| plan.segments_done > 0);
    let unsent = matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused { .. });
    let not_run = unsent && !segments_ran;
    long_work::release_plan(node, cx, key);
    let req = &mut node.requests[key];
    if not_run && req.failures == 0 {
        req.sent = false;
    }
    if !not_run {
        req.failures += 1;
    }
    if !not_run && !req.is_repeatable() {
        return fail(node, cx, key, FailureCode::CallFailed, None);
    }
    if req.attempt.0 >= MAX_ATTEMPTS && !not_run {
        return fail(node, cx, key, FailureCode::BackendFailed, Some(1_000));
    }
    let content = node.requests[key].content;
    if let Some((code, ms)) = suspects::refusal(node, content, cx.now) {
        return fail_suspected(node, cx, key, code, ms);
    }
    let percent = node.bundle().map_or(0, |b| b.policy.retry_percent);
    if !not_run && !node.retry_budget.try_spend(percent) {
        return fail(node, cx, key, FailureCode::BackendFailed, Some(2_000));
    }
    let req = &node.requests[key];
    let doublings = u32::from(req.attempt.0.min(6));
    let backoff = (INITIAL_BACKOFF * 2u32.pow(doublings - doublings.min(1))).min(MAX_BACKOFF);
    if cx.now.after(backoff) >= req.deadline {
        return fail(node, cx, key, FailureCode::TimedOut, None);
    }
    node.counters.retries += 1;
    let facts = format!("request={} attempt={} end={end:?}", req.id, req.attempt.0);
    cx.log(LogEventKind::AttemptRetried, facts);
    schedule::back_off(node, cx, key, backoff);
}

/// Fails a request whose deadline passed.
pub(crate) fn on_deadline(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    let facts = format!("request={} phase={:?}", req.id, req.phase);
    cx.log(LogEventKind::RequestTimedOut, facts);
    fail(node, cx, key, FailureCode::TimedOut, None);
}

/// Fails the request of a disconnected caller.
pub(crate) fn on_caller_disconnected(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    if node.requests.contains_key(key) {
        fail(node, cx, key, FailureCode::CallerDisconnected, None);
    }
}

/// Fails a request whose content is suspected or quarantined; `ms` is the
/// remaining time.
fn fail_suspected(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, code: FailureCode, ms: u64) {
    if code != FailureCode::Quarantined {
        return fail(node, cx, key, code, Some(ms));
    }
    let outcome = outcome_of(&node.requests[key]);
    let failure = Failure {
        code,
        outcome,
        retry_after_ms: Some(ms),
    };
    fail_with(node, cx, key, failure);
}

/// Returns whether a failed request ran, if known.
fn outcome_of(req: &Request) -> ExecutionOutcome {
    match (&req.work, req.sent) {
        (_, false) => ExecutionOutcome::NotRun,
        (Work::Generate(_), true) if req.delivered > 0 => ExecutionOutcome::Ran,
        (_, true) => ExecutionOutcome::Unknown,
    }
}

/// Fails a request in any phase.
pub(crate) fn fail(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    code: FailureCode,
    retry_ms: Option<u64>,
) {
    let outcome = outcome_of(&node.requests[key]);
    let retry_after_ms = retry_ms.and_then(|ms| admission::retry_after(node, ms));
    let failure = Failure {
        code,
        outcome,
        retry_after_ms,
    };
    fail_with(node, cx, key, failure);
}

/// Fails a request in any phase with a given failure.
pub(crate) fn fail_with(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, failure: Failure) {
    node.counters.failed += 1;
    let req = &node.requests[key];
    let (id, up_to, delivered) = (req.id, req.attempt, req.delivered);
    let cancellable = req.generate().is_some();
    if let Some(server) = clear_running(node, key) {
        if cancellable {
            let prompt = node.requests[key].prompt_tokens();
            settle_cost(node, key, prompt, delivered);
            sweep::cancel(node, cx, server, id, up_to);
        }
    }
    finish(node, cx, key, Err(failure));
}

/// Removes a request and reports the result to its caller.
pub(crate) fn finish(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    result: Result<Completion, Failure>,
) {
    remove(node, cx, key);
    cx.emit(Effect::Finish {
        request: key,
        result,
    });
}

/// Removes a request from all state.
pub(crate) fn remove(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    schedule::dequeue(node, key);
    long_work::release_plan(node, cx, key);
    claim::on_request_ended(node, cx, key);
    let Some(req) = node.requests.remove(key) else {
        return;
    };
    invariant!(
        req.running.is_none(),
        "request {} is removed while an attempt runs",
        req.id
    );
    node.by_seq.remove(&req.id.seq);
    node.timers.clear(req.deadline, key, TimerKind::Deadline);
    credit::remove_request(node, req.workspace, req.group);
}
