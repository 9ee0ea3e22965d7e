//! Claims: a call with an idempotency key is claimed in the platform's table
//! before it is sent, so that it runs at most once, whichever entries its
//! tries reach. A claim is never taken over from its owner.

use std::{collections::BTreeMap, time::Duration};

use notchwalk_bundle::Bundle;
use notchwalk_core::{Instant, LogEventKind, RequestId};
use notchwalk_wire::OutcomeWord;
use rand::Rng;

use crate::{
    admission, attempt,
    catalog::name_hash,
    effect::{Effect, Failure, FailureCode},
    event::{Arrival, ClaimAnswer, ClaimRow, Work},
    node::{Cx, Node},
    request::{Phase, RequestKey},
    schedule,
    timer::TimerKind,
};

/// How long a claim may take before the call is refused as not run.
const CLAIM_WITHIN: Duration = Duration::from_secs(4);
/// How long one answer of the store is waited for.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500);
/// The pause before the store is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// How long the release of an abandoned claim is tried.
const RELEASE_FOR: Duration = Duration::from_secs(600);
/// The first pause between tries of a release; it doubles each time.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);
/// The longest.
const MAX_RELEASE_PAUSE: Duration = Duration::from_secs(20);

/// A claim of a request.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// The row's key.
    pub key: String,
    /// The token that makes the row ours.
    pub token: String,
    /// Whether the row is known to be ours.
    pub held: bool,
    /// Whether a write may have been sent.
    pub written: bool,
    /// When the store was last asked.
    pub asked: Instant,
}

/// Returns the key of a claim's row.
pub fn claim_key(workspace: &str, service: &str, idempotency_key: &str) -> String {
    let hash = name_hash(idempotency_key);
    format!("claim/{workspace}/{service}/{hash:016x}/{idempotency_key}")
}

/// Returns the claim an arrival needs, if it has an idempotency key.
pub(crate) fn new_claim(arrival: &Arrival, bundle: &Bundle) -> Option<Claim> {
    let Work::Call(call) = &arrival.work else {
        return None;
    };
    let key = call.idempotency_key.as_ref()?;
    let workspace = &bundle.workspace(arrival.workspace).name;
    let service = &bundle.services[call.service.index()].name;
    Some(Claim {
        key: claim_key(workspace, service, key),
        token: String::new(),
        held: false,
        written: false,
        asked: Instant::ZERO,
    })
}

/// Starts claiming.
pub(crate) fn start(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let req = &mut node.requests[key];
    req.phase = Phase::Claiming;
    let token = req.id.to_string();
    if let Some(claim) = req.claim.as_mut() {
        claim.token = token;
    }
    write(node, cx, key);
}

fn write(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let fingerprint = node.requests[key].fingerprint();
    let Some(claim) = node.requests[key].claim.as_mut() else {
        return;
    };
    claim.written = true;
    claim.asked = cx.now;
    cx.emit(Effect::ClaimInsert {
        request: key,
        key: claim.key.clone(),
        token: claim.token.clone(),
        fingerprint,
    });
    node.timers
        .set(cx.now.after(ANSWER_WITHIN), key, TimerKind::Claim);
}

fn read(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(claim) = node.requests[key].claim.as_mut() else {
        return;
    };
    claim.asked = cx.now;
    cx.emit(Effect::ClaimRead {
        request: key,
        key: claim.key.clone(),
    });
    node.timers
        .set(cx.now.after(ANSWER_WITHIN), key, TimerKind::Claim);
}

/// The store answered, or did not.
pub(crate) fn on_answer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, answer: ClaimAnswer) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.phase != Phase::Claiming {
        return;
    }
    let (arrived, deadline) = (req.arrived, req.deadline);
    match answer {
        ClaimAnswer::Row(row) => on_row(node, cx, key, &row),
        _ if cx.now >= arrived.after(CLAIM_WITHIN).min(deadline) => give_up(node, cx, key),
        ClaimAnswer::NoRow => write(node, cx, key),
        ClaimAnswer::NoAnswer => {
            let us = ASK_AGAIN.as_micros() as u64;
            let pause = Duration::from_micros(node.rng.random_range(us / 2..us * 2));
            node.timers.set(cx.now.after(pause), key, TimerKind::Claim);
        }
    }
}

