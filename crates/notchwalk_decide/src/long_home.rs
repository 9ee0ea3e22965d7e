//! The home's side of long work: the ledger of an engine's reservations.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use notchwalk_core::{Instant, RequestId, ServerId, Tokens, VmId};
use notchwalk_wire::{
    LongReply, LongReplyKind, LongRequest, LongRequestKind, LongReservation, PeerMessage,
};

use crate::{
    credit,
    effect::Effect,
    long_work::{on_reply, own_reservations, SOLE_PROMPT_PERCENT},
    node::{Cx, Node},
    server::ServerKey,
};

/// How long a home keeps memory free for a pending reservation that is not
/// requested again.
const PENDING_RESERVATION_TTL: Duration = Duration::from_millis(1_500);
/// How long a new home collects existing reservations before it grants more.
const HOME_WARMUP: Duration = Duration::from_millis(1_500);
/// How long a reservation lasts without confirmation by its holder's
/// heartbeats.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(3);
/// Long prompts prefilled on one engine at the same time.
const MAX_CONCURRENT_PREFILLS: usize = 1;

/// A granted reservation.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: Tokens,
    prefill_done: bool,
    last_confirmed: Instant,
}

/// A reservation that waits until shorter work has freed memory.
#[derive(Clone, Copy, Debug)]
struct PendingReservation {
    request: RequestId,
    tokens: Tokens,
    until: Instant,
}

#[derive(Debug, Default)]
struct Ledger {
    reserved: BTreeMap<RequestId, Reservation>,
    pending: Option<PendingReservation>,
}

/// The ledgers of the servers whose home is this node.
#[derive(Debug, Default)]
pub(crate) struct ReservationLedgers {
    ledgers: HashMap<ServerId, Ledger>,
    next_scan: Instant,
}

impl ReservationLedgers {
    /// Returns the tokens reserved on a server.
    pub fn reserved_on(&self, server: ServerId) -> Tokens {
        let ledger = self.ledgers.get(&server);
        ledger.map_or(0, |l| l.reserved.values().map(|r| r.tokens).sum())
    }
}

/// Returns the share of a server's memory that is left for shorter work, in
/// thousandths.
pub(crate) fn short_pool_per_mille(node: &Node, now: Instant, key: ServerKey) -> u64 {
    let server = &node.servers.arena[key];
    let capacity = server.capacity();
    if capacity == 0 {
        return 1_000;
    }
    let Some(ledger) = node.reservation_ledgers.ledgers.get(&server.id) else {
        return 1_000;
    };
    let mut unavailable = node.reservation_ledgers.reserved_on(server.id);
    if let Some(pending) = ledger.pending.filter(|p| now < p.until) {
        unavailable += pending.tokens;
    }
    let short_floor = node.bundle().map_or(0, |b| b.policy.short_reserve_percent) * 10;
    let available = capacity.saturating_sub(unavailable) * 1_000 / capacity;
    available.max(short_floor.min(1_000))
}

