//! Attempts: sending work, taking in its frames, and what follows when an
//! attempt breaks. A caller's answer is built from any number of attempts with
//! neither gap nor repeat, since each frame names request, attempt and offset.

use std::time::Duration;

use notchwalk_core::{Attempt, LogEventKind, RequestId, Tokens};
use notchwalk_wire::OutcomeWord;

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

/// Attempts a request gets at the most.
const MAX_ATTEMPTS: u16 = 8;
/// The first pause after a failed attempt; it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest pause after a failed attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long a stream may stay silent after its first token.
pub(crate) const STALL: Duration = Duration::from_secs(5);
/// How long a first token may take beyond a multiple of the prompt's time.
const FIRST_TOKEN_STALL: Duration = Duration::from_secs(10);
/// That multiple.
const FIRST_TOKEN_FACTOR: u64 = 4;
/// How long a server that refused work is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// The hold is raised when the answer reaches this part of what is held for
/// it, in percent (the paper's two-stage reservation).
const TOP_UP_AT_PERCENT: u64 = 80;
/// By how much of the answer so far the hold is raised, in percent.
const TOP_UP_PERCENT: u64 = 50;

/// What a frame says about itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHead {
    /// The request it names.
    pub id: RequestId,
    /// The attempt it names.
    pub attempt: Attempt,
    /// The place of its first token.
    pub offset: u32,
    /// Its tokens.
    pub count: u32,
}

/// Sends a request to a server.
pub(crate) fn start(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    server: ServerKey,
    held: Tokens,
    backlog: Tokens,
) {
    let req = &mut node.requests[key];
    let repeatable = req.is_repeatable();
    invariant!(
        repeatable || !req.sent,
        "call {} that may not be repeated is sent twice",
        req.id
    );
    invariant!(req.running.is_none(), "{} runs twice at once", req.id);
    if req.attempt.0 == 0 || req.plan.is_none() {
        req.attempt.0 += 1;
    }
    req.phase = Phase::Running;
    req.sent = true;
    req.running = Some(Running {
        server,
        since: cx.now,
        progress: cx.now,
        answers: false,
        held,
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
    let cost_us = engine_cost(node, key, backlog);
    let share = credit::share_of(node, cx.now, server);
    let place = &mut node.servers.arena[server];
    place.pay(cx.now, cost_us, share);
    place.running += 1;
    if !long {
        place.held += held;
        place.backlog[lane.index()] += backlog;
    }
    node.catalog.workspace(slot).in_flight += 1;
    node.counters.attempts += 1;
    charge_estimate(node, key);
    set_stall_timer(node, cx, key);
    suspects::on_sent(node, cx, key);
    cx.emit(Effect::Dispatch(dispatch));
}

/// The engine time an attempt is expected to take, in microseconds.
fn engine_cost(node: &Node, key: RequestKey, backlog: Tokens) -> u64 {
    let req = &node.requests[key];
    match req.generate() {
        Some(work) => node.costs[req.group.index()].expected_us(backlog, work.max_tokens),
        None => 0,
    }
}

/// The priority on engines: none under the baselines. Long work that has
/// waited longer than the ageing time, or whose workspace is behind the
/// others, moves up a class.
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
        Work::Generate(work) => node.costs[req.group.index()].generate_us(work),
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
    node.membership.served_since.insert(slot);
    node.queue.charge(slot, cost_us, weight);
}

/// Replaces the estimate by what was really done.
fn settle_cost(node: &mut Node, key: RequestKey, computed_prompt: Tokens, answer: u32) {
    let req = &node.requests[key];
    if req.generate().is_none() {
        return;
    }
    let actual = node.costs[req.group.index()].actual_us(computed_prompt, answer);
    let change = actual as i64 - req.charged_us as i64;
    charge(node, key, change);
}

fn set_stall_timer(node: &mut Node, cx: &Cx<'_>, key: RequestKey) {
    let at = cx.now.after(stall_time(node, key));
    node.timers.set(at, key, TimerKind::Stall);
}

/// How long the running attempt may stay silent.
fn stall_time(node: &Node, key: RequestKey) -> Duration {
    let req = &node.requests[key];
    let Some(work) = req.generate() else {
        return req.deadline.since(req.arrived);
    };
    let waits_for_first = req.running.is_some_and(|r| !r.answers);
    if !waits_for_first {
        return STALL;
    }
    let prompt = node.costs[req.group.index()].prompt_us(work.prompt_tokens);
    FIRST_TOKEN_STALL + Duration::from_micros(prompt * FIRST_TOKEN_FACTOR)
}

/// The running attempt may have stalled.
pub(crate) fn on_stall_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(running) = node.requests.get(key).and_then(|req| req.running) else {
        return;
    };
    let due = running.progress.after(stall_time(node, key));
    if cx.now < due {
        node.timers.set(due, key, TimerKind::Stall);
        return;
    }
    let attempt = node.requests[key].attempt;
    on_ended(node, cx, key, attempt, AttemptEnd::Broken);
}

