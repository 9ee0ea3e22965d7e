//! Sends reservation orders to engines.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::{Event, FailedReservation, RequestKey, ReservationOrder};

use crate::{
    server_notices::{self, ResponseOrigin},
    shell::Shell,
};

/// Timeout of a reservation order. Engines respond within a few milliseconds; an order
/// without a response counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

async fn send(shell: &Rc<Shell>, order: &ReservationOrder) -> Result<StatusCode, HttpError> {
    let (path, body) = shell.dialect.reservation_order(order);
    let json = http::HeaderValue::from_static("application/json");
    let req = OutgoingRequest::new(Method::POST, path)
        .with_header(http::header::CONTENT_TYPE, json)
        .with_body(body);
    let sent_at = shell.now();
    let call = shell
        .client
        .send(order.addr, req, ORDER_TIMEOUT, MAX_RESPONSE_BYTES);
    let response = call.await?;
    let no_id = http::HeaderValue::from_static("");
    let facts = shell
        .dialect
        .backend_response(&no_id, response.status, &response.headers);
    let origin = ResponseOrigin {
        server: None,
        addr: order.addr,
        sent_at,
    };
    server_notices::apply_notices(shell, origin, &facts);
    Ok(response.status)
}

/// Reserves memory on several engines and reports to the router which reservations
/// failed.
pub(crate) async fn reserve(shell: Rc<Shell>, request: RequestKey, orders: Vec<ReservationOrder>) {
    let sends = orders.iter().map(|order| send(&shell, order));
    let responses = futures_util::future::join_all(sends).await;
    let mut failed = Vec::new();
    for (order, response) in orders.iter().zip(responses) {
        let (unreachable, reason) = match response {
            Ok(status) if status.is_success() => continue,
            Ok(status) => (false, status.to_string()),
            Err(e) => {
                shell.step(Event::ReservationUnanswered(order.clone()));
                (e.is_unsent(), e.to_string())
            }
        };
        failed.push(FailedReservation {
            addr: order.addr,
            unreachable,
        });
        let facts = format!(
            "reservation={} addr={} reason={reason:?}",
            order.id, order.addr
        );
        LogEvent::new(LogEventKind::ReservationFailed, facts).emit();
    }
    shell.step(Event::Reserved { request, failed });
}

/// Sends an order that renews or releases a reservation. Failures are logged and
/// reported to the router, which repeats the order.
pub(crate) async fn send_once(shell: Rc<Shell>, order: ReservationOrder) {
    if let Err(e) = send(&shell, &order).await {
        let facts = format!("reservation={} addr={} reason={e:?}", order.id, order.addr);
        LogEvent::new(LogEventKind::ReservationFailed, facts).emit();
        shell.step(Event::ReservationUnanswered(order));
    }
}
