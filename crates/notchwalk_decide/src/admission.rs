//! Admission: what is refused at the door, before it costs anything.

use std::time::Duration;

use notchwalk_bundle::{PolicyKind, WorkspaceKey};
use notchwalk_core::{Attempt, RequestId, Tokens};
use notchwalk_wire::OutcomeWord;
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

/// The shortest time to come back after, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// The longest.
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// The priority of a request that asks for none.
const DEFAULT_PRIORITY: u8 = 5;

/// Returns a jittered time to come back after, around `ms`.
pub(crate) fn retry_after(node: &mut Node, ms: u64) -> Option<u64> {
    let ms = ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Some(node.rng.random_range(ms * 3 / 4..=ms * 5 / 4))
}

struct Sized {
    group: GroupKey,
    lane: Lane,
    /// The least time it needs alone, in microseconds.
    alone_us: u64,
}

/// Admits a request or refuses it as not run.
pub(crate) fn on_arrive(node: &mut Node, cx: &mut Cx<'_>, arrival: Arrival) {
    node.counters.arrived += 1;
    let caller = arrival.caller;
    if let Err((code, retry_ms)) = admit(node, cx, arrival) {
        node.counters.refused += 1;
        let retry_after_ms = match code {
            // Not a time to come back: when the quarantine ends.
            FailureCode::Quarantined => retry_ms,
            _ => retry_ms.and_then(|ms| retry_after(node, ms)),
        };
        let failure = Failure {
            code,
            outcome: OutcomeWord::NotRun,
            retry_after_ms,
        };
        cx.emit(Effect::Refuse { caller, failure });
    }
}

type Refusal = (FailureCode, Option<u64>);

/// When to come back after a refusal that passes soon, in milliseconds.
const SOON_MS: u64 = 1_000;

/// Refuses what can be refused without knowing the request: an entry that
/// isn't ready or full, or a workspace whose queue is full.
fn refuse_unread(node: &mut Node, cx: &Cx<'_>, key: WorkspaceKey) -> Result<(), Refusal> {
    let Some(bundle) = node.catalog.bundle.clone() else {
        return Err((FailureCode::NotReady, Some(SOON_MS)));
    };
    if node.drain.refuses(cx.now) {
        return Err((FailureCode::Draining, Some(SOON_MS)));
    }
    if node.requests.len() >= bundle.policy.max_requests as usize {
        return Err((FailureCode::EntryFull, Some(SOON_MS)));
    }
    let workspace = bundle.workspace(key);
    let slot = node.catalog.slot(key);
    let state = node.catalog.workspace(slot);
    let queue_is_full = state.queued >= workspace.max_queued;
    let all_run = state.in_flight >= workspace.max_in_flight;
    if queue_is_full && all_run || state.queued > workspace.max_queued {
        let wait = queue_ms(node, cx, slot);
        return Err((FailureCode::WorkspaceQueueFull, Some(wait.max(SOON_MS))));
    }
    Ok(())
}

/// Estimates how long a workspace's queue takes, in milliseconds, over all
/// models.
fn queue_ms(node: &mut Node, cx: &Cx<'_>, slot: WorkspaceSlot) -> u64 {
    let weight = node.catalog.workspace(slot).weight;
    let groups = node.catalog.groups.len() as u32;
    let waits = (0..groups).map(|g| waiting_ms(node, cx, GroupKey(g), slot, weight));
    waits.max().unwrap_or(0)
}

/// Returns the refusal that a request of a workspace would get before its body
/// is even read.
pub(crate) fn early_refusal(node: &mut Node, cx: &Cx<'_>, key: WorkspaceKey) -> Option<Failure> {
    let (code, retry_ms) = refuse_unread(node, cx, key).err()?;
    node.counters.arrived += 1;
    node.counters.refused += 1;
    Some(Failure {
        code,
        outcome: OutcomeWord::NotRun,
        retry_after_ms: retry_ms.and_then(|ms| retry_after(node, ms)),
    })
}

fn admit(node: &mut Node, cx: &mut Cx<'_>, arrival: Arrival) -> Result<(), Refusal> {
    refuse_unread(node, cx, arrival.workspace)?;
    let Some(bundle) = node.catalog.bundle.clone() else {
        return Err((FailureCode::NotReady, Some(SOON_MS)));
    };
    let workspace = bundle.workspace(arrival.workspace);
    let slot = node.catalog.slot(arrival.workspace);
    let policy = &bundle.policy;
    if let Work::Generate(work) = &arrival.work {
        let model = &bundle.models[work.model.index()];
        let whole = work.prompt_tokens + Tokens::from(work.max_tokens);
        if whole > model.context_tokens {
            return Err((FailureCode::ContextExceeded, None));
        }
    }
    if let Some((code, ms)) = suspects::refusal(node, arrival.content, cx.now) {
        return Err((code, Some(ms)));
    }
    let sized = size_up(node, &arrival.work);
    let timeout_ms = arrival.timeout_ms.unwrap_or(policy.default_timeout_ms);
    let timeout_ms = timeout_ms.clamp(1, policy.max_timeout_ms);
    if policy.kind == PolicyKind::Fair {
        let wait = waiting_ms(node, cx, sized.group, slot, workspace.weight);
        let alone_ms = sized.alone_us / 1_000;
        if alone_ms > timeout_ms {
            // Coming back later would not help.
            return Err((FailureCode::DeadlineTooClose, None));
        }
        if wait + alone_ms > timeout_ms {
            return Err((FailureCode::DeadlineTooClose, Some(wait.max(SOON_MS))));
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
        group: sized.group,
        lane: sized.lane,
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
        queued_at: None,
        plan: None,
        content: arrival.content,
        work: arrival.work,
    };
    enter(node, cx, request);
    Ok(())
}

fn enter(node: &mut Node, cx: &mut Cx<'_>, request: Request) {
    let (id, caller, deadline) = (request.id, request.caller, request.deadline);
    let (slot, group) = (request.workspace, request.group);
    let claims = request.claim.is_some();
    let key = node.requests.insert(request);
    node.by_seq.insert(id.seq, key);
    node.timers.set(deadline, key, TimerKind::Deadline);
    credit::work_came(node, slot, group);
    cx.emit(Effect::Admitted {
        caller,
        request: key,
        id,
    });
    if claims {
        claim::start(node, cx, key);
        return;
    }
    schedule::enqueue(node, key);
}

fn size_up(node: &mut Node, work: &Work) -> Sized {
    match work {
        Work::Call(call) => Sized {
            group: node.catalog.service_group(call.service),
            lane: Lane::Short,
            alone_us: 0,
        },
        Work::Generate(work) => {
            let group = node.catalog.model_group(work.model);
            let cached = best_cached(node, group, &work.prefix);
            let cost = &node.costs[group.index()];
            let uncached = work.prompt_tokens.saturating_sub(cached);
            Sized {
                group,
                lane: Lane::of(uncached),
                alone_us: cost.prompt_us(uncached),
            }
        }
    }
}

/// Returns the most tokens of a prompt that any engine is believed to cache.
fn best_cached(node: &Node, group: GroupKey, prefix: &[u64]) -> Tokens {
    if prefix.is_empty() {
        return 0;
    }
    let servers = node.servers.of_group(group).iter();
    let cached = servers.map(|key| node.servers.arena[*key].prefix.cached_tokens(prefix));
    cached.max().unwrap_or(0)
}

/// Estimates how long a workspace's next request will wait, in milliseconds:
/// what it has waiting, served at its share of what this entry's shares of the
/// engines do.
pub(crate) fn waiting_ms(
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
