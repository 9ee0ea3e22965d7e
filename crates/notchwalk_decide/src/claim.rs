//! Claims: a call with an idempotency key is claimed in the platform's table
//! before it is sent, so that it runs at most once, whichever nodes its
//! attempts reach. A claim is never taken over from its owner.

use std::{collections::BTreeMap, time::Duration};

use notchwalk_bundle::Bundle;
use notchwalk_core::{Instant, LogEventKind, RequestId};
use notchwalk_wire::ExecutionOutcome;
use rand::Rng;

use crate::{
    admission, attempt,
    catalog::name_hash,
    effect::{Effect, Failure, FailureCode},
    event::{Arrival, ClaimResponse, ClaimRow, Work},
    node::{Cx, Node},
    request::{Phase, RequestKey},
    schedule,
    timer::TimerKind,
};

/// Time limit for a claim, after which the call fails as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time to wait for a response of the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the table is queried again.
const TABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the release of an abandoned claim is retried.
const RELEASE_TTL: Duration = Duration::from_secs(600);
/// Delay before a release is first repeated; doubles each time.
const INITIAL_RELEASE_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between repeated releases.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(20);

/// The claim of a request.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// The key of the claim's row in the platform's table.
    pub key: String,
    /// The token that marks this request as the row's owner.
    pub token: String,
    /// Whether the row is known to be owned by this request.
    pub owned: bool,
    /// Whether the table may hold a row written for this request.
    pub written: bool,
    /// When the table was last queried.
    pub last_query: Instant,
}

/// Returns the key of a claim's row.
pub fn claim_key(workspace: &str, service: &str, idempotency_key: &str) -> String {
    let hash = name_hash(idempotency_key);
    format!("claim/{workspace}/{service}/{hash:016x}/{idempotency_key}")
}

/// Returns the claim that an arrival needs, if it has an idempotency key.
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
        owned: false,
        written: false,
        last_query: Instant::ZERO,
    })
}

/// Writes the claim of a request.
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
    claim.last_query = cx.now;
    cx.emit(Effect::ClaimInsert {
        request: key,
        key: claim.key.clone(),
        token: claim.token.clone(),
        fingerprint,
    });
    node.timers
        .set(cx.now.after(TABLE_TIMEOUT), key, TimerKind::Claim);
}

fn read(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(claim) = node.requests[key].claim.as_mut() else {
        return;
    };
    claim.last_query = cx.now;
    cx.emit(Effect::ClaimRead {
        request: key,
        key: claim.key.clone(),
    });
    node.timers
        .set(cx.now.after(TABLE_TIMEOUT), key, TimerKind::Claim);
}

/// Handles the table's response.
pub(crate) fn on_response(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    response: ClaimResponse,
) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.phase != Phase::Claiming {
        return;
    }
    let (arrived, deadline) = (req.arrived, req.deadline);
    match response {
        ClaimResponse::Row(row) => on_row(node, cx, key, &row),
        _ if cx.now >= arrived.after(CLAIM_TIMEOUT).min(deadline) => {
            fail_unavailable(node, cx, key)
        }
        ClaimResponse::NoRow => write(node, cx, key),
        ClaimResponse::Unanswered => {
            let us = TABLE_RETRY_DELAY.as_micros() as u64;
            let delay = Duration::from_micros(node.rng.random_range(us / 2..us * 2));
            node.timers.set(cx.now.after(delay), key, TimerKind::Claim);
        }
    }
}

/// Reads the claim again, after a delay or because the table did not respond.
pub(crate) fn on_timer(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let Some(req) = node.requests.get(key) else {
        return;
    };
    if req.phase != Phase::Claiming {
        return;
    }
    if cx.now >= req.arrived.after(CLAIM_TIMEOUT).min(req.deadline) {
        return fail_unavailable(node, cx, key);
    }
    let last_query = req.claim.as_ref().map_or(cx.now, |c| c.last_query);
    if cx.now.since(last_query) >= TABLE_RETRY_DELAY / 2 {
        read(node, cx, key);
    }
}

