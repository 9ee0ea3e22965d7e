//! Carries out orders and keeps the order lease's row.

use std::{rc::Rc, time::Duration};

use http::Method;
use notchwalk_core::ServerId;
use notchwalk_decide::{Event, LeaseRow};
use notchwalk_http::prelude::*;
use notchwalk_wire::{
    Condition, OrderAnswer, OrderRequest, Row, TableOp, TableRead, TableTransaction, WantedState,
};

use crate::shell::Shell;

/// The lease's row.
const LEASE_KEY: &str = "lease/orders";
/// How long an engine may take to answer an order.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a version or adapter, as the weight store counts them.
const WEIGHT_BYTES: u64 = 1 << 20;
/// The longest that the weight store's turn is waited for.
const MAX_WEIGHT_WAIT: Duration = Duration::from_secs(20);

fn parse(row: Option<Row>) -> Option<LeaseRow> {
    row.and_then(|row| serde_json::from_str(&row.value).ok())
}

/// Reads the lease's row.
pub async fn read_lease(shell: Rc<Shell>) {
    let keys = vec![LEASE_KEY.to_owned()];
    shell.step(match shell.platform.read(TableRead { keys }).await {
        Ok(answer) => Event::Lease {
            row: parse(answer.rows.into_iter().next().flatten()),
            applied: false,
        },
        Err(_) => Event::LeaseUnanswered,
    });
}

/// Writes the lease's row if it is as expected.
pub async fn write_lease(shell: Rc<Shell>, expected: Option<LeaseRow>, row: LeaseRow) {
    let text = |row: &LeaseRow| serde_json::to_string(row).unwrap_or_default();
    let op = TableOp {
        key: LEASE_KEY.to_owned(),
        condition: expected.map_or(Condition::Absent, |row| Condition::Value(text(&row))),
        value: Some(text(&row)),
        ttl_s: None,
    };
    let tx = TableTransaction {
        ops: vec![op],
        all_or_none: true,
    };
    shell.step(match shell.platform.transact(tx).await {
        Ok(answer) => Event::Lease {
            applied: answer.applied.first() == Some(&true),
            row: parse(answer.rows.into_iter().next().flatten()),
        },
        Err(_) => Event::LeaseUnanswered,
    });
}

/// Gives an order: waits for the weight store's turn, then looks at the lease
/// once more.
pub async fn give(shell: Rc<Shell>, server: ServerId, fence: u64, wanted: WantedState) {
    let accepted = try_give(&shell, server, fence, wanted)
        .await
        .unwrap_or(true);
    shell.step(Event::OrderEnded { server, accepted });
}

/// Returns whether the engine took it; `None` if it was not given or not
/// answered, so that it may be given again.
async fn try_give(
    shell: &Rc<Shell>,
    server: ServerId,
    fence: u64,
    wanted: WantedState,
) -> Option<bool> {
    if !matches!(wanted, WantedState::VersionUnloaded { .. }) {
        let wait = shell.platform.reserve(WEIGHT_BYTES).await.ok()?;
        let wait = Duration::from_secs_f64(wait.max(0.0));
        monoio::time::sleep(wait.min(MAX_WEIGHT_WAIT)).await;
    }
    let addr = shell.server_address(server)?;
    let mut conn = shell.client.connection(addr, Reuse::Pooled).await.ok()?;
    if conn.is_stale().await || !shell.with_node(|node| node.may_order(shell.now(), fence)) {
        return None;
    }
    let req = OutgoingRequest::new(Method::POST, "/v1/orders");
    let req = req.with_json(&OrderRequest { fence, wanted });
    let sent = shell.client.send_on(addr, conn, req);
    let answer = monoio::time::timeout(TIMEOUT, sent).await.ok()?.ok()?;
    let answer = answer.whole(1 << 16).await.ok()?;
    Some(answer.json::<OrderAnswer>().ok()?.accepted)
}