/// The store is asked again after a pause, or because it stays silent.
pub(crate) fn on_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.phase != Phase::Claiming {
        return;
    }
    if cx.now >= req.arrived.after(CLAIM_WITHIN).min(req.deadline) {
        return give_up(node, cx, key);
    }
    let asked = req.claim.as_ref().map_or(cx.now, |c| c.asked);
    if cx.now.since(asked) >= ASK_AGAIN / 2 {
        read(node, cx, key);
    }
}

fn on_row(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, row: &ClaimRow) {
    let fingerprint = node.requests[key].fingerprint();
    let Some(claim) = node.requests[key].claim.as_mut() else {
        return;
    };
    if row.token == claim.token {
        claim.held = true;
        schedule::enqueue(node, key);
        return;
    }
    claim.written = false;
    let row_key = claim.key.clone();
    if row.fingerprint != fingerprint {
        return refuse(
            node,
            cx,
            key,
            FailureCode::KeyReused,
            OutcomeWord::NotRun,
            None,
        );
    }
    if row.done {
        attempt::remove(node, cx, key);
        cx.emit(Effect::FinishStored {
            request: key,
            key: row_key,
        });
        return;
    }
    match owner_lives(node, &row.token) {
        true => {
            let code = FailureCode::StillRunning;
            refuse(node, cx, key, code, OutcomeWord::Unknown, Some(500));
        }
        false => {
            let code = FailureCode::OutcomeUnknown;
            refuse(node, cx, key, code, OutcomeWord::Unknown, None);
        }
    }
}

fn owner_lives(node: &Node, token: &str) -> bool {
    let Ok(owner) = token.parse::<RequestId>() else {
        return false;
    };
    if owner.vm == node.cfg.vm {
        return owner.boot == node.cfg.boot && node.by_seq.contains_key(&owner.seq);
    }
    node.membership.may_live(owner.vm, owner.boot)
}

fn refuse(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    code: FailureCode,
    outcome: OutcomeWord,
    retry_ms: Option<u64>,
) {
    let retry_after_ms = retry_ms.and_then(|ms| admission::retry_after(node, ms));
    let failure = Failure {
        code,
        outcome,
        retry_after_ms,
    };
    attempt::fail_with(node, cx, key, failure);
}

/// The store can't be relied on in time: the call is not sent, now or later.
fn give_up(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let facts = format!("request={}", node.requests[key].id);
    cx.log(LogEventKind::ClaimUnknown, facts);
    attempt::fail(node, cx, key, FailureCode::StoreUnavailable, Some(2_000));
}

/// A request is over: a claim whose call was never sent is released, so that
/// a later try can run.
pub(crate) fn on_request_over(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    let Some(claim) = &req.claim else {
        return;
    };
    if req.sent || !claim.written {
        return;
    }
    let release = Release {
        token: claim.token.clone(),
        fingerprint: req.fingerprint(),
        since: cx.now,
        next: cx.now,
        pause: RELEASE_PAUSE,
    };
    node.releases.pending.insert(claim.key.clone(), release);
}

#[derive(Debug)]
struct Release {
    token: String,
    fingerprint: String,
    since: Instant,
    next: Instant,
    pause: Duration,
}

/// Releases of abandoned claims, repeated until they are confirmed.
#[derive(Debug, Default)]
pub(crate) struct ClaimReleases {
    pending: BTreeMap<String, Release>,
    next_scan: Instant,
}

impl ClaimReleases {
    /// Takes in the answer to a release.
    pub fn on_released(&mut self, now: Instant, key: &str, confirmed: bool) {
        if confirmed {
            self.pending.remove(key);
            return;
        }
        if let Some(release) = self.pending.get_mut(key) {
            release.next = now.after(release.pause);
            release.pause = (release.pause * 2).min(MAX_RELEASE_PAUSE);
        }
    }

    /// Returns how many releases are not confirmed.
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

/// Sends the releases that are due.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    const SCAN_EVERY: Duration = Duration::from_millis(100);
    if node.releases.pending.is_empty() || cx.now < node.releases.next_scan {
        return;
    }
    node.releases.next_scan = cx.now.after(SCAN_EVERY);
    node.releases
        .pending
        .retain(|_, r| cx.now.since(r.since) < RELEASE_FOR);
    for (key, release) in &mut node.releases.pending {
        if cx.now < release.next {
            continue;
        }
        release.next = cx.now.after(release.pause);
        cx.emit(Effect::ClaimRelease {
            key: key.clone(),
            token: release.token.clone(),
            fingerprint: release.fingerprint.clone(),
        });
    }
}
