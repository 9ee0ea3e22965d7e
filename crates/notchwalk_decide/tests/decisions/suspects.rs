//! Quarantine of requests that crash backend servers.

use notchwalk_core::ServerId;
use notchwalk_decide::{AttemptEnd, Event, FailureCode};
use notchwalk_quarantine::Fingerprint;

use crate::common::{dispatches, failures, Rig};

/// Guards against retries that carry a crashing request to ever more engines:
/// each attempt of the caller allows eight dispatches.
#[test]
fn crashing_completion_reaches_at_most_three_engines() {
    const ENGINES: u32 = 12;
    let mut rig = Rig::new(ENGINES);
    rig.content = Some(Fingerprint::from(7));
    let mut crashed = Vec::new();
    for _ in 0..4 {
        rig.generate(100, 10, 60_000);
        for _ in 0..200 {
            rig.advance(50, ENGINES);
            for dispatch in dispatches(&rig.take()) {
                rig.now_ms += 100;
                rig.end(&dispatch, AttemptEnd::Broken);
                rig.feed(Event::LoadFailed(ServerId(dispatch.server.0)));
                crashed.push(dispatch.server);
            }
        }
    }
    assert_eq!(crashed.len(), 3, "{crashed:?}");
    rig.take();
    rig.generate(100, 10, 60_000);
    let refused = failures(&rig.take());
    assert_eq!(refused[0].code, FailureCode::Quarantined);
    rig.content = Some(Fingerprint::from(8));
    rig.generate(100, 10, 60_000);
    // The circuits of the failed engines are open at first.
    rig.advance(3_000, ENGINES);
    assert_eq!(
        dispatches(&rig.take()).len(),
        1,
        "requests with other content are served"
    );
}
