//! Streams beside the crash of a server: does each piece arrive once, in order?

use std::{
    collections::HashMap,
    io::Write,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::{
    http::write_chunk,
    server::Handler,
    setup::{config, Caller, Case, Deployment},
};

/// Of seven servers one is a share of 0.143; the site has 0.14 to 0.17.
const SERVERS: usize = 7;
/// How long a crashed server is away: `for_s` of the site.
const DOWN: Duration = Duration::from_millis(4_500);
const CALLERS: usize = 6;
const CRASH_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(12);
/// A server writes an event in pieces of this size, each as a chunk.
const WRITE_BYTES: usize = 16 * 1024;

/// What the streams of a case look like.
#[derive(Clone, Copy)]
pub struct Streams {
    pub name: &'static str,
    /// The end of a line: the format allows LF, CRLF and CR.
    pub line_end: &'static str,
    pub event_bytes: usize,
    pub events: u64,
    pub pause: Duration,
}

impl Streams {
    fn event(&self, id: u64) -> Vec<u8> {
        let end = self.line_end;
        let mut event = format!("id: {id}{end}data: {id}-").into_bytes();
        let size = self.event_bytes.max(event.len());
        event.resize(size, b'a' + (id % 26) as u8);
        event.extend_from_slice(format!("{end}{end}").as_bytes());
        event
    }

    /// Returns the ids of the complete events of a body, and whether one has other bytes than
    /// its server wrote.
    fn ids(&self, body: &[u8]) -> (Vec<u64>, bool) {
        let (mut ids, mut is_changed, mut rest) = (Vec::new(), false, body);
        let blank = self.line_end.repeat(2);
        let blank = blank.as_bytes();
        while let Some(at) = rest.windows(blank.len()).position(|window| window == blank) {
            let (event, after) = rest.split_at(at + blank.len());
            rest = after;
            let text = String::from_utf8_lossy(&event[..event.len().min(40)]).into_owned();
            let id = text
                .strip_prefix("id: ")
                .and_then(|t| t.split(self.line_end).next());
            let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
            is_changed |= event != self.event(id);
            ids.push(id);
        }
        (ids, is_changed)
    }
}

#[derive(Default)]
struct Seen {
    complete: AtomicUsize,
    cut: AtomicUsize,
    refused: AtomicUsize,
    broken: AtomicUsize,
}

/// Returns whether the rule held.
pub fn run(case: &Case, streams: Streams) -> Result<bool, String> {
    let running: Arc<Mutex<HashMap<String, i32>>> = Arc::default();
    let counted = running.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, to| {
        let after = request.number("last-event-id").unwrap_or(0);
        let head = server.head(request, "200 OK");
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        to.write_all(head.as_bytes())?;
        *counted
            .lock()
            .expect("no panic")
            .entry(server.id.clone())
            .or_default() += 1;
        let written = (|| {
            for id in after + 1..=streams.events {
                std::thread::sleep(streams.pause);
                for piece in streams.event(id).chunks(WRITE_BYTES) {
                    write_chunk(to, piece)?;
                }
            }
            to.write_all(b"0\r\n\r\n")
        })();
        *counted
            .lock()
            .expect("no panic")
            .entry(server.id.clone())
            .or_default() -= 1;
        written
    });
    let deployment = Deployment::start(case, &config(), SERVERS, 1, handler)?;
    let node = deployment.nodes[0].caller;
    let (seen, started) = (Seen::default(), Instant::now());
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let seen = &seen;
            scope.spawn(move || call(case, seen, streams, node, caller, started));
        }
        std::thread::sleep(CRASH_AT);
        if !case.trouble {
            return;
        }
        // The server that has the most streams: the others may have none.
        let busiest = {
            let running = running.lock().expect("no panic");
            let of = |id: &str| running.get(id).copied().unwrap_or(0);
            let busiest = deployment
                .servers
                .iter()
                .max_by_key(|server| of(&server.id));
            busiest.map(|server| (server.clone(), of(&server.id)))
        };
        if let Some((server, streams)) = busiest {
            case.note(format!(
                "server {} crashes with {streams} streams",
                server.id
            ));
            server.crash(DOWN);
        }
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    case.result(format!(
        "{}: {} streams complete, {} cut off, {} refused; with a piece twice, missing or changed: {}",
        streams.name,
        count(&seen.complete),
        count(&seen.cut),
        count(&seen.refused),
        count(&seen.broken)
    ));
    match count(&seen.complete) {
        0 => Err("no stream was served".to_owned()),
        _ => Ok(count(&seen.broken) == 0),
    }
}

fn call(
    case: &Case,
    seen: &Seen,
    streams: Streams,
    node: SocketAddr,
    caller: usize,
    started: Instant,
) {
    let (mut connection, mut number) = (None, 0);
    while started.elapsed() < LENGTH {
        number += 1;
        let id = format!("a{caller}-{number}");
        let parts = format!("5c1e07a2:800,e44{caller:02x}{number:03x}:660");
        let Some(to) = connection.take().or_else(|| Caller::connect(node).ok()) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut to: Caller = to;
        let mut body = Vec::new();
        let sent = to.send(&id, &parts, "", &format!("prompt {id}"));
        let answer = sent.and_then(|()| to.read_head()).and_then(|head| {
            let end = to.read_body(&head, |piece| {
                body.extend_from_slice(piece);
                Ok(())
            });
            Ok((head.status(), end))
        });
        let (status, is_complete) = match &answer {
            Ok((status, end)) => (*status, end.is_ok()),
            Err(_) => (0, false),
        };
        if status != 200 {
            seen.refused.fetch_add(1, Ordering::SeqCst);
            case.note(format!("request {id}: status {status}"));
            std::thread::sleep(Duration::from_millis(100));
            continue;
        }
        let (ids, is_changed) = streams.ids(&body);
        let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        let is_whole = !is_complete || ids.len() as u64 == streams.events;
        if !is_in_order || !is_whole || is_changed {
            seen.broken.fetch_add(1, Ordering::SeqCst);
            case.note(format!(
                "request {id}: BROKEN, complete={is_complete} changed={is_changed} pieces {ids:?}"
            ));
        } else {
            case.note(format!(
                "request {id}: complete={is_complete}, pieces 1 to {}",
                ids.len()
            ));
        }
        match is_complete {
            true => {
                seen.complete.fetch_add(1, Ordering::SeqCst);
                connection = Some(to);
            }
            false => {
                seen.cut.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}
