//! Writes, reads and releases claims in the platform's table. Writes that come
//! close together share one transaction, since the table takes only several
//! hundred writes a second.

use std::{rc::Rc, time::Duration};

use notchwalk_decide::{ClaimAnswer, ClaimRow, Event, RequestKey};
use notchwalk_wire::{Condition, Row, TableOp, TableRead, TableTransaction};

use crate::{
    claims::{ClaimValue, StoredOutcome, Then, Write},
    shell::Shell,
};

/// How long writes are gathered.
const GATHER: Duration = Duration::from_millis(4);
/// Writes in one transaction at the most.
const MAX_BATCH: usize = 64;
/// Tries to store an outcome.
const STORE_TRIES: u32 = 12;

fn ttl(shell: &Shell) -> Option<u64> {
    Some(shell.bundle().map_or(86_400, |b| b.policy.outcome_ttl_s))
}

/// Writes a claim if there is none.
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
        ttl_s: ttl(shell),
    };
    push(
        shell,
        Write {
            op,
            then: Then::Claim(request),
        },
    );
}

/// Adds a write to those that share the next transaction.
fn push(shell: &Rc<Shell>, write: Write) {
    shell.claims.waiting.borrow_mut().push(write);
    if !shell.claims.gathering.replace(true) {
        notchwalk_http::spawn(flush(shell.clone()));
    }
}

/// Stores the outcome of a call, with several tries while the table is
/// down.
pub fn store(
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
    let claimed = value.text();
    value.outcome = Some(outcome);
    let op = TableOp {
        key,
        condition: Condition::Value(claimed),
        value: Some(value.text()),
        ttl_s: ttl(shell),
    };
    let then = Then::Stored { tries: STORE_TRIES };
    push(shell, Write { op, then });
}

/// Reads a claim.
pub fn read(shell: &Rc<Shell>, request: RequestKey, key: String) {
    let shell = shell.clone();
    notchwalk_http::spawn(async move {
        let read = shell.platform.read(TableRead { keys: vec![key] }).await;
        let answer = match read {
            Ok(answer) => answer_of(answer.rows.into_iter().next().flatten()),
            Err(_) => ClaimAnswer::NoAnswer,
        };
        shell.step(Event::Claim { request, answer });
    });
}

/// Deletes a claim whose call was not sent.
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

async fn flush(shell: Rc<Shell>) {
    monoio::time::sleep(GATHER).await;
    loop {
        let batch = {
            let mut waiting = shell.claims.waiting.borrow_mut();
            let n = waiting.len().min(MAX_BATCH);
            waiting.drain(..n).collect::<Vec<_>>()
        };
        if batch.is_empty() {
            shell.claims.gathering.set(false);
            return;
        }
        write(&shell, batch).await;
    }
}

async fn write(shell: &Rc<Shell>, batch: Vec<Write>) {
    let ops = batch.iter().map(|write| write.op.clone()).collect();
    let tx = TableTransaction {
        ops,
        all_or_none: false,
    };
    let rows = shell.platform.transact(tx).await.map(|answer| answer.rows);
    for (i, write) in batch.into_iter().enumerate() {
        let row = rows.as_ref().map(|rows| rows.get(i).cloned().flatten());
        match write.then {
            Then::Claim(request) => {
                let answer = row.map_or(ClaimAnswer::NoAnswer, answer_of);
                shell.step(Event::Claim { request, answer });
            }
            Then::Stored { tries } if row.is_err() && tries > 1 => {
                let then = Then::Stored { tries: tries - 1 };
                notchwalk_http::spawn(store_later(shell.clone(), Write { op: write.op, then }));
            }
            Then::Stored { .. } => {}
        }
    }
}

/// Tries again to store an outcome, after a pause that grows with each try.
async fn store_later(shell: Rc<Shell>, write: Write) {
    const PAUSE: Duration = Duration::from_millis(100);
    let Then::Stored { tries } = write.then else {
        return;
    };
    monoio::time::sleep(PAUSE * 2u32.pow((STORE_TRIES - tries).min(8))).await;
    push(&shell, write);
}

fn answer_of(row: Option<Row>) -> ClaimAnswer {
    let Some(row) = row else {
        return ClaimAnswer::NoRow;
    };
    match serde_json::from_str::<ClaimValue>(&row.value) {
        Ok(value) => ClaimAnswer::Row(ClaimRow {
            token: value.token,
            done: value.outcome.is_some(),
            fingerprint: value.fingerprint,
        }),
        Err(_) => ClaimAnswer::NoAnswer,
    }
}

/// Reads a stored outcome.
pub async fn read_outcome(shell: &Shell, key: String) -> Option<StoredOutcome> {
    let answer = shell
        .platform
        .read(TableRead { keys: vec![key] })
        .await
        .ok()?;
    let row = answer.rows.into_iter().next().flatten()?;
    serde_json::from_str::<ClaimValue>(&row.value).ok()?.outcome
}
