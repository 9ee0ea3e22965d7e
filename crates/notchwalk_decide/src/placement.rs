//! Placement: chooses a server with capacity for a request.

use notchwalk_bundle::PolicyKind;
use notchwalk_core::{Instant, Tokens};
use rand::Rng;

use crate::{
    config::ReserveMode,
    credit,
    event::Work,
    lane::Lane,
    node::Node,
    request::RequestKey,
    server::{reported_backlog_before, ServerKey},
};

/// Maximum number of prompt tokens that all nodes together queue on an engine,
/// to keep the wait short.
const PREFILL_QUEUE_TOKENS: Tokens = 8_192;
/// Penalty for a server with longer work, which yields to shorter work only
/// after the current engine step.
const RUNNING_STEP_PENALTY: Tokens = 256;
/// Penalty for a server whose home is another node, so that nodes choose
/// different servers while the load is low.
const FOREIGN_HOME_PENALTY: Tokens = 1_024;
/// Cost of a running request in a server's score, in prompt tokens.
const RUNNING_REQUEST_COST: Tokens = 24;
/// Random part of scores, so that nodes don't all choose the same server.
const SCORE_JITTER: Tokens = 96;
/// Penalty for the server of the request's last failed attempt.
const LAST_FAILED_PENALTY: Tokens = 1 << 20;

/// The result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// A server has capacity.
    Placed {
        server: ServerKey,
        /// Tokens to reserve.
        reserved: Tokens,
        /// Prompt tokens to prefill.
        backlog: Tokens,
    },
    /// The servers that serve the request have no capacity.
    NoCapacity,
    /// No available server serves the request.
    Unserved,
}

/// Returns the tokens to reserve for a request before it is sent.
pub(crate) fn tokens_to_reserve(node: &Node, request: RequestKey) -> Tokens {
    let req = &node.requests[request];
    let Some(work) = req.generate() else {
        return 0;
    };
    let completion = match node.cfg.reserve {
        ReserveMode::TopUp => node.costs[req.group.index()].reserved_completion(work.max_tokens),
        ReserveMode::CheckThenAct => 0,
        ReserveMode::Maximum => work.max_tokens,
    };
    work.prompt_tokens + Tokens::from(completion.max(req.delivered))
}

/// Chooses a server for a request.
pub(crate) fn place(node: &mut Node, now: Instant, request: RequestKey) -> Placement {
    match node.policy_kind() {
        PolicyKind::Fair => place_by_score(node, now, request, true),
        PolicyKind::LeastLoaded => place_by_score(node, now, request, false),
        PolicyKind::Fifo => place_round_robin(node, now, request),
    }
}

/// Returns whether a server is available and serves the requested variant.
pub(crate) fn can_serve(
    node: &mut Node,
    now: Instant,
    request: RequestKey,
    key: ServerKey,
) -> bool {
    let req = &node.requests[request];
    let server = &mut node.servers.arena[key];
    if !server.accepts_work(now) {
        return false;
    }
    match &req.work {
        Work::Call(_) => true,
        Work::Generate(work) => {
            let (adapter, version) = (work.adapter.as_deref(), work.version.as_deref());
            server.serves(req.group, adapter, version)
        }
    }
}

/// Returns the servers that can serve a request.
fn candidates(node: &mut Node, now: Instant, request: RequestKey) -> Vec<ServerKey> {
    let group = node.requests[request].group;
    let mut keys = node.servers.of_group(group).to_vec();
    keys.retain(|key| can_serve(node, now, request, *key));
    keys
}

fn place_by_score(node: &mut Node, now: Instant, request: RequestKey, fair: bool) -> Placement {
    let candidates = candidates(node, now, request);
    if candidates.is_empty() {
        return Placement::Unserved;
    }
    let reserved = tokens_to_reserve(node, request);
    let mut best: Option<(Tokens, ServerKey, Tokens)> = None;
    for key in candidates {
        let req = &node.requests[request];
        let cached = match &req.work {
            Work::Generate(work) if fair => {
                node.servers.arena[key].prefix.cached_tokens(&work.prefix)
            }
            _ => 0,
        };
        let backlog = req.prompt_tokens().saturating_sub(cached);
        let lane = req.lane;
        if fair && !has_capacity(node, now, key, lane, reserved, backlog) {
            continue;
        }
        let avoid = req.avoid == Some(key);
        let ahead = match fair {
            true => work_ahead(node, now, key, lane),
            false => total_load(node, now, key),
        };
        let mut score = ahead + backlog + node.rng.random_range(0..SCORE_JITTER);
        if avoid {
            score += LAST_FAILED_PENALTY;
        }
        if fair && !fits_reported_memory(node, now, key, reserved) {
            score += PREFILL_QUEUE_TOKENS;
        }
        if best.is_none_or(|(least, _, _)| score < least) {
            best = Some((score, key, backlog));
        }
    }
    match best {
        Some((_, server, backlog)) => Placement::Placed {
            server,
            reserved,
            backlog,
        },
        None => Placement::NoCapacity,
    }
}

