//! Sends orders to engines, and reads and writes the order lease in the
//! platform's table.

use std::{rc::Rc, time::Duration};

use http::Method;
use notchwalk_core::ServerId;
use notchwalk_decide::{Event, LeaseRow};
use notchwalk_http::prelude::*;
use notchwalk_wire::{
    Condition, DesiredState, OrderRequest, OrderResponse, Row, TableOp, TableRead, TableTransaction,
};

use crate::shell::Shell;

/// Table key of the order lease.
const LEASE_KEY: &str = "lease/orders";
/// Timeout of an order's response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes reserved at the weight store for one version or adapter.
const WEIGHT_RESERVATION_BYTES: u64 = 1 << 20;
/// Upper bound on the wait that the weight store requests.
const MAX_WEIGHT_STORE_WAIT: Duration = Duration::from_secs(20);

fn parse_lease(row: Option<Row>) -> Option<LeaseRow> {
    row.and_then(|row| serde_json::from_str(&row.value).ok())
}

/// Reads the lease and reports it to the reducer.
pub async fn read_lease(shell: Rc<Shell>) {
    let keys = vec![LEASE_KEY.to_owned()];
    shell.step(match shell.platform.read(TableRead { keys }).await {
        Ok(response) => Event::Lease {
            row: parse_lease(response.rows.into_iter().next().flatten()),
            applied: false,
        },
        Err(_) => Event::LeaseUnanswered,
    });
}

/// Writes the lease if the table still holds `expected`, and reports the result to
/// the reducer.
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
        Ok(response) => Event::Lease {
            applied: response.applied.first() == Some(&true),
            row: parse_lease(response.rows.into_iter().next().flatten()),
        },
        Err(_) => Event::LeaseUnanswered,
    });
}

/// Sends an order to an engine and reports the result to the reducer. The lease is
/// checked again after the wait for the weight store.
pub async fn send_order(
    shell: Rc<Shell>,
    server: ServerId,
    fencing_token: u64,
    desired: DesiredState,
) {
    let accepted = try_send_order(&shell, server, fencing_token, desired)
        .await
        .unwrap_or(true);
    shell.step(Event::OrderEnded { server, accepted });
}

/// Returns whether the engine accepted the order; `None` if the order was not sent
/// or got no response, and may be sent again.
async fn try_send_order(
    shell: &Rc<Shell>,
    server: ServerId,
    fencing_token: u64,
    desired: DesiredState,
) -> Option<bool> {
    if !matches!(desired, DesiredState::VersionUnloaded { .. }) {
        let wait = shell
            .platform
            .reserve(WEIGHT_RESERVATION_BYTES)
            .await
            .ok()?;
        let wait = Duration::from_secs_f64(wait.max(0.0));
        monoio::time::sleep(wait.min(MAX_WEIGHT_STORE_WAIT)).await;
    }
    let addr = shell.server_address(server)?;
    let mut conn = shell
        .client
        .connection(addr, ConnectionReuse::Pooled)
        .await
        .ok()?;
    if conn.is_stale().await || !shell.with_node(|node| node.may_order(shell.now(), fencing_token))
    {
        return None;
    }
    let req = OutgoingRequest::new(Method::POST, "/v1/orders");
    let req = req.with_json(&OrderRequest {
        fencing_token,
        desired,
    });
    let sent = shell.client.send_on(addr, conn, req);
    let response = monoio::time::timeout(ORDER_TIMEOUT, sent)
        .await
        .ok()?
        .ok()?;
    let response = response.collect(1 << 16).await.ok()?;
    Some(response.json::<OrderResponse>().ok()?.accepted)
}
