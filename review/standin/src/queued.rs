//! Case 1: a rolling restart while long prompts wait for an engine.

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
    store::Store,
    world::{config, sleep_ms, ClientRequest, Ending, Server, World},
};

/// `graceS` and `lossSlackMs` of the settings.
const GRACE: Duration = Duration::from_secs(8);
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Returns whether the rule held.
pub fn run(world: &Arc<World>, trouble: bool) -> io::Result<bool> {
    let store = Store::start(world.listen(8223)?)?;
    store.put("op", "config", &config());
    // One engine, which serves short prompts all the time: 33 events in 1.7 s each. It would
    // serve a long one as well, but with the delay that its size means.
    Server::start(world, &store, "lampwise", 16, |server, request, stream| {
        let counts = request.header("x-token-counts").unwrap_or("");
        let prompt: f64 = counts
            .split(',')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0.0);
        let reading_ms = prompt / 177.0 + prompt * prompt / 2e6 * 0.184;
        sleep_ms(reading_ms as u64);
        server.stream_events(request, stream, 33, 50)
    })?;
    let restarted = world.start_entry("front-ruwi-1", "ruwi", &store)?;
    let other = world.start_entry("front-ghala-1", "ghala", &store)?;
    sleep_ms(2_000);
    let over = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..6)
        .map(|client| {
            let (other, over) = (other.clone(), over.clone());
            thread::spawn(move || {
                // Streams overlap, so that the engine is never without one.
                sleep_ms(280 * client);
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("short-{client}-{n}");
                    let path = "/kit-query/ask";
                    other.request(&ClientRequest::prompt(id, path, (4_960, 1_700), 10_000));
                    sleep_ms(20);
                }
            })
        })
        .collect();
    sleep_ms(3_000);
    if trouble {
        restarted.signal("TERM");
    }
    let stopped_at = Instant::now();
    // Clients keep the directory's answer for `ttlS`, some for three times as long.
    let mut waiting = Vec::new();
    for n in 0..4 {
        let restarted = restarted.clone();
        waiting.push(thread::spawn(move || {
            sleep_ms(500 + 600 * n);
            let id = format!("long-{n}");
            let path = "/season-review/tour";
            let request = ClientRequest::prompt(id.clone(), path, (154_000, 800), 15_000);
            (id, stopped_at.elapsed(), restarted.request(&request))
        }));
    }
    let mut endings: Vec<_> = waiting
        .into_iter()
        .flat_map(|client| client.join())
        .collect();
    over.store(true, Ordering::Relaxed);
    for client in load {
        let _ = client.join();
    }
    // One that reached a server is not counted here, whatever became of it.
    let arrivals = world.arrivals();
    let is_unsent = |id: &str| arrivals.iter().all(|arrival| arrival.request != id);
    endings.retain(|(id, ..)| is_unsent(id));
    // LOST: read (the connection is closed, not reset), not passed on, and cut later than `lossSlackMs` after it was sent; until 1 s
    // after `graceS`. No server was at work on it, and no time had run out: the client leaves
    // after 12 s, the route allows 15 s.
    let is_lost = |(_, sent, ending): &&(String, Duration, Ending)| {
        ending.closed
            && ending.held > LOSS_SLACK
            && ending.held < Duration::from_secs(12)
            && *sent + ending.held < GRACE + Duration::from_secs(1)
    };
    let lost = endings.iter().filter(is_lost).count();
    world.note(&format!("LOST: {lost} long prompts that reached no server"));
    Ok(lost == 0)
}
