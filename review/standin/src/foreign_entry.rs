//! Case 1: another writer's entries in the table of servers.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
};

use crate::{
    http::respond,
    store::Store,
    world::{config, entry, sleep_ms, ClientRequest, Ending, Entry, Server, World},
};

/// Returns whether the rule held.
pub fn run(world: &Arc<World>, trouble: bool) -> io::Result<bool> {
    let store = Store::start(world.listen(8223)?)?;
    store.put("op", "config", &config());
    for _ in 0..3 {
        Server::start(world, &store, "lampwise", 16, |server, request, stream| {
            sleep_ms(30);
            server.stream_events(request, stream, 33, 50)
        })?;
        Server::start(world, &store, "bookdesk", 6, |server, request, stream| {
            sleep_ms(200);
            respond(
                stream,
                "200 OK",
                &server.answer_headers(request),
                &[b'b'; 800],
            )?;
            Ok(true)
        })?;
    }
    let nodes = [
        ("front-ruwi-1", "ruwi"),
        ("front-ghala-1", "ghala"),
        ("front-seeb-1", "seeb"),
    ];
    let entries: io::Result<Vec<Entry>> = nodes
        .into_iter()
        .map(|(node, zone)| world.start_entry(node, zone, &store))
        .collect();
    let entries = entries?;
    sleep_ms(2_000);
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..12 {
        let (entry, over) = (entries[client % 3].clone(), over.clone());
        clients.push(thread::spawn(move || ask(&entry, client, &over)));
    }
    sleep_ms(5_000);
    if trouble {
        // Another system shares the table: none of these entries names a service of the
        // configuration, and none is that of a server here.
        let ip = world.new_ip();
        let write = |key: &str, service: &str| {
            world.note(&format!("another writer: {key} of service {service}"));
            let entry = entry(service, &format!("{ip}:8080"), 16, 1_796_000_000_000);
            store.put("servers", key, &entry);
            sleep_ms(500);
        };
        write("other-1", "search");
        write("other-1", "search-v2");
        world.note("another writer: other-1 goes");
        store.remove("servers", "other-1");
        sleep_ms(500);
        write("other-2", "search");
    }
    sleep_ms(5_000);
    for entry in entries.iter().filter(|entry| entry.has_ended()) {
        world.note(&format!(
            "the process of {} has ended by itself",
            entry.node
        ));
    }
    over.store(true, Ordering::Relaxed);
    let endings: Vec<(String, Ending)> = clients
        .into_iter()
        .flat_map(|c| c.join())
        .flatten()
        .collect();
    // LOST: taken from a kept connection, passed on to a sound server, and the connection is
    // closed without an answer: more than three times.
    let arrivals = world.arrivals();
    let reached = |id: &str| arrivals.iter().any(|arrival| arrival.request == id);
    let lost = endings
        .iter()
        .filter(|(id, ending)| ending.cut && reached(id))
        .count();
    let read_only = endings.iter().filter(|(_, ending)| !ending.whole).count() - lost;
    world.note(&format!(
        "LOST: {lost} passed on and not answered; {read_only} others cut off"
    ));
    Ok(lost <= 3)
}

/// Sends requests one after the other on kept connections; the first on a connection is not
/// among those returned.
fn ask(entry: &Entry, client: usize, over: &AtomicBool) -> Vec<(String, Ending)> {
    let mut endings = Vec::new();
    let mut connection = entry.connect();
    let mut is_first = true;
    for n in 0.. {
        if over.load(Ordering::Relaxed) || entry.has_ended() {
            break;
        }
        let id = format!("c{client}-{n}");
        // One client in four asks the engines, the others the plain service.
        let request = match client / 3 {
            0 => ClientRequest::prompt(id.clone(), "/kit-query/ask", (4_960, 1_700), 10_000),
            _ => ClientRequest::call(id.clone(), "POST", "/hold-place/stage"),
        };
        let ending = connection.request(&request);
        if !is_first {
            endings.push((id, ending));
        }
        is_first = !ending.whole;
        if !ending.whole {
            connection = entry.connect();
        }
    }
    endings
}
