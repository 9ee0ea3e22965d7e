//! Quarantines a request that repeatedly crashes its servers, but not a request that ran on
//! the same server once. `cargo run -p notchwalk_quarantine --example query_of_death`

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::prelude::*;

fn content(target: &str) -> Fingerprint {
    let head = RequestHead {
        workspace: Some("riggers"),
        method: "POST",
        host: "a.example",
        target,
    };
    FingerprintBuilder::new(&head).finish()
}

fn main() {
    let (crashing, concurrent) = (content("/review/7"), content("/question/1"));
    let mut quarantine = Quarantine::default();
    let mut now = Instant::from_millis(3_600_000);
    for server in 1..=3 {
        // The connections to the server break. A refused connection then confirms that it has
        // ended.
        quarantine.record_broken_connection(crashing, &[server], 1, false, now);
        if server == 1 {
            quarantine.record_broken_connection(concurrent, &[server], 1, false, now);
        }
        quarantine.record_server_ended(server, false, now);
        now = now.after(Duration::from_millis(400));
        quarantine.tick(now);
        println!(
            "verdict on the crashing request after the crash of server {server}: {:?}",
            quarantine.verdict(crashing, now)
        );
    }
    println!(
        "verdict on the concurrent request: {:?}",
        quarantine.verdict(concurrent, now)
    );
}
