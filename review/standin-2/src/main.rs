//! Plays one case of the second independent review: starts real nodes between stand-ins and
//! checks a rule. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod broken_off;
mod changes;
mod http;
mod no_content;
mod node;
mod order;
mod parts;
mod server;
mod setup;
mod stale;
mod store;

use std::{path::Path, process::ExitCode, time::Duration};

use order::Streams;
use setup::Case;

/// Events that are larger than the node buffers.
const LARGE_EVENTS: Streams = Streams {
    name: "events of 300 KB",
    line_end: "\n",
    event_bytes: 300_000,
    events: 10,
    pause: Duration::from_millis(200),
};
/// Small events whose lines end as the format allows, though rarely seen.
const CR_LINES: Streams = Streams {
    name: "lines that end with CR",
    line_end: "\r",
    event_bytes: 65,
    events: 10,
    pause: Duration::from_millis(200),
};

fn play(name: &str, case: &Case) -> Result<bool, String> {
    match name {
        // Two ways to lose the ids of events; each must hold.
        "lost-ids" => {
            let large = order::run(case, LARGE_EVENTS)?;
            Ok(order::run(case, CR_LINES)? && large)
        }
        // Of 42 parts the 41st, and for comparison the 5th.
        "late-part" => parts::run(case, 41),
        "early-part" => parts::run(case, 5),
        "no-content" => no_content::run(case),
        "broken-off" => broken_off::run(case, ""),
        // For comparison.
        "broken-off-typed" => broken_off::run(case, "Content-Type: text/event-stream\r\n"),
        "zone-without-store" => stale::run(case),
        "many-ranks" => changes::many_ranks(case),
        _ => Err(format!("no case {name:?}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let played = Case::new(Path::new(folder), Path::new(record))
        .map_err(|e| e.to_string())
        .and_then(|case| {
            let held = play(name, &case);
            match &held {
                Ok(true) => case.result("the rule held"),
                Ok(false) => case.result("the rule was broken"),
                Err(e) => case.result(format!("the case couldn't run: {e}")),
            }
            held
        });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