/// Takes in a frame: late and crossed ones are dropped, and tokens that were
/// delivered before are passed over.
pub(crate) fn on_frame(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, frame: FrameHead) {
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
    let first = !std::mem::replace(&mut running.answers, true);
    running.progress = cx.now;
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
    // From now on silence is judged by the gap between tokens.
    set_stall_timer(node, cx, key);
    long_work::on_prompt_done(node, cx, key);
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

/// Raises the hold of an answer that grows beyond what was held for it.
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
    let held_answer = running.held.saturating_sub(prompt);
    let at_most = Tokens::from(max_tokens);
    if held_answer >= at_most || delivered * 100 < held_answer * TOP_UP_AT_PERCENT {
        return;
    }
    let more = (delivered * TOP_UP_PERCENT / 100).max(16);
    let more = more.min(at_most - held_answer);
    running.held += more;
    node.servers.arena[running.server].held += more;
    node.counters.top_ups += 1;
}

/// Ends the accounting of the running attempt. Returns its server.
fn stop_running(node: &mut Node, key: RequestKey) -> Option<ServerKey> {
    release_backlog(node, key);
    let req = &mut node.requests[key];
    let running = req.running.take()?;
    let long = req.plan.is_some();
    let slot = req.workspace;
    let server = &mut node.servers.arena[running.server];
    invariant!(
        server.running > 0,
        "server {} runs less than nothing",
        server.id.0
    );
    server.running -= 1;
    if !long {
        invariant!(
            server.held >= running.held,
            "server {} holds less than nothing",
            server.id.0
        );
        server.held -= running.held;
    }
    node.catalog.workspace(slot).in_flight -= 1;
    node.queue.unpark(slot);
    node.schedule.capacity_changed();
    Some(running.server)
}

/// An attempt ended. Ends of older attempts mean nothing any more.
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
        // A segment of a huge prompt failed before the answer began.
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
            let whole = req.generate().is_none() || completion_tokens == req.delivered;
            if !whole {
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
    let computed = prompt_tokens.saturating_sub(cached_tokens);
    let req = &node.requests[key];
    let (group, answer) = (req.group, req.delivered);
    if req.generate().is_some() {
        node.cost(group).learn_answer(answer);
    }
    settle_cost(node, key, computed, answer);
    if let Some(server) = stop_running(node, key) {
        schedule::server_succeeded(node, cx, server);
    }
    let percent = node.bundle().map_or(0, |b| b.policy.retry_percent);
    node.retry.succeeded(percent);
    node.counters.completed += 1;
    let completion = Completion {
        prompt_tokens,
        completion_tokens: Tokens::from(answer),
        attempts: node.requests[key].attempt.0,
    };
    finish(node, cx, key, Ok(completion));
}

fn on_failed_attempt(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, end: AttemptEnd) {
    let Some(server) = stop_running(node, key) else {
        return;
    };
    let req = &mut node.requests[key];
    req.avoid = Some(server);
    match &end {
        AttemptEnd::Refused { .. } => {
            node.servers.arena[server].refused_until = cx.now.after(REFUSED_PAUSE);
        }
        AttemptEnd::NotSent => {
            suspects::on_server_away(node, cx, server);
            schedule::server_failed(node, cx, server);
        }
        AttemptEnd::Broken | AttemptEnd::Complete { .. } => {
            let (id, up_to) = (req.id, req.attempt);
            let cancels = req.generate().is_some();
            schedule::server_failed(node, cx, server);
            if cancels {
                sweep::cancel(node, cx, server, id, up_to);
            }
        }
    }
    retry_or_fail(node, cx, key, end);
}

