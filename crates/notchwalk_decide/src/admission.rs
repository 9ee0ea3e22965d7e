//! Admission: refuses requests that cannot be served before they use any
//! resources.

use std::time::Duration;

use notchwalk_bundle::{PolicyKind, WorkspaceKey};
use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_wire::ExecutionOutcome;
use rand::Rng;

use crate::{
    catalog::{GroupKey, WorkspaceSlot},
    claim, credit,
    effect::{Effect, Failure, FailureCode},
    event::{Arrival, Work},
    lane::Lane,
    node::{Cx, Node},
    request::{Phase, Request},
    schedule, suspects,
    timer::TimerKind,
};

/// Shortest `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Longest `Retry-After`, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// The priority of a request that specifies none.
const DEFAULT_PRIORITY: u8 = 5;

/// Returns a jittered `Retry-After` around `ms`, in milliseconds.
pub(crate) fn retry_after(node: &mut Node, ms: u64) -> Option<u64> {
    let ms = ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Some(node.rng.random_range(ms * 3 / 4..=ms * 5 / 4))
}

/// The estimated size of a request.
struct RequestSize {
    group: GroupKey,
    lane: Lane,
    /// The estimated prefill time on an idle engine, in microseconds.
    prefill_us: u64,
}

/// Admits a request, or refuses it as not run.
pub(crate) fn on_arrival(node: &mut Node, cx: &mut Cx<'_>, arrival: Arrival) {
    node.counters.arrived += 1;
    let caller = arrival.caller;
    if let Err((code, retry_ms)) = admit(node, cx, arrival) {
        node.counters.refused += 1;
        let retry_after_ms = match code {
            // The remaining quarantine is exact, so it gets no jitter.
            FailureCode::Quarantined => retry_ms,
            _ => retry_ms.and_then(|ms| retry_after(node, ms)),
        };
        let failure = Failure {
            code,
            outcome: ExecutionOutcome::NotRun,
            retry_after_ms,
        };
        cx.emit(Effect::Refuse { caller, failure });
    }
}

/// The reason of a refusal, and the delay before a retry in milliseconds.
type Refusal = (FailureCode, Option<u64>);

/// `Retry-After` of a temporary refusal, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Makes the checks that don't need the request's body: the node is ready and
/// not full, and the workspace's queue has room.
fn check_before_body(node: &mut Node, cx: &Cx<'_>, key: WorkspaceKey) -> Result<(), Refusal> {
    let Some(bundle) = node.catalog.bundle.clone() else {
        return Err((FailureCode::NotReady, Some(DEFAULT_RETRY_AFTER_MS)));
    };
    if node.drain.refuses(cx.now) {
        // Other nodes accept the request immediately.
        return Err((FailureCode::Draining, Some(MIN_RETRY_AFTER_MS)));
    }
    if node.requests.len() >= bundle.policy.max_requests as usize {
        return Err((FailureCode::NodeFull, Some(DEFAULT_RETRY_AFTER_MS)));
    }
    let workspace = bundle.workspace(key);
    let slot = node.catalog.slot(key);
    let state = node.catalog.workspace(slot);
    let queue_is_full = state.queued >= workspace.max_queued;
    let at_in_flight_limit = state.in_flight >= workspace.max_in_flight;
    if queue_is_full && at_in_flight_limit || state.queued > workspace.max_queued {
        let wait = workspace_wait_ms(node, cx, slot);
        return Err((
            FailureCode::WorkspaceQueueFull,
            Some(wait.max(DEFAULT_RETRY_AFTER_MS)),
        ));
    }
    Ok(())
}

/// Estimates the wait in a workspace's queue, in milliseconds: the longest over
/// all models.
fn workspace_wait_ms(node: &mut Node, cx: &Cx<'_>, slot: WorkspaceSlot) -> u64 {
    let weight = node.catalog.workspace(slot).weight;
    let groups = node.catalog.groups.len() as u32;
    let waits = (0..groups).map(|g| expected_wait_ms(node, cx, GroupKey(g), slot, weight));
    waits.max().unwrap_or(0)
}

/// Returns the refusal that applies before a request's body is read, if any.
pub(crate) fn early_refusal(node: &mut Node, cx: &Cx<'_>, key: WorkspaceKey) -> Option<Failure> {
    let (code, retry_ms) = check_before_body(node, cx, key).err()?;
    node.counters.arrived += 1;
    node.counters.refused += 1;
    Some(Failure {
        code,
        outcome: ExecutionOutcome::NotRun,
        retry_after_ms: retry_ms.and_then(|ms| retry_after(node, ms)),
    })
}

