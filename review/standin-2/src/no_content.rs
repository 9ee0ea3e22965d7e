//! Callers whose connections are reset pick their streams up again after the last event: is
//! everything that they get on these connections an answer?

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use crate::{
    http::write_chunk,
    server::Handler,
    setup::{config, Caller, Case, Deployment},
};

const SERVERS: usize = 3;
const CALLERS: usize = 6;
const EVENTS: u64 = 8;
const LENGTH: Duration = Duration::from_secs(12);
/// The connections are reset then: of a share of 0.35 of the callers.
const RESET_AT: Duration = Duration::from_secs(4);

#[derive(Default)]
struct Seen {
    complete: AtomicUsize,
    resumed: AtomicUsize,
    refused: AtomicUsize,
    no_answer: AtomicUsize,
}

/// Returns whether the rule held.
pub fn run(case: &Case) -> Result<bool, String> {
    let handler: Arc<Handler> = Arc::new(move |server, request, to| {
        let after = request.number("last-event-id").unwrap_or(0);
        if after >= EVENTS {
            // Nothing is left: by the format of event streams, this ends them for good.
            let head = server.head(request, "204 No Content");
            return to.write_all(format!("{head}\r\n").as_bytes());
        }
        let head = server.head(request, "200 OK");
        to.write_all(
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .as_bytes(),
        )?;
        for id in after + 1..=EVENTS {
            write_chunk(to, format!("id: {id}\ndata: {id}\n\n").as_bytes())?;
            std::thread::sleep(Duration::from_millis(60));
        }
        // The last event is out; the server still tidies up.
        std::thread::sleep(Duration::from_millis(400));
        to.write_all(b"0\r\n\r\n")
    });
    let deployment = Deployment::start(case, &config(), SERVERS, 1, handler)?;
    let node = deployment.nodes[0].caller;
    let (seen, started) = (Seen::default(), Instant::now());
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let seen = &seen;
            scope.spawn(move || {
                // Two of six are a share of 0.33.
                let is_reset = case.trouble && caller < 2;
                call(case, seen, node, caller, started, is_reset);
            });
        }
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    case.result(format!(
        "answers: {} complete, {} of them picked up again, {} refused; bytes that are no answer: {}",
        count(&seen.complete),
        count(&seen.resumed),
        count(&seen.refused),
        count(&seen.no_answer)
    ));
    match count(&seen.complete) {
        0 => Err("no stream was served".to_owned()),
        _ => Ok(count(&seen.no_answer) == 0),
    }
}

fn call(
    case: &Case,
    seen: &Seen,
    node: SocketAddr,
    caller: usize,
    started: Instant,
    mut is_reset: bool,
) {
    let (mut connection, mut number) = (None, 0);
    let mut last_event = None;
    while started.elapsed() < LENGTH {
        number += 1;
        let id = format!("a{caller}-{number}");
        let parts = format!("5c1e07a2:800,e44{caller:02x}{number:03x}:660");
        let Some(mut to) = connection.take().or_else(|| Caller::connect(node).ok()) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let resumes_after = last_event.take();
        let headers = resumes_after.map_or(String::new(), |id| format!("Last-Event-Id: {id}\r\n"));
        let resets_now = is_reset && started.elapsed() >= RESET_AT;
        let mut events = resumes_after.unwrap_or(0);
        let answer = answer(&mut to, &id, &parts, &headers, &mut events, resets_now);
        match answer {
            Ok(status) => {
                case.note(format!(
                    "request {id}: {status}, events to {events} {headers:?}"
                ));
                let is_success = (200..300).contains(&status);
                let counter = if is_success {
                    &seen.complete
                } else {
                    &seen.refused
                };
                counter.fetch_add(1, Ordering::SeqCst);
                if resumes_after.is_some() && is_success {
                    seen.resumed.fetch_add(1, Ordering::SeqCst);
                }
                connection = Some(to);
            }
            Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                case.note(format!(
                    "request {id}: BROKEN, no answer in the protocol: {e}"
                ));
                seen.no_answer.fetch_add(1, Ordering::SeqCst);
            }
            Err(e) => {
                case.note(format!(
                    "request {id}: the connection is gone after event {events}: {e}"
                ));
                (is_reset, last_event) = (false, Some(events));
            }
        }
    }
}

fn answer(
    to: &mut Caller,
    id: &str,
    parts: &str,
    headers: &str,
    events: &mut u64,
    resets_now: bool,
) -> io::Result<u16> {
    to.send(id, parts, headers, &format!("prompt {id}"))?;
    let head = to.read_head()?;
    let mut text = String::new();
    to.read_body(&head, |piece| {
        text.push_str(&String::from_utf8_lossy(piece));
        let ids = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        *events = ids.last().unwrap_or(*events);
        match resets_now && *events == EVENTS {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    })?;
    Ok(head.status())
}
