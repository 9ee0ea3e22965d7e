//! Stand-ins for the clients, the servers and the platform of the review's cases. Usage:
//! `review_standin CASE WORK_DIR RECORD`, from the root of the repository. Exit codes: 0 if
//! the rule held, 1 if it was broken, 2 if the case could not run.

mod foreign_entry;
mod http;
mod left;
mod queued;
mod store;
mod world;

use std::{path::Path, process::exit, sync::Arc, thread, time::Duration};

use world::World;

/// A case ends within 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, work_dir, record] = arguments.as_slice() else {
        eprintln!("usage: review_standin CASE WORK_DIR RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = match World::new(Path::new(work_dir), Path::new(record)) {
        Ok(world) => Arc::new(world),
        Err(e) => {
            eprintln!("{e}");
            exit(2);
        }
    };
    world.note(&format!("case {case}, trouble {trouble}"));
    let watched = world.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.note("out of time");
        watched.end();
        exit(2);
    });
    let held = match case.as_str() {
        "1" => foreign_entry::run(&world, trouble),
        "2" => queued::run(&world, trouble),
        "3" => left::run(&world, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    world.end();
    let (code, text) = match held {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(e) => (2, format!("could not run: {e}")),
    };
    world.note(&text);
    println!("case {case}: {text}");
    exit(code);
}
