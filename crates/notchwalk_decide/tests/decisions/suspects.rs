//! Requests under which backend servers end, over all their tries.

use notchwalk_core::ServerId;
use notchwalk_decide::{AttemptEnd, Event, FailureCode};
use notchwalk_quarantine::Fingerprint;

use crate::common::{dispatches, failures, Rig};

/// The same fault as on routed requests: eight attempts a try, and nothing was
/// remembered between tries. A completion that crashes its engine took eight of them
/// with each try.
#[test]
fn a_completion_that_crashes_its_engines_is_sent_to_three_at_most() {
    const ENGINES: u32 = 12;
    let mut rig = Rig::new(ENGINES);
    rig.content = Some(Fingerprint::from(7));
    let mut crashed = Vec::new();
    for _ in 0..4 {
        rig.generate(100, 10, 60_000);
        for _ in 0..200 {
            rig.pass(50, ENGINES);
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
    // Engines that failed get no work for a while.
    rig.pass(3_000, ENGINES);
    assert_eq!(dispatches(&rig.take()).len(), 1, "others are served");
}
