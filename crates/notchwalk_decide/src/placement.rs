//! Placement: which server a request goes to, if any has room for it now.

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
    server::{reported_before, ServerKey},
};

/// Prompt tokens that all entries together keep waiting on an engine. Enough
/// for it never to run dry, few enough that a newcomer waits little.
const PREFILL_WINDOW: Tokens = 8_192;
/// What longer work counts for that is being computed on a server: it yields,
/// but only after the engine's present step.
const PRESENT_STEP: Tokens = 256;
/// What a server counts extra whose home is another entry. While there is
/// little to do, each entry keeps to its own servers and meets no other there.
const FOREIGN_HOME: Tokens = 1_024;
/// What a running request counts for in a server's score, in prompt tokens.
const RUNNING_WEIGHT: Tokens = 24;
/// Random part of scores, so that entries don't herd to one server.
const JITTER: Tokens = 96;
/// What a server that just failed the request counts extra.
const AVOID_PENALTY: Tokens = 1 << 20;

/// What placement found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// A server, the tokens to hold there and the prompt tokens to compute.
    At {
        /// The server.
        server: ServerKey,
        /// Tokens to hold.
        held: Tokens,
        /// Prompt tokens to compute.
        backlog: Tokens,
    },
    /// Servers serve it, but none has room.
    NoRoom,
    /// No server that may get work serves it.
    Unserved,
}

/// The tokens to hold for a request before it is sent.
pub(crate) fn hold_for(node: &Node, request: RequestKey) -> Tokens {
    let req = &node.requests[request];
    let Some(work) = req.generate() else {
        return 0;
    };
    let answer = match node.cfg.reserve {
        ReserveMode::TopUp => node.costs[req.group.index()].held_answer(work.max_tokens),
        ReserveMode::CheckThenAct => 0,
        ReserveMode::Maximum => work.max_tokens,
    };
    work.prompt_tokens + Tokens::from(answer.max(req.delivered))
}

/// Finds a server for a request.
pub(crate) fn place(node: &mut Node, now: Instant, request: RequestKey) -> Placement {
    match node.policy_kind() {
        PolicyKind::Fair => place_by_score(node, now, request, true),
        PolicyKind::LeastLoaded => place_by_score(node, now, request, false),
        PolicyKind::Fifo => place_in_turn(node, now, request),
    }
}

/// Tells whether a server may get the request and serves its variant.
pub(crate) fn can_serve(
    node: &mut Node,
    now: Instant,
    request: RequestKey,
    key: ServerKey,
) -> bool {
    let req = &node.requests[request];
    let server = &mut node.servers.arena[key];
    if !server.is_open(now) {
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

/// Servers taken into account for one placement.
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
    let held = hold_for(node, request);
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
        if fair && !has_room(node, now, key, lane, held, backlog) {
            continue;
        }
        let avoid = req.avoid == Some(key);
        let ahead = match fair {
            true => work_ahead(node, now, key, lane),
            false => load_of(node, now, key),
        };
        let mut score = ahead + backlog + node.rng.random_range(0..JITTER);
        if avoid {
            score += AVOID_PENALTY;
        }
        if fair && !fits_now(node, now, key, held) {
            score += PREFILL_WINDOW;
        }
        if best.is_none_or(|(least, _, _)| score < least) {
            best = Some((score, key, backlog));
        }
    }
    match best {
        Some((_, server, backlog)) => Placement::At {
            server,
            held,
            backlog,
        },
        None => Placement::NoRoom,
    }
}

/// The work ahead of a newcomer of a class on a server, in prompt tokens.
fn work_ahead(node: &mut Node, now: Instant, key: ServerKey, lane: Lane) -> Tokens {
    let id = node.servers.arena[key].id;
    let foreign = credit::home_of(node, now, id) != node.cfg.vm;
    let server = &node.servers.arena[key];
    let running = Tokens::from(server.running) * RUNNING_WEIGHT;
    let own = server.backlog_before(lane) + running + if foreign { FOREIGN_HOME } else { 0 };
    let Some(report) = server.fresh_report(now) else {
        return own;
    };
    let reported = reported_before(report, lane);
    let others = reported.saturating_sub(server.backlog_before(lane));
    let yielding = match report.backlog_tokens > reported {
        true => PRESENT_STEP,
        false => 0,
    };
    let running = report.running.saturating_sub(server.running) + report.waiting;
    own + others + yielding + Tokens::from(running) * RUNNING_WEIGHT
}

/// Tells whether a server's memory has room as far as its report knows.
fn fits_now(node: &Node, now: Instant, key: ServerKey, held: Tokens) -> bool {
    let server = &node.servers.arena[key];
    let report = server.fresh_report(now);
    report.is_none_or(|r| r.used_tokens + held <= r.capacity_tokens)
}

/// The plain baseline's view: all that is reported, and what was sent since.
fn load_of(node: &Node, now: Instant, key: ServerKey) -> Tokens {
    let server = &node.servers.arena[key];
    let own = server.whole_backlog() + Tokens::from(server.running) * RUNNING_WEIGHT;
    let Some(report) = server.fresh_report(now) else {
        return own;
    };
    let others = report.backlog_tokens.saturating_sub(server.whole_backlog());
    let running = report.running.saturating_sub(server.running) + report.waiting;
    own + others + Tokens::from(running) * RUNNING_WEIGHT
}

/// Tells whether this node's share of a server has room.
fn has_room(
    node: &Node,
    now: Instant,
    key: ServerKey,
    lane: Lane,
    held: Tokens,
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
    if !server.is_paid(now, lane) {
        return false;
    }
    let capacity = report.capacity_tokens;
    let memory_share = credit::memory_share_of(node, now, key);
    let fits = match node.cfg.reserve {
        ReserveMode::CheckThenAct => report.used_tokens + held <= capacity,
        ReserveMode::TopUp | ReserveMode::Maximum => {
            let within_share = server.held + held <= capacity * memory_share / 1_000;
            let alone = server.held == 0 && report.used_tokens + held <= capacity;
            within_share || alone
        }
    };
    let window = PREFILL_WINDOW * share / 1_000;
    let before = server.backlog_before(lane);
    fits && (before == 0 || before + backlog <= window)
}

/// The plain baseline: servers in turn, as many requests as slots allow.
fn place_in_turn(node: &mut Node, now: Instant, request: RequestKey) -> Placement {
    let candidates = candidates(node, now, request);
    if candidates.is_empty() {
        return Placement::Unserved;
    }
    let live = node.membership.live_count() as u32;
    let start = node.schedule.next_turn();
    for i in 0..candidates.len() {
        let key = candidates[(start + i) % candidates.len()];
        let server = &node.servers.arena[key];
        if server.running >= (server.slots() / live).max(1) {
            continue;
        }
        let backlog = node.requests[request].prompt_tokens();
        return Placement::At {
            server: key,
            held: hold_for(node, request),
            backlog,
        };
    }
    Placement::NoRoom
}