fn on_row(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey, row: &ClaimRow) {
    let fingerprint = node.requests[key].fingerprint();
    let Some(claim) = node.requests[key].claim.as_mut() else {
        return;
    };
    if row.token == claim.token {
        claim.owned = true;
        schedule::enqueue(node, key);
        return;
    }
    claim.written = false;
    let row_key = claim.key.clone();
    if row.fingerprint != fingerprint {
        return fail_with_outcome(
            node,
            cx,
            key,
            FailureCode::IdempotencyKeyReused,
            ExecutionOutcome::NotRun,
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
    match owner_may_be_running(node, &row.token) {
        true => {
            let code = FailureCode::CallInProgress;
            fail_with_outcome(node, cx, key, code, ExecutionOutcome::Unknown, Some(500));
        }
        false => {
            let code = FailureCode::OutcomeUnknown;
            fail_with_outcome(node, cx, key, code, ExecutionOutcome::Unknown, None);
        }
    }
}

/// Returns whether the request that owns a claim may still be running.
fn owner_may_be_running(node: &Node, token: &str) -> bool {
    let Ok(owner) = token.parse::<RequestId>() else {
        return false;
    };
    if owner.vm == node.cfg.vm {
        return owner.boot == node.cfg.boot && node.by_seq.contains_key(&owner.seq);
    }
    node.membership.may_be_alive(owner.vm, owner.boot)
}

/// Fails a request whose claim is owned by another request.
fn fail_with_outcome(
    node: &mut Node,
    cx: &mut Cx<'_>,
    key: RequestKey,
    code: FailureCode,
    outcome: ExecutionOutcome,
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

/// Fails a call whose claim was not confirmed in time; the call is never sent.
fn fail_unavailable(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
    let facts = format!("request={}", node.requests[key].id);
    cx.log(LogEventKind::ClaimOutcomeUnknown, facts);
    attempt::fail(node, cx, key, FailureCode::StoreUnavailable, Some(2_000));
}

/// Releases the claim of a call that was never sent, so that a later attempt
/// can run.
pub(crate) fn on_request_ended(node: &mut Node, cx: &mut Cx<'_>, key: RequestKey) {
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
        delay: INITIAL_RELEASE_DELAY,
    };
    node.claim_releases
        .pending
        .insert(claim.key.clone(), release);
}

#[derive(Debug)]
struct Release {
    token: String,
    fingerprint: String,
    since: Instant,
    next: Instant,
    delay: Duration,
}

/// Releases of abandoned claims, repeated until they are confirmed.
#[derive(Debug, Default)]
pub(crate) struct ClaimReleases {
    pending: BTreeMap<String, Release>,
    next_scan: Instant,
}

impl ClaimReleases {
    /// Handles the response to a release.
    pub fn on_released(&mut self, now: Instant, key: &str, confirmed: bool) {
        if confirmed {
            self.pending.remove(key);
            return;
        }
        if let Some(release) = self.pending.get_mut(key) {
            release.next = now.after(release.delay);
            release.delay = (release.delay * 2).min(MAX_RELEASE_DELAY);
        }
    }

    /// Returns the number of unconfirmed releases.
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

/// Sends the releases that are due.
pub(crate) fn on_tick(node: &mut Node, cx: &mut Cx<'_>) {
    const SCAN_INTERVAL: Duration = Duration::from_millis(100);
    if node.claim_releases.pending.is_empty() || cx.now < node.claim_releases.next_scan {
        return;
    }
    node.claim_releases.next_scan = cx.now.after(SCAN_INTERVAL);
    node.claim_releases
        .pending
        .retain(|_, r| cx.now.since(r.since) < RELEASE_TTL);
    for (key, release) in &mut node.claim_releases.pending {
        if cx.now < release.next {
            continue;
        }
        release.next = cx.now.after(release.delay);
        cx.emit(Effect::ClaimRelease {
            key: key.clone(),
            token: release.token.clone(),
            fingerprint: release.fingerprint.clone(),
        });
    }
}
