//! Quarantine of requests that crash backend servers.

use notchwalk_core::ServerId;
use notchwalk_decide::{AttemptEnd, Event, FailureCode};
use notchwalk_quarantine::Fingerprint;

use crate::common::{dispatches, failures, TestNode};

/// Guards against retries that carry a crashing request to ever more engines:
/// each attempt of the caller allows eight dispatches.
#[test]
fn crashing_completion_reaches_at_most_three_engines() {
    const ENGINES: u32 = 12;
    let mut node = TestNode::new(ENGINES);
    node.content = Some(Fingerprint::from(7));
    let mut crashed = Vec::new();
    for _ in 0..4 {
        node.generate(100, 10, 60_000);
        for _ in 0..200 {
            node.advance(50, ENGINES);
            for dispatch in dispatches(&node.take_effects()) {
                node.now_ms += 100;
                node.end(&dispatch, AttemptEnd::Broken);
                node.feed(Event::LoadPollFailed(ServerId(dispatch.server.0)));
                crashed.push(dispatch.server);
            }
        }
    }
    assert_eq!(crashed.len(), 3, "{crashed:?}");
    node.take_effects();
    node.generate(100, 10, 60_000);
    let refused = failures(&node.take_effects());
    assert_eq!(refused[0].code, FailureCode::Quarantined);
    node.content = Some(Fingerprint::from(8));
    node.generate(100, 10, 60_000);
    // The circuits of the failed engines are open at first.
    node.advance(3_000, ENGINES);
    assert_eq!(
        dispatches(&node.take_effects()).len(),
        1,
        "requests with other content must be served"
    );
}