/// Admits a request, or returns why it is refused.
fn admit(node: &mut Node, cx: &mut Cx<'_>, arrival: Arrival) -> Result<(), Refusal> {
    check_before_body(node, cx, arrival.workspace)?;
    let Some(bundle) = node.catalog.bundle.clone() else {
        return Err((FailureCode::NotReady, Some(DEFAULT_RETRY_AFTER_MS)));
    };
    let workspace = bundle.workspace(arrival.workspace);
    let slot = node.catalog.slot(arrival.workspace);
    let policy = &bundle.policy;
    if let Work::Generate(work) = &arrival.work {
        let model = &bundle.models[work.model.index()];
        let total_tokens = work.prompt_tokens + Tokens::from(work.max_tokens);
        if total_tokens > model.context_tokens {
            return Err((FailureCode::ContextExceeded, None));
        }
    }
    if let Some((code, ms)) = suspects::refusal(node, arrival.content, cx.now) {
        return Err((code, Some(ms)));
    }
    let size = estimate_size(node, &arrival.work);
    let timeout_ms = arrival.timeout_ms.unwrap_or(policy.default_timeout_ms);
    let timeout_ms = timeout_ms.clamp(1, policy.max_timeout_ms);
    if policy.kind == PolicyKind::Fair {
        let wait = expected_wait_ms(node, cx, size.group, slot, workspace.weight);
        let prefill_ms = size.prefill_us / 1_000;
        if prefill_ms > timeout_ms {
            // A later attempt would fail as well.
            return Err((FailureCode::DeadlineTooClose, None));
        }
        if wait + prefill_ms > timeout_ms {
            return Err((
                FailureCode::DeadlineTooClose,
                Some(wait.max(DEFAULT_RETRY_AFTER_MS)),
            ));
        }
    }
    let priority = arrival.priority.unwrap_or(DEFAULT_PRIORITY);
    let seq = node.next_seq;
    node.next_seq += 1;
    let request = Request {
        id: RequestId {
            vm: node.cfg.vm,
            boot: node.cfg.boot,
            seq,
        },
        caller: arrival.caller,
        workspace: slot,
        group: size.group,
        lane: size.lane,
        seq,
        priority: priority.min(workspace.priority_max),
        arrived: cx.now,
        deadline: cx.now.after(Duration::from_millis(timeout_ms)),
        phase: Phase::Queued,
        running: None,
        attempt: Attempt(0),
        delivered: 0,
        sent: false,
        failures: 0,
        avoid: None,
        charged_us: 0,
        claim: claim::new_claim(&arrival, &bundle),
        queue_position: None,
        plan: None,
        content: arrival.content,
        work: arrival.work,
    };
    insert_request(node, cx, request);
    Ok(())
}

fn insert_request(node: &mut Node, cx: &mut Cx<'_>, request: Request) {
    let (id, caller, deadline) = (request.id, request.caller, request.deadline);
    let (slot, group) = (request.workspace, request.group);
    let needs_claim = request.claim.is_some();
    let key = node.requests.insert(request);
    node.by_seq.insert(id.seq, key);
    node.timers.set(deadline, key, TimerKind::Deadline);
    credit::add_request(node, slot, group);
    cx.emit(Effect::Admitted {
        caller,
        request: key,
        id,
    });
    if needs_claim {
        claim::start(node, cx, key);
        return;
    }
    schedule::enqueue(node, key);
}

fn estimate_size(node: &mut Node, work: &Work) -> RequestSize {
    match work {
        Work::Call(call) => RequestSize {
            group: node.catalog.service_group(call.service),
            lane: Lane::Short,
            prefill_us: 0,
        },
        Work::Generate(work) => {
            let group = node.catalog.model_group(work.model);
            let cached = max_cached_tokens(node, group, &work.prefix);
            let cost = &node.costs[group.index()];
            let uncached = work.prompt_tokens.saturating_sub(cached);
            RequestSize {
                group,
                lane: Lane::of(uncached),
                prefill_us: cost.prefill_us(uncached),
            }
        }
    }
}

/// Returns the largest estimated number of a prompt's tokens in the cache of
/// any engine.
fn max_cached_tokens(node: &Node, group: GroupKey, prefix: &[u64]) -> Tokens {
    if prefix.is_empty() {
        return 0;
    }
    let servers = node.servers.of_group(group).iter();
    let cached = servers.map(|key| node.servers.arena[*key].prefix.cached_tokens(prefix));
    cached.max().unwrap_or(0)
}

/// Estimates the wait of a workspace's next request, in milliseconds, from the
/// queued cost, the workspace's fair share and this node's engine shares.
pub(crate) fn expected_wait_ms(
    node: &mut Node,
    cx: &Cx<'_>,
    group: GroupKey,
    slot: WorkspaceSlot,
    weight: f64,
) -> u64 {
    let ahead = node.queue.group_cost_us(group);
    if ahead == 0 {
        return 0;
    }
    let engines = credit::shares_of_group(node, cx.now, group).max(0.05);
    let own = node.queue.workspace_cost_us(slot) as f64;
    let active = node.queue.active_weight().max(weight);
    let fair = own * active / weight;
    (fair.min(ahead as f64) / engines / 1_000.0) as u64
}