/// Handles a request for a reservation, its progress or its release.
pub(crate) fn on_request(node: &mut Node, cx: &mut Cx<'_>, from: VmId, message: LongRequest) {
    let ledger = node
        .reservation_ledgers
        .ledgers
        .entry(message.server)
        .or_default();
    match message.kind {
        LongRequestKind::Release => {
            ledger.reserved.remove(&message.request);
            if ledger.pending.is_some_and(|p| p.request == message.request) {
                ledger.pending = None;
            }
            node.schedule.capacity_changed();
        }
        LongRequestKind::PrefillDone => {
            if let Some(reserved) = ledger.reserved.get_mut(&message.request) {
                reserved.prefill_done = true;
            }
        }
        LongRequestKind::Reserve(tokens) => {
            let kind = decide_reservation(node, cx.now, message, tokens);
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

fn decide_reservation(
    node: &mut Node,
    now: Instant,
    message: LongRequest,
    tokens: Tokens,
) -> LongReplyKind {
    let Some(since) = credit::home_since(node, now, message.server) else {
        return LongReplyKind::Denied;
    };
    let warming_up = now.since(since) < HOME_WARMUP && node.membership.has_peers();
    let Some(key) = node.servers.key_of(message.server) else {
        return LongReplyKind::Denied;
    };
    let short_reserve_percent = node.bundle().map_or(0, |b| b.policy.short_reserve_percent);
    let server = &mut node.servers.arena[key];
    if warming_up || !server.accepts_work(now) {
        return LongReplyKind::Denied;
    }
    let Some(report) = server.fresh_report(now) else {
        return LongReplyKind::Denied;
    };
    let (capacity, used) = (report.capacity_tokens, report.used_tokens);
    let ledger = node
        .reservation_ledgers
        .ledgers
        .entry(message.server)
        .or_default();
    if let Some(reserved) = ledger.reserved.get_mut(&message.request) {
        reserved.last_confirmed = now;
        return LongReplyKind::Granted;
    }
    let prompts = ledger.reserved.values().filter(|r| !r.prefill_done).count();
    if prompts >= MAX_CONCURRENT_PREFILLS {
        return LongReplyKind::Denied;
    }
    let is_other_request = |p: &PendingReservation| now < p.until && p.request != message.request;
    if ledger.pending.as_ref().is_some_and(is_other_request) {
        return LongReplyKind::Denied;
    }
    let reserved: Tokens = ledger.reserved.values().map(|r| r.tokens).sum();
    let limit = match reserved {
        0 => capacity * SOLE_PROMPT_PERCENT / 100,
        _ => capacity * (100 - short_reserve_percent) / 100,
    };
    if reserved + tokens > limit.max(1) && !(reserved == 0 && tokens <= capacity) {
        return LongReplyKind::Denied;
    }
    // Usage beyond the reservations belongs to shorter work; it shrinks as
    // the home grants smaller shares.
    let short_use = used.saturating_sub(reserved);
    if reserved + tokens + short_use > capacity {
        ledger.pending = Some(PendingReservation {
            request: message.request,
            tokens,
            until: now.after(PENDING_RESERVATION_TTL),
        });
        return LongReplyKind::Clearing;
    }
    ledger.pending = None;
    let reserved = Reservation {
        tokens,
        prefill_done: false,
        last_confirmed: now,
    };
    ledger.reserved.insert(message.request, reserved);
    LongReplyKind::Granted
}

/// Applies the reservations that a peer reports, and adds unknown ones.
pub(crate) fn on_peer_reservations(
    node: &mut Node,
    now: Instant,
    reservations: &[LongReservation],
) {
    for reported in reservations {
        if credit::home_since(node, now, reported.server).is_none() {
            continue;
        }
        let ledger = node
            .reservation_ledgers
            .ledgers
            .entry(reported.server)
            .or_default();
        let reserved = ledger
            .reserved
            .entry(reported.request)
            .or_insert(Reservation {
                tokens: reported.tokens,
                prefill_done: reported.prefill_done,
                last_confirmed: now,
            });
        reserved.last_confirmed = now;
        reserved.prefill_done |= reported.prefill_done;
    }
}

/// Drops reservations that their holders no longer confirm, and ledgers of
/// servers that moved to another home.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    const SCAN_INTERVAL: Duration = Duration::from_millis(500);
    if cx.now < node.reservation_ledgers.next_scan {
        return;
    }
    node.reservation_ledgers.next_scan = cx.now.after(SCAN_INTERVAL);
    let own = own_reservations(node);
    on_peer_reservations(node, cx.now, &own);
    let servers: Vec<ServerId> = node.reservation_ledgers.ledgers.keys().copied().collect();
    for server in servers {
        if credit::home_since(node, cx.now, server).is_none() {
            node.reservation_ledgers.ledgers.remove(&server);
            continue;
        }
        let Some(ledger) = node.reservation_ledgers.ledgers.get_mut(&server) else {
            continue;
        };
        let is_confirmed =
            |reserved: &Reservation| cx.now.since(reserved.last_confirmed) < UNCONFIRMED_TTL;
        ledger.reserved.retain(|_, reserved| is_confirmed(reserved));
        ledger.pending = ledger.pending.filter(|p| cx.now < p.until);
    }
}
