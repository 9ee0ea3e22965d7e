//! One part of a prompt crashes each server that begins to write an answer on it: how many
//! requests with it still reach servers?

use std::{
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

const SERVERS: usize = 18;
const NODES: usize = 2;
/// How long a crashed server is away: `for_s` of the site.
const DOWN: Duration = Duration::from_millis(4_500);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
const LENGTH: Duration = Duration::from_secs(40);
/// Time between two requests with the part.
const POISON_INTERVAL: Duration = Duration::from_millis(1_000);
const POISON: &str = "dead0bad";
/// The parts of a prompt before the request's own.
const SHARED_PARTS: usize = 41;
/// With their pace, one request in thirty has the part.
const CALLERS: usize = 32;
/// Requests that may reach servers later than `contactMs` after the fifth crash.
const ALLOWED_LATE: usize = 3;
const EVENTS: u64 = 15;

#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// When each request with the part reached a server.
    poisoned: Vec<Instant>,
}

/// Returns the parts of a prompt: those that all requests share, as instructions, documents and
/// the descriptions of tools are, and the request's own. The shared one at `position`, counted from
/// 1, is the one that crashes servers if the request is `poisoned`, and its sound sibling otherwise.
fn prompt(position: usize, is_poisoned: bool, own: &str) -> String {
    let shared = (1..=SHARED_PARTS).map(|at| match (at == position, is_poisoned) {
        (true, true) => format!("{POISON}:60"),
        (true, false) => "50d0900d:60".to_owned(),
        (false, _) => format!("5c1e07{at:02x}:30"),
    });
    let shared: Vec<String> = shared.collect();
    format!("{},{own}:100", shared.join(","))
}

/// Returns whether the rule held. `position` is that of the part that crashes servers.
pub fn run(case: &Case, position: usize) -> Result<bool, String> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let noted = seen.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, to| {
        let is_poisoned = request
            .header("x-prompt-prefix")
            .is_some_and(|p| p.contains(POISON));
        if is_poisoned {
            noted
                .lock()
                .expect("no panic")
                .poisoned
                .push(Instant::now());
        }
        let after = request.number("last-event-id").unwrap_or(0);
        // The prompt is read first.
        std::thread::sleep(Duration::from_millis(60));
        if is_poisoned {
            noted.lock().expect("no panic").crashes.push(Instant::now());
            server.crash(DOWN);
            return Err(io::ErrorKind::ConnectionAborted.into());
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
        to.write_all(b"0\r\n\r\n")
    });
    let deployment = Deployment::start(case, &config(), SERVERS, NODES, handler)?;
    let started = Instant::now();
    let (served, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let node = deployment.nodes[caller % NODES].caller;
            let (served, lost) = (&served, &lost);
            scope.spawn(move || {
                // The callers don't ask in step.
                std::thread::sleep(Duration::from_millis(29 * caller as u64));
                let mut number = 0;
                while started.elapsed() < LENGTH {
                    number += 1;
                    let id = format!("s{caller}-{number}");
                    let parts = prompt(position, false, &format!("b{caller:02x}{number:04x}"));
                    let answer = ask(node, &id, &parts);
                    match answer {
                        Ok(200) => served.fetch_add(1, Ordering::SeqCst),
                        answer => {
                            case.note(format!("sound request {id}: {answer:?}"));
                            lost.fetch_add(1, Ordering::SeqCst)
                        }
                    };
                }
            });
        }
        let mut number = 0;
        while case.trouble && started.elapsed() < LENGTH {
            std::thread::sleep(POISON_INTERVAL);
            number += 1;
            let node = deployment.nodes[number % NODES].caller;
            let id = format!("p-{number}");
            let parts = prompt(position, true, &format!("c{number:06x}"));
            scope.spawn(move || {
                let answer = ask(node, &id, &parts);
                case.note(format!("request {id} with the part: {answer:?}"));
            });
        }
    });
    let seen = seen.lock().expect("no panic");
    for at in &seen.crashes {
        case.note(format!(
            "a server crashed {:.3} s after the traffic began",
            (*at - started).as_secs_f64()
        ));
    }
    let late = match seen.crashes.get(4) {
        Some(&fifth) => seen
            .poisoned
            .iter()
            .filter(|&&at| at > fifth + CONTACT)
            .count(),
        None => 0,
    };
    case.result(format!(
        "crashes: {}; requests with the part that reached servers: {}, later than {} ms after the fifth crash: {late} ({ALLOWED_LATE} allowed); sound requests: {} served, {} lost",
        seen.crashes.len(),
        seen.poisoned.len(),
        CONTACT.as_millis(),
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst),
    ));
    match served.load(Ordering::SeqCst) {
        0 => Err("no request was served".to_owned()),
        _ => Ok(late <= ALLOWED_LATE),
    }
}

/// Sends a request on a connection of its own; returns the status of a complete answer.
fn ask(node: SocketAddr, id: &str, parts: &str) -> io::Result<u16> {
    let mut to = Caller::connect(node)?;
    to.send(id, parts, "", &format!("prompt {id}"))?;
    let head = to.read_head()?;
    to.read_body(&head, |_| Ok(()))?;
    Ok(head.status())
}
