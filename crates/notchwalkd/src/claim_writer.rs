//! Writes, reads and releases claims in the platform's table. Writes are batched
//! into shared transactions, because the table's write rate is limited.

use std::{rc::Rc, time::Duration};

use notchwalk_decide::{ClaimResponse, ClaimRow, Event, RequestKey};
use notchwalk_wire::{Condition, Row, TableOp, TableRead, TableTransaction};

use crate::{
    claims::{AfterWrite, ClaimValue, PendingWrite, StoredOutcome},
    shell::Shell,
};

/// How long writes are collected before the first transaction.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Maximum number of writes in one transaction.
const MAX_BATCH_WRITES: usize = 64;
/// Maximum number of attempts to write an outcome.
const MAX_OUTCOME_WRITE_ATTEMPTS: u32 = 12;

fn outcome_ttl_s(shell: &Shell) -> Option<u64> {
    Some(shell.bundle().map_or(86_400, |b| b.policy.outcome_ttl_s))
}

/// Inserts a claim unless the key is already claimed.
pub fn insert(
    shell: &Rc<Shell>,
    request: RequestKey,
    key: String,
    token: String,
    fingerprint: String,
) {
    let value = ClaimValue {
        token,
        fingerprint,
        outcome: None,
    };
    let op = TableOp {
        key,
        condition: Condition::Absent,
        value: Some(value.text()),
        ttl_s: outcome_ttl_s(shell),
    };
    push(
        shell,
        PendingWrite {
            op,
            after: AfterWrite::ReportClaim(request),
        },
    );
}

/// Queues a write for the next transaction.
fn push(shell: &Rc<Shell>, write: PendingWrite) {
    shell.claims.pending.borrow_mut().push(write);
    if !shell.claims.is_flushing.replace(true) {
        notchwalk_http::spawn(flush(shell.clone()));
    }
}

/// Stores the outcome of a call. Failed writes are retried with a backoff.
pub fn store_outcome(
    shell: &Rc<Shell>,
    key: String,
    token: String,
    fingerprint: String,
    outcome: StoredOutcome,
) {
    let mut value = ClaimValue {
        token,
        fingerprint,
        outcome: None,
    };
    let expected = value.text();
    value.outcome = Some(outcome);
    let op = TableOp {
        key,
        condition: Condition::Value(expected),
        value: Some(value.text()),
        ttl_s: outcome_ttl_s(shell),
    };
    let after = AfterWrite::RetryOutcome {
        attempts_left: MAX_OUTCOME_WRITE_ATTEMPTS,
    };
    push(shell, PendingWrite { op, after });
}

/// Reads a claim and reports it to the reducer.
pub fn read(shell: &Rc<Shell>, request: RequestKey, key: String) {
    let shell = shell.clone();
    notchwalk_http::spawn(async move {
        let read = shell.platform.read(TableRead { keys: vec![key] }).await;
        let response = match read {
            Ok(response) => claim_response(response.rows.into_iter().next().flatten()),
            Err(_) => ClaimResponse::Unanswered,
        };
        shell.step(Event::Claim { request, response });
    });
}

/// Deletes the claim of a call that was not sent.
pub fn release(shell: &Rc<Shell>, key: String, token: String, fingerprint: String) {
    let shell = shell.clone();
    notchwalk_http::spawn(async move {
        let value = ClaimValue {
            token,
            fingerprint,
            outcome: None,
        };
        let op = TableOp {
            key: key.clone(),
            condition: Condition::Value(value.text()),
            value: None,
            ttl_s: None,
        };
        let tx = TableTransaction {
            ops: vec![op],
            all_or_none: false,
        };
        let confirmed = shell.platform.transact(tx).await.is_ok();
        shell.step(Event::ClaimReleased { key, confirmed });
    });
}

/// Writes all queued operations in batches.
async fn flush(shell: Rc<Shell>) {
    monoio::time::sleep(BATCH_DELAY).await;
    loop {
        let batch = {
            let mut pending = shell.claims.pending.borrow_mut();
            let n = pending.len().min(MAX_BATCH_WRITES);
            pending.drain(..n).collect::<Vec<_>>()
        };
        if batch.is_empty() {
            shell.claims.is_flushing.set(false);
            return;
        }
        write(&shell, batch).await;
    }
}

async fn write(shell: &Rc<Shell>, batch: Vec<PendingWrite>) {
    let ops = batch.iter().map(|write| write.op.clone()).collect();
    let tx = TableTransaction {
        ops,
        all_or_none: false,
    };
    let rows = shell
        .platform
        .transact(tx)
        .await
        .map(|response| response.rows);
    for (i, write) in batch.into_iter().enumerate() {
        let row = rows.as_ref().map(|rows| rows.get(i).cloned().flatten());
        match write.after {
            AfterWrite::ReportClaim(request) => {
                let response = row.map_or(ClaimResponse::Unanswered, claim_response);
                shell.step(Event::Claim { request, response });
            }
            AfterWrite::RetryOutcome { attempts_left } if row.is_err() && attempts_left > 1 => {
                let after = AfterWrite::RetryOutcome {
                    attempts_left: attempts_left - 1,
                };
                notchwalk_http::spawn(retry_outcome_write(
                    shell.clone(),
                    PendingWrite {
                        op: write.op,
                        after,
                    },
                ));
            }
            AfterWrite::RetryOutcome { .. } => {}
        }
    }
}

/// Queues the write of an outcome again after an exponential backoff.
async fn retry_outcome_write(shell: Rc<Shell>, write: PendingWrite) {
    const BASE_DELAY: Duration = Duration::from_millis(100);
    let AfterWrite::RetryOutcome { attempts_left } = write.after else {
        return;
    };
    monoio::time::sleep(BASE_DELAY * 2u32.pow((MAX_OUTCOME_WRITE_ATTEMPTS - attempts_left).min(8)))
        .await;
    push(&shell, write);
}

fn claim_response(row: Option<Row>) -> ClaimResponse {
    let Some(row) = row else {
        return ClaimResponse::NoRow;
    };
    match serde_json::from_str::<ClaimValue>(&row.value) {
        Ok(value) => ClaimResponse::Row(ClaimRow {
            token: value.token,
            done: value.outcome.is_some(),
            fingerprint: value.fingerprint,
        }),
        Err(_) => ClaimResponse::Unanswered,
    }
}

/// Reads a stored outcome. Returns `None` if there is none or the read fails.
pub async fn read_outcome(shell: &Shell, key: String) -> Option<StoredOutcome> {
    let response = shell
        .platform
        .read(TableRead { keys: vec![key] })
        .await
        .ok()?;
    let row = response.rows.into_iter().next().flatten()?;
    serde_json::from_str::<ClaimValue>(&row.value).ok()?.outcome
}