/// Decides what follows a failed attempt.
fn retry_or_fail(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, end: AttemptEnd) {
    let req = &mut node.requests[key];
    // Segments that were computed did run, whatever became of the rest.
    let segments_ran = req.plan.as_ref().is_some_and(|plan| plan.segments_done > 0);
    let unsent = matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused { .. });
    let ran_not = unsent && !segments_ran;
    long_work::release_plan(node, cx, key);
    let req = &mut node.requests[key];
    if ran_not && req.failures == 0 {
        req.sent = false;
    }
    if !ran_not {
        req.failures += 1;
    }
    if !ran_not && !req.is_repeatable() {
        return fail(node, cx, key, FailureCode::CallFailed, None);
    }
    if req.attempt.0 >= MAX_ATTEMPTS && !ran_not {
        return fail(node, cx, key, FailureCode::BackendFailed, Some(1_000));
    }
    let content = node.requests[key].content;
    if let Some((code, ms)) = suspects::refusal(node, content, cx.now) {
        return fail_until(node, cx, key, code, ms);
    }
    let percent = node.bundle().map_or(0, |b| b.policy.retry_percent);
    if !ran_not && !node.retry.take(percent) {
        return fail(node, cx, key, FailureCode::BackendFailed, Some(2_000));
    }
    let req = &node.requests[key];
    let doublings = u32::from(req.attempt.0.min(6));
    let pause = (FIRST_BACKOFF * 2u32.pow(doublings - doublings.min(1))).min(MAX_BACKOFF);
    if cx.now.after(pause) >= req.deadline {
        return fail(node, cx, key, FailureCode::TimedOut, None);
    }
    node.counters.retries += 1;
    let facts = format!("request={} attempt={} end={end:?}", req.id, req.attempt.0);
    cx.log(LogEventKind::AttemptRetried, facts);
    schedule::back_off(node, cx, key, pause);
}

/// The deadline passed: the caller gets its final answer now.
pub(crate) fn on_deadline(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    let facts = format!("request={} phase={:?}", req.id, req.phase);
    cx.log(LogEventKind::RequestTimedOut, facts);
    fail(node, cx, key, FailureCode::TimedOut, None);
}

/// The caller went away: its work ends.
pub(crate) fn on_caller_gone(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    if node.requests.contains_key(key) {
        fail(node, cx, key, FailureCode::CallerGone, None);
    }
}

/// Ends a request whose content may not be sent now, or for so long.
fn fail_until(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, code: FailureCode, ms: u64) {
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

/// Returns what a failed request's caller is told of whether it ran.
fn outcome_of(req: &Request) -> OutcomeWord {
    match (&req.work, req.sent) {
        (_, false) => OutcomeWord::NotRun,
        (Work::Generate(_), true) if req.delivered > 0 => OutcomeWord::Ran,
        (_, true) => OutcomeWord::Unknown,
    }
}

/// Ends a request with a failure, wherever it stands.
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

/// Ends a request with a given failure, wherever it stands.
pub(crate) fn fail_with(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, failure: Failure) {
    node.counters.failed += 1;
    let req = &node.requests[key];
    let (id, up_to, delivered) = (req.id, req.attempt, req.delivered);
    let cancels = req.generate().is_some();
    if let Some(server) = stop_running(node, key) {
        if cancels {
            let prompt = node.requests[key].prompt_tokens();
            settle_cost(node, key, prompt, delivered);
            sweep::cancel(node, cx, server, id, up_to);
        }
    }
    finish(node, cx, key, Err(failure));
}

/// Takes a request out of everything and tells its caller.
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

/// Takes a request out of everything.
pub(crate) fn remove(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    schedule::dequeue(node, key);
    long_work::release_plan(node, cx, key);
    claim::on_request_over(node, cx, key);
    let Some(req) = node.requests.remove(key) else {
        return;
    };
    invariant!(req.running.is_none(), "{} ended while it runs", req.id);
    node.by_seq.remove(&req.id.seq);
    node.timers.clear(req.deadline, key, TimerKind::Deadline);
    credit::work_went(node, req.workspace, req.group);
}
