//! As home of an engine: the ledger of its reservations for long work, decided
//! in one step of the reducer.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use notchwalk_core::{Instant, RequestId, ServerId, Tokens, VmId};
use notchwalk_wire::{
    LongHold, LongReply, LongReplyKind, LongRequest, LongRequestKind, PeerMessage,
};

use crate::{
    credit,
    effect::Effect,
    long_work::{on_reply, own_holds, LONE_PERCENT},
    node::{Cx, Node},
    server::ServerKey,
};

/// How long a home keeps room clear for one request without a new ask.
const EARMARK_LIFE: Duration = Duration::from_millis(1_500);
/// How long a new home learns of holds before it grants more.
const LEARN_FOR: Duration = Duration::from_millis(1_500);
/// How long a hold may stay unconfirmed by its holder's heartbeats.
const UNCONFIRMED_LIFE: Duration = Duration::from_secs(3);
/// Prompts computed on one engine at the same time.
const MAX_PROMPTS: usize = 1;

/// What a home knows of one hold.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: Tokens,
    prompt_done: bool,
    confirmed: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Earmark {
    request: RequestId,
    tokens: Tokens,
    until: Instant,
}

#[derive(Debug, Default)]
struct Ledger {
    held: BTreeMap<RequestId, Held>,
    earmark: Option<Earmark>,
}

/// The ledgers of the servers this node is home of.
#[derive(Debug, Default)]
pub(crate) struct LongLedgers {
    ledgers: HashMap<ServerId, Ledger>,
    next_scan: Instant,
}

impl LongLedgers {
    /// Returns the tokens held on a server.
    pub fn held_on(&self, server: ServerId) -> Tokens {
        let ledger = self.ledgers.get(&server);
        ledger.map_or(0, |l| l.held.values().map(|h| h.tokens).sum())
    }
}

/// The part of a server that its entries may use for shorter work without
/// asking, in thousandths: what long work doesn't hold.
pub(crate) fn short_pool_per_mille(node: &Node, now: Instant, key: ServerKey) -> u64 {
    let server = &node.servers.arena[key];
    let capacity = server.capacity();
    if capacity == 0 {
        return 1_000;
    }
    let Some(ledger) = node.long.ledgers.get(&server.id) else {
        return 1_000;
    };
    let mut taken = node.long.held_on(server.id);
    if let Some(earmark) = ledger.earmark.filter(|e| now < e.until) {
        taken += earmark.tokens;
    }
    let least = node.bundle().map_or(0, |b| b.policy.short_room_percent) * 10;
    let left = capacity.saturating_sub(taken) * 1_000 / capacity;
    left.max(least.min(1_000))
}

/// As home: decides about a reservation, or notes its progress or end.
pub(crate) fn on_request(node: &mut Node, cx: &mut Cx<'_>, from: VmId, message: LongRequest) {
    let ledger = node.long.ledgers.entry(message.server).or_default();
    match message.kind {
        LongRequestKind::Release => {
            ledger.held.remove(&message.request);
            if ledger.earmark.is_some_and(|e| e.request == message.request) {
                ledger.earmark = None;
            }
            node.schedule.capacity_changed();
        }
        LongRequestKind::PromptDone => {
            if let Some(held) = ledger.held.get_mut(&message.request) {
                held.prompt_done = true;
            }
        }
        LongRequestKind::Reserve(tokens) => {
            let kind = decide(node, cx.now, message, tokens);
            match kind {
                LongReplyKind::Granted => node.counters.long_granted += 1,
                _ => node.counters.long_denied += 1,
            }
            let reply = LongReply {
                request: message.request,
                server: message.server,
                kind,
            };
            if from == node.cfg.vm {
                return on_reply(node, cx, reply);
            }
            let message = Box::new(PeerMessage::LongReply(reply));
            cx.emit(Effect::Peer { to: from, message });
        }
    }
}

fn decide(node: &mut Node, now: Instant, message: LongRequest, tokens: Tokens) -> LongReplyKind {
    let Some(since) = credit::home_since(node, now, message.server) else {
        return LongReplyKind::Denied;
    };
    let learning = now.since(since) < LEARN_FOR && node.membership.has_peers();
    let Some(key) = node.servers.key(message.server) else {
        return LongReplyKind::Denied;
    };
    let short_room = node.bundle().map_or(0, |b| b.policy.short_room_percent);
    let server = &mut node.servers.arena[key];
    if learning || !server.is_open(now) {
        return LongReplyKind::Denied;
    }
    let Some(report) = server.fresh_report(now) else {
        return LongReplyKind::Denied;
    };
    let (capacity, used) = (report.capacity_tokens, report.used_tokens);
    let ledger = node.long.ledgers.entry(message.server).or_default();
    if let Some(held) = ledger.held.get_mut(&message.request) {
        held.confirmed = now;
        return LongReplyKind::Granted;
    }
    let prompts = ledger.held.values().filter(|h| !h.prompt_done).count();
    if prompts >= MAX_PROMPTS {
        return LongReplyKind::Denied;
    }
    let other = |e: &Earmark| now < e.until && e.request != message.request;
    if ledger.earmark.as_ref().is_some_and(other) {
        return LongReplyKind::Denied;
    }
    let held: Tokens = ledger.held.values().map(|h| h.tokens).sum();
    let limit = match held {
        0 => capacity * LONE_PERCENT / 100,
        _ => capacity * (100 - short_room) / 100,
    };
    if held + tokens > limit.max(1) && !(held == 0 && tokens <= capacity) {
        return LongReplyKind::Denied;
    }
    // What is used beyond the holds is shorter work; it drains as shares sink.
    let shorter = used.saturating_sub(held);
    if held + tokens + shorter > capacity {
        ledger.earmark = Some(Earmark {
            request: message.request,
            tokens,
            until: now.after(EARMARK_LIFE),
        });
        return LongReplyKind::Earmarked;
    }
    ledger.earmark = None;
    let held = Held {
        tokens,
        prompt_done: false,
        confirmed: now,
    };
    ledger.held.insert(message.request, held);
    LongReplyKind::Granted
}

/// As home: takes in what a peer says it holds. Unknown holds are learned.
pub(crate) fn on_peer_holds(node: &mut Node, now: Instant, holds: &[LongHold]) {
    for hold in holds {
        if credit::home_since(node, now, hold.server).is_none() {
            continue;
        }
        let ledger = node.long.ledgers.entry(hold.server).or_default();
        let held = ledger.held.entry(hold.request).or_insert(Held {
            tokens: hold.tokens,
            prompt_done: hold.prompt_done,
            confirmed: now,
        });
        held.confirmed = now;
        held.prompt_done |= hold.prompt_done;
    }
}

/// Drops holds that their holders no longer confirm, and ledgers of servers
/// that moved to another home.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    const SCAN_EVERY: Duration = Duration::from_millis(500);
    if cx.now < node.long.next_scan {
        return;
    }
    node.long.next_scan = cx.now.after(SCAN_EVERY);
    let own = own_holds(node);
    on_peer_holds(node, cx.now, &own);
    let servers: Vec<ServerId> = node.long.ledgers.keys().copied().collect();
    for server in servers {
        if credit::home_since(node, cx.now, server).is_none() {
            node.long.ledgers.remove(&server);
            continue;
        }
        let Some(ledger) = node.long.ledgers.get_mut(&server) else {
            continue;
        };
        let fresh = |held: &Held| cx.now.since(held.confirmed) < UNCONFIRMED_LIFE;
        ledger.held.retain(|_, held| fresh(held));
        ledger.earmark = ledger.earmark.filter(|e| cx.now < e.until);
    }
}
