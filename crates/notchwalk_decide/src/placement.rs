//! Placement: which server a request goes to, if any has room for it now.

use notchwalk_bundle::PolicyKind;
use notchwalk_core::{Instant, Tokens};
use rand::Rng;

use crate::{
    config::ReserveMode, credit, event::Work, node::Node, request::RequestKey, server::ServerKey,
};

/// Prompt tokens that all entries together keep waiting on an engine. Enough
/// for it never to run dry, few enough that a newcomer waits little.
const PREFILL_WINDOW: Tokens = 8_192;
/// An engine that reports more prompt tokens than this computes a long prompt.
const LONG_BACKLOG: Tokens = 32_768;
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
        if fair && !has_room(node, now, key, held, backlog) {
            continue;
        }
        let avoid = req.avoid == Some(key);
        let mut score = score(node, now, key) + backlog + node.rng.random_range(0..JITTER);
        if avoid {
            score += AVOID_PENALTY;
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

/// The work ahead of a newcomer on a server, in prompt tokens.
fn score(node: &Node, now: Instant, key: ServerKey) -> Tokens {
    let server = &node.servers.arena[key];
    let own = server.backlog + Tokens::from(server.running) * RUNNING_WEIGHT;
    let Some(report) = server.fresh_report(now) else {
        return own;
    };
    let others = report.backlog_tokens.saturating_sub(server.backlog);
    let running = report.running.saturating_sub(server.running) + report.waiting;
    let computes_long = others > LONG_BACKLOG;
    // A long prompt yields to short ones, so it costs a newcomer about one
    // step of the engine, not its whole length.
    let others = if computes_long {
        PREFILL_WINDOW
    } else {
        others
    };
    own + others + Tokens::from(running) * RUNNING_WEIGHT
}

/// Tells whether this node's share of a server has room.
fn has_room(node: &Node, now: Instant, key: ServerKey, held: Tokens, backlog: Tokens) -> bool {
    let server = &node.servers.arena[key];
    let share = credit::share_of(node, now, key);
    let slots = (u64::from(server.slots()) * share / 1_000).max(1);
    if u64::from(server.running) >= slots {
        return false;
    }
    let Some(report) = server.fresh_report(now) else {
        return true;
    };
    let capacity = report.capacity_tokens;
    let fits = match node.cfg.reserve {
        ReserveMode::CheckThenAct => report.used_tokens + held <= capacity,
        ReserveMode::TopUp | ReserveMode::Maximum => {
            let within_share = server.held + held <= capacity * share / 1_000;
            let alone = server.held == 0 && report.used_tokens + held <= capacity;
            within_share || alone
        }
    };
    let window = PREFILL_WINDOW * share / 1_000;
    fits && (server.backlog == 0 || server.backlog + backlog <= window)
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
