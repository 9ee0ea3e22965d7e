//! Sends orders for memory to engines.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::{Event, FailedReservation, RequestKey, ReservationOrder};

use crate::{
    server_words::{self, Asked},
    shell::Shell,
};

/// How long an order may take. Engines answer within a few milliseconds; one
/// that doesn't is taken to be lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

async fn send(shell: &Rc<Shell>, order: &ReservationOrder) -> Result<StatusCode, HttpError> {
    let (path, body) = shell.dialect.reservation_order(order);
    let json = http::HeaderValue::from_static("application/json");
    let req = OutgoingRequest::new(Method::POST, path)
        .with_header(http::header::CONTENT_TYPE, json)
        .with_body(body);
    let at = shell.now();
    let sent = shell
        .client
        .send(order.addr, req, ORDER_TIMEOUT, MAX_ANSWER_BYTES);
    let answer = sent.await?;
    let no_id = http::HeaderValue::from_static("");
    let facts = shell
        .dialect
        .backend_answer(&no_id, answer.status, &answer.headers);
    let asked = Asked {
        server: None,
        addr: order.addr,
        at,
    };
    server_words::hear(shell, asked, &facts);
    Ok(answer.status)
}

/// Sets memory aside on several engines and tells the router whether all of it
/// was granted.
pub(crate) async fn reserve(shell: Rc<Shell>, request: RequestKey, orders: Vec<ReservationOrder>) {
    let sends = orders.iter().map(|order| send(&shell, order));
    let answers = futures_util::future::join_all(sends).await;
    let mut failed = Vec::new();
    for (order, answer) in orders.iter().zip(answers) {
        let (unreachable, reason) = match answer {
            Ok(status) if status.is_success() => continue,
            Ok(status) => (false, status.to_string()),
            Err(e) => {
                shell.step(Event::Unanswered(order.clone()));
                (e.nothing_sent(), e.to_string())
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

/// Renews a reservation or gives its memory back. Failures are logged; the
/// router repeats the order.
pub(crate) async fn send_once(shell: Rc<Shell>, order: ReservationOrder) {
    if let Err(e) = send(&shell, &order).await {
        let facts = format!("reservation={} addr={} reason={e:?}", order.id, order.addr);
        LogEvent::new(LogEventKind::ReservationFailed, facts).emit();
        shell.step(Event::Unanswered(order));
    }
}
