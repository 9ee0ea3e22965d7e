//! The operator changes the configuration: do machines in touch act by the newest one?

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::respond,
    node::Node,
    server::{Handler, Server},
    setup::Case,
    stale::{ask, config},
    store::Store,
};

const NODES: usize = 3;
/// `configApplyMs` of the site.
const BOUND: Duration = Duration::from_millis(2_000);
const LENGTH: Duration = Duration::from_secs(10);
const CHANGE_AT: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A request that a server ran.
struct Run {
    id: String,
    service: String,
}

/// What the case saw: the calls in the order of their sends, and what ran.
struct Seen {
    calls: Vec<(String, Instant)>,
    runs: Vec<Run>,
    acked: Instant,
}

/// Sends calls to all nodes in turn, and writes a configuration after a while.
fn play(case: &Case, changed: &str) -> Result<Seen, String> {
    let store = Store::start();
    store.put("op", "config", &config(1, "bookdesk", 0));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let noted = runs.clone();
    let handler: Arc<Handler> = Arc::new(move |server, request, to| {
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Response-Stamp: {}.1\r\n",
            server.id
        );
        noted.lock().expect("no panic").push(Run {
            id,
            service: server.service.clone(),
        });
        respond(to, "200 OK", &headers, &server.service)
    });
    let servers: Vec<Arc<Server>> = ["bookdesk", "bookdesk-2"]
        .map(|service| Server::start(&store, service, &format!("i-{service}"), handler.clone()))
        .into();
    let nodes: Result<Vec<Node>, String> = (1..=NODES)
        .map(|n| Node::start(&case.folder, &format!("front-ruwi-{n}"), "ruwi", store.addr))
        .collect();
    let nodes = nodes?;
    std::thread::sleep(Duration::from_secs(4));
    let (started, mut acked, mut calls) = (Instant::now(), None, Vec::new());
    while started.elapsed() < LENGTH {
        if acked.is_none() && started.elapsed() >= CHANGE_AT {
            store.put("op", "config", changed);
            acked = Some(Instant::now());
            case.note("version 2 is acknowledged");
        }
        let number = calls.len();
        let (id, sent) = (format!("c-{number}"), Instant::now());
        let answer = ask(nodes[number % NODES].caller, &id);
        case.note(format!("call {id}: {answer:?}"));
        calls.push((id, sent));
        std::thread::sleep(CALL_INTERVAL.saturating_sub(sent.elapsed()));
    }
    drop((nodes, servers));
    let runs = std::mem::take(&mut *runs.lock().expect("no panic"));
    match runs.is_empty() {
        true => Err("no call ran".to_owned()),
        false => Ok(Seen {
            calls,
            runs,
            acked: acked.ok_or("no change")?,
        }),
    }
}

impl Seen {
    /// Returns the runs of calls that were sent later than [`BOUND`] after the acknowledgement.
    fn late_runs(&self) -> impl Iterator<Item = &Run> {
        let late = self
            .calls
            .iter()
            .filter(|(_, sent)| *sent > self.acked + BOUND);
        late.flat_map(|(id, _)| self.runs.iter().filter(move |run| run.id == *id))
    }
}

/// A route goes to another service as the configuration grows by many routes, each with a rank of
/// its own. Returns whether the rule held.
pub fn many_ranks(case: &Case) -> Result<bool, String> {
    /// The site's `big_config` has 350.
    const MORE_ROUTES: u32 = 300;
    let more = if case.trouble { MORE_ROUTES } else { 0 };
    let seen = play(case, &config(2, "bookdesk-2", more))?;
    let late = seen.late_runs().count();
    let stale = seen
        .late_runs()
        .filter(|run| run.service == "bookdesk")
        .count();
    case.result(format!(
        "calls that were sent later than {} ms after the acknowledgement of a version with {more} more routes: {late} ran, {stale} of them at the old service",
        BOUND.as_millis()
    ));
    Ok(stale == 0)
}
