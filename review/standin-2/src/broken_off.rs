//! Some servers break some of their streams off inside an event: does one that was cut short look
//! complete?

use std::{
    collections::{HashMap, HashSet},
    io::{self, Write},
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

const SERVERS: usize = 7;
/// Two of seven servers are a share of 0.29; the site has 0.35 and 0.6.
const FAULTY: usize = 2;
/// Of their streams one in thirty is broken off; the site has shares of 0.02 to 0.05.
const STREAMS_PER_FAULT: usize = 30;
const CALLERS: usize = 8;
const EVENTS: u64 = 10;
const LENGTH: Duration = Duration::from_secs(15);
const FAULTS_FROM: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Servers {
    /// Number of streams of each server.
    streams: HashMap<String, usize>,
    faulty: HashSet<String>,
    broken_off: usize,
}

/// Returns whether the rule held. The heads of answers are as in the pages' examples, or have a
/// `content_type` besides.
pub fn run(case: &Case, content_type: &'static str) -> Result<bool, String> {
    let servers: Arc<Mutex<Servers>> = Arc::default();
    let counted = servers.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, to| {
        let after = request.number("last-event-id").unwrap_or(0);
        let breaks_off = {
            let mut servers = counted.lock().expect("no panic");
            let streams = servers.streams.entry(server.id.clone()).or_default();
            *streams += 1;
            let is_due = *streams % STREAMS_PER_FAULT == 0;
            let breaks_off = is_due && servers.faulty.contains(&server.id);
            servers.broken_off += usize::from(breaks_off);
            breaks_off
        };
        let head = server.head(request, "200 OK");
        to.write_all(format!("{head}{content_type}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        for id in after + 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(20));
            if breaks_off && id == EVENTS / 2 {
                write_chunk(to, format!("id: {id}\ndata: ha").as_bytes())?;
                break;
            }
            write_chunk(to, format!("id: {id}\ndata: {id}\n\n").as_bytes())?;
        }
        to.write_all(b"0\r\n\r\n")
    });
    let deployment = Deployment::start(case, &config(), SERVERS, 1, handler)?;
    let node = deployment.nodes[0].caller;
    let (whole, short, failed) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let started = Instant::now();
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (whole, short, failed) = (&whole, &short, &failed);
            scope.spawn(move || {
                let mut number = 0;
                while started.elapsed() < LENGTH {
                    number += 1;
                    let id = format!("a{caller}-{number}");
                    let counter = match ask(node, &id) {
                        Ok(events) if events == EVENTS => whole,
                        Ok(events) => {
                            case.note(format!(
                                "request {id}: BROKEN, complete with {events} events"
                            ));
                            short
                        }
                        Err(e) => {
                            case.note(format!("request {id}: {e}"));
                            failed
                        }
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        std::thread::sleep(FAULTS_FROM);
        if case.trouble {
            let mut servers = servers.lock().expect("no panic");
            let mut busiest: Vec<(usize, String)> = servers
                .streams
                .iter()
                .map(|(id, &n)| (n, id.clone()))
                .collect();
            busiest.sort();
            servers.faulty = busiest
                .into_iter()
                .rev()
                .take(FAULTY)
                .map(|(_, id)| id)
                .collect();
            case.note(format!(
                "servers {:?} break streams off from now on",
                servers.faulty
            ));
        }
    });
    let broken_off = servers.lock().expect("no panic").broken_off;
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    case.result(format!(
        "streams: {} whole, {} failed; {broken_off} broken off by servers, {} ended as complete before their last piece",
        count(&whole),
        count(&failed),
        count(&short)
    ));
    match count(&whole) {
        0 => Err("no stream was served".to_owned()),
        _ => Ok(count(&short) == 0),
    }
}

/// Returns the number of events of an answer that is complete.
fn ask(node: SocketAddr, id: &str) -> io::Result<u64> {
    let mut to = Caller::connect(node)?;
    to.send(
        id,
        &format!("5c1e07a2:800,{id}:660"),
        "",
        &format!("prompt {id}"),
    )?;
    let head = to.read_head()?;
    let mut text = String::new();
    to.read_body(&head, |piece| {
        text.push_str(&String::from_utf8_lossy(piece));
        Ok(())
    })?;
    match head.status() {
        200 => Ok(text.matches("\n\n").count() as u64),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}
