//! Case 3: the store comes back from a copy in which a server that left is still there.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::respond,
    store::Store,
    world::{config, sleep_ms, ClientRequest, Presence, Server, World},
};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// A client's request, and when it was sent and ended.
struct Sent {
    id: String,
    node: usize,
    at: Instant,
    ended_at: Instant,
    says_leaving: bool,
}

/// Returns whether the rule held.
pub fn run(world: &Arc<World>, trouble: bool) -> io::Result<bool> {
    let store = Store::start(world.listen(8223)?)?;
    store.put("op", "config", &config());
    let mut servers = Vec::new();
    for _ in 0..3 {
        servers.push(Server::start(
            world,
            &store,
            "bookdesk",
            6,
            |server, request, stream| {
                sleep_ms(250);
                respond(
                    stream,
                    "200 OK",
                    &server.answer_headers(request),
                    &[b'b'; 800],
                )?;
                Ok(true)
            },
        )?);
    }
    let entries = [
        world.start_entry("front-ruwi-1", "ruwi", &store)?,
        world.start_entry("front-ghala-1", "ghala", &store)?,
    ];
    sleep_ms(2_000);
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..10 {
        let (node, over) = (client % 2, over.clone());
        let entry = entries[node].clone();
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            for n in 0.. {
                if over.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{client}-{n}");
                let request = ClientRequest::call(id.clone(), "POST", "/hold-place/stage");
                let at = Instant::now();
                let ending = entry.request(&request);
                sent.push(Sent {
                    id,
                    node,
                    at,
                    ended_at: Instant::now(),
                    says_leaving: ending.says_leaving,
                });
                sleep_ms(30);
            }
            sent
        }));
    }
    sleep_ms(2_000);
    store.copy();
    sleep_ms(1_000);
    let leaving = &servers[0];
    leaving.set_presence(Presence::Left);
    sleep_ms(2_500);
    if trouble {
        world.note("the store is away");
        store.restore(Duration::from_millis(300));
        world.note("the store is back from a copy that is 3.8 s old");
    }
    // The server keeps serving for `drainMs` and "at times many seconds".
    sleep_ms(3_500);
    over.store(true, Ordering::Relaxed);
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|c| c.join())
        .flatten()
        .collect();
    // DRAIN: sent by a client later than `drainMs` after this machine had passed on an answer
    // with `Server-Leaving`, and passed on to that server.
    let arrivals = world.arrivals();
    let mut late = 0;
    for (node, entry) in entries.iter().enumerate() {
        let of_node = sent.iter().filter(|sent| sent.node == node);
        let first = of_node.clone().filter(|sent| sent.says_leaving);
        let Some(passed_on_at) = first.map(|sent| sent.ended_at).min() else {
            continue;
        };
        for request in of_node.filter(|sent| sent.at > passed_on_at + DRAIN) {
            let mut arrivals = arrivals.iter().filter(|a| a.request == request.id);
            if arrivals.any(|arrival| arrival.server == leaving.id) {
                late += 1;
                let after = request.at - passed_on_at;
                world.note(&format!(
                    "DRAIN: {} was sent {:.3} s after {} had passed on that {} leaves",
                    request.id,
                    after.as_secs_f64(),
                    entry.node,
                    leaving.id
                ));
            }
        }
    }
    world.note(&format!("DRAIN: {late} requests"));
    Ok(late == 0)
}