/// Estimates the work ahead of a new request of a lane on a server, in prompt
/// tokens.
fn work_ahead(node: &mut Node, now: Instant, key: ServerKey, lane: Lane) -> Tokens {
    let id = node.servers.arena[key].id;
    let foreign = credit::home_of(node, now, id) != node.cfg.vm;
    let server = &node.servers.arena[key];
    let running = Tokens::from(server.running) * RUNNING_REQUEST_COST;
    let own_load =
        server.backlog_before(lane) + running + if foreign { FOREIGN_HOME_PENALTY } else { 0 };
    let Some(report) = server.fresh_report(now) else {
        return own_load;
    };
    let reported = reported_backlog_before(report, lane);
    let peer_load = reported.saturating_sub(server.backlog_before(lane));
    let step_penalty = match report.backlog_tokens > reported {
        true => RUNNING_STEP_PENALTY,
        false => 0,
    };
    let running = report.running.saturating_sub(server.running) + report.waiting;
    own_load + peer_load + step_penalty + Tokens::from(running) * RUNNING_REQUEST_COST
}

/// Returns whether the request fits into a server's memory as last reported.
fn fits_reported_memory(node: &Node, now: Instant, key: ServerKey, reserved: Tokens) -> bool {
    let server = &node.servers.arena[key];
    let report = server.fresh_report(now);
    report.is_none_or(|r| r.used_tokens + reserved <= r.capacity_tokens)
}

/// Returns the load as the baseline estimates it: all that is reported, and
/// what was sent since.
fn total_load(node: &Node, now: Instant, key: ServerKey) -> Tokens {
    let server = &node.servers.arena[key];
    let own_load = server.total_backlog() + Tokens::from(server.running) * RUNNING_REQUEST_COST;
    let Some(report) = server.fresh_report(now) else {
        return own_load;
    };
    let peer_load = report.backlog_tokens.saturating_sub(server.total_backlog());
    let running = report.running.saturating_sub(server.running) + report.waiting;
    own_load + peer_load + Tokens::from(running) * RUNNING_REQUEST_COST
}

/// Returns whether this node's share of a server has capacity for a request.
fn has_capacity(
    node: &Node,
    now: Instant,
    key: ServerKey,
    lane: Lane,
    reserved: Tokens,
    backlog: Tokens,
) -> bool {
    let server = &node.servers.arena[key];
    let share = credit::share_of(node, now, key);
    let slots = (u64::from(server.slots()) * share / 1_000).max(1);
    if u64::from(server.running) >= slots {
        return false;
    }
    let Some(report) = server.fresh_report(now) else {
        return true;
    };
    if !server.is_within_time_share(now, lane) {
        return false;
    }
    let capacity = report.capacity_tokens;
    let memory_share = credit::memory_share_of(node, now, key);
    let fits = match node.cfg.reserve {
        ReserveMode::CheckThenAct => report.used_tokens + reserved <= capacity,
        ReserveMode::TopUp | ReserveMode::Maximum => {
            let within_share = server.reserved + reserved <= capacity * memory_share / 1_000;
            let alone = server.reserved == 0 && report.used_tokens + reserved <= capacity;
            within_share || alone
        }
    };
    let window = PREFILL_QUEUE_TOKENS * share / 1_000;
    let before = server.backlog_before(lane);
    fits && (before == 0 || before + backlog <= window)
}

/// Places by the baseline policy: round robin over the servers, up to their
/// slots.
fn place_round_robin(node: &mut Node, now: Instant, request: RequestKey) -> Placement {
    let candidates = candidates(node, now, request);
    if candidates.is_empty() {
        return Placement::Unserved;
    }
    let live = node.membership.live_count() as u32;
    let start = node.schedule.next_round_robin();
    for i in 0..candidates.len() {
        let key = candidates[(start + i) % candidates.len()];
        let server = &node.servers.arena[key];
        if server.running >= (server.slots() / live).max(1) {
            continue;
        }
        let backlog = node.requests[request].prompt_tokens();
        return Placement::Placed {
            server: key,
            reserved: tokens_to_reserve(node, request),
            backlog,
        };
    }
    Placement::NoCapacity
}
