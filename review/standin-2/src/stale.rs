//! The machines of one zone lose the store, which serves all others. A new configuration is
//! acknowledged: from when on do the other machines apply it?

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::{
    http::respond,
    node::Node,
    server::{Handler, Server},
    setup::{Caller, Case, KEY},
    store::Store,
};

/// The zones in the order of their names; the first loses the store: a third of the machines,
/// where the site has shares of 0.33 to 0.35.
const ZONES: [&str; 3] = ["ghala", "ruwi", "seeb"];
const MACHINES_PER_ZONE: usize = 12;
/// `configApplyMs` of the site.
const BOUND: Duration = Duration::from_millis(3_000);
/// `for_s` of the site.
const CUT: Duration = Duration::from_secs(9);
/// The configuration changes this long after the cut began.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
/// Time between two calls to a machine.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a configuration with one route, `more_routes` whose ranks go on from its own.
pub fn config(version: u32, service: &str, more_routes: u32) -> String {
    let more = (1..=more_routes).map(|n| {
        let rank = n + 2;
        format!(r#",{{"name":"r{n}","host":"a.example","pathPrefix":"/r{n}/","kind":"idempotent","timeoutMs":1500,"goalMs":300,"priority":{rank},"service":"bookdesk","maxAttempts":1}}"#)
    });
    let more: String = more.collect();
    let services = ["bookdesk", "bookdesk-2"]
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":410}}"#));
    format!(
        r#"{{"version":{version},"routes":[{{"name":"hold","host":"a.example","pathPrefix":"/hold/","kind":"non_idempotent","timeoutMs":1500,"goalMs":300,"priority":2,"service":"{service}","maxAttempts":1,"public":false}}{more}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        services.join(",")
    )
}

/// A call that ran.
struct Run {
    node: usize,
    sent: Instant,
    service: String,
}

/// Returns whether the rule held.
pub fn run(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    let of_first_zone = store.other_address();
    store.put("op", "config", &config(1, "bookdesk", 0));
    let handler: Arc<Handler> = Arc::new(|server, request, to| {
        let id = request.header("x-attempt-id").unwrap_or("");
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Response-Stamp: {}.1\r\n",
            server.id
        );
        respond(to, "200 OK", &headers, &server.service)
    });
    let mut servers = Vec::new();
    for service in ["bookdesk", "bookdesk-2"] {
        for n in 1..=3 {
            let id = format!("i-{service}-{n}");
            servers.push(Server::start(&store, service, &id, handler.clone()));
        }
    }
    let mut nodes = Vec::new();
    for zone in ZONES {
        for n in 1..=MACHINES_PER_ZONE {
            let store = if zone == ZONES[0] {
                &of_first_zone
            } else {
                &store
            };
            let name = format!("front-{zone}-{n}");
            nodes.push(Node::start(&case.folder, &name, zone, store.addr)?);
        }
    }
    // Longer than `contactMs`, and than the nodes take to meet.
    std::thread::sleep(Duration::from_secs(8));
    let (runs, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let acked = std::thread::scope(|scope| {
        for (number, node) in nodes.iter().enumerate().skip(MACHINES_PER_ZONE) {
            let (runs, is_over, addr) = (&runs, &is_over, node.caller);
            scope.spawn(move || call(case, number, addr, runs, is_over));
        }
        std::thread::sleep(Duration::from_secs(1));
        if case.trouble {
            of_first_zone.set_silent(true);
            case.note(format!(
                "{MACHINES_PER_ZONE} machines of {} lose the store",
                ZONES[0]
            ));
        }
        let cut = Instant::now();
        std::thread::sleep(CHANGE_AFTER);
        store.put("op", "config", &config(2, "bookdesk-2", 0));
        let acked = Instant::now();
        case.note("version 2 is acknowledged: the route goes to bookdesk-2");
        std::thread::sleep(CUT.saturating_sub(cut.elapsed()));
        is_over.store(true, Ordering::SeqCst);
        of_first_zone.set_silent(false);
        acked
    });
    let runs = runs.into_inner().expect("no panic");
    let stale: Vec<&Run> = runs
        .iter()
        .filter(|run| run.service == "bookdesk" && run.sent > acked + BOUND)
        .collect();
    for run in &stale {
        case.note(format!(
            "BROKEN: a call sent to machine {} {} ms after the acknowledgement ran at {}",
            run.node,
            (run.sent - acked).as_millis(),
            run.service
        ));
    }
    let last = runs.iter().filter(|run| run.service == "bookdesk");
    let last = last
        .map(|run| run.sent.saturating_duration_since(acked))
        .max();
    case.result(format!(
        "calls at {} machines that reach the store: {} ran, {} of them at the old service later than {} ms after the acknowledgement; the last call there was sent {} ms after it",
        nodes.len() - MACHINES_PER_ZONE,
        runs.len(),
        stale.len(),
        BOUND.as_millis(),
        last.unwrap_or_default().as_millis()
    ));
    match runs.iter().any(|run| run.service == "bookdesk-2") {
        true => Ok(stale.is_empty()),
        false => Err("no machine applied the change".to_owned()),
    }
}

fn call(case: &Case, node: usize, addr: SocketAddr, runs: &Mutex<Vec<Run>>, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let sent = Instant::now();
        match ask(addr, &format!("c{node}-{number}")) {
            Ok(service) => {
                let run = Run {
                    node,
                    sent,
                    service,
                };
                runs.lock().expect("no panic").push(run);
            }
            Err(e) => case.note(format!("a call to machine {node} failed: {e}")),
        }
        std::thread::sleep(CALL_INTERVAL.saturating_sub(sent.elapsed()));
    }
}

/// Returns the service that ran a call.
pub fn ask(addr: SocketAddr, id: &str) -> io::Result<String> {
    let mut to = Caller::connect(addr)?;
    to.send_call(id)?;
    let head = to.read_head()?;
    let mut body = Vec::new();
    to.read_body(&head, |piece| {
        body.extend_from_slice(piece);
        Ok(())
    })?;
    match head.status() {
        200 => Ok(String::from_utf8_lossy(&body).into_owned()),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}
