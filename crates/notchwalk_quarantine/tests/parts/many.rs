//! Prompts with as many parts as the head of a request holds.

use notchwalk_quarantine::{QuarantineUpdate, RequestSubjects};

use crate::node::Node;

/// The most parts that a head of 16 KiB holds, with the shortest ids.
const PARTS: usize = 1_300;
const SERVERS: u32 = 40;

fn ids() -> Vec<String> {
    (0..PARTS).map(|id| format!("{id:x}")).collect()
}

/// Returns a request with all parts, and this one in place of that at `place`.
fn request_with(node: &mut Node, place: usize, id: &str) -> RequestSubjects {
    let mut ids = ids();
    ids[place] = id.to_owned();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    node.request(&ids)
}

fn verdict_is_quarantined(node: &mut Node, place: usize, id: &str) -> bool {
    let request = request_with(node, place, id);
    let verdict = node.quarantine.request_verdict(&request, node.now).verdict;
    matches!(verdict, notchwalk_quarantine::Verdict::Quarantined { .. })
}

fn survive(node: &mut Node, place: usize) {
    let sound = request_with(node, place, "sound");
    node.quarantine.record_survival(&sound, node.now);
    node.advance(100);
}

/// Guards against parts without evidence because of their place in the prompt.
#[test]
fn fatal_part_at_any_place_is_quarantined_after_three_crashes() {
    for place in [0, 31, 32, 700, PARTS - 1] {
        let mut node = Node::new();
        survive(&mut node, place);
        for server in 1..=3 {
            assert!(!verdict_is_quarantined(&mut node, place, "fatal"));
            let fatal = request_with(&mut node, place, "fatal");
            node.crash_request(&fatal, server);
            node.advance(300);
            survive(&mut node, place);
        }
        assert!(verdict_is_quarantined(&mut node, place, "fatal"), "{place}");
        assert!(
            !verdict_is_quarantined(&mut node, place, "sound"),
            "{place}"
        );
    }
}

/// The same at a peer that only gets the updates.
#[test]
fn fatal_part_is_quarantined_at_a_peer() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    for server in 1..=3 {
        let fatal = request_with(&mut node, 700, "fatal");
        node.crash_request(&fatal, server);
        peer.quarantine.record_server_ended(server, false, peer.now);
        node.advance(300);
        peer.advance(300);
        survive(&mut node, 700);
        peer.advance(100);
        node.send_updates(&mut peer);
    }
    node.advance(3_000);
    peer.advance(3_000);
    node.send_updates(&mut peer);
    for node in [&mut node, &mut peer] {
        assert!(verdict_is_quarantined(node, 700, "fatal"));
        assert!(!verdict_is_quarantined(node, 700, "sound"));
    }
}

/// Sound requests that share all other parts tell the fatal one apart even if none survived before
/// it was quarantined together with them.
#[test]
fn sound_parts_are_cleared_after_all_parts_were_quarantined_together() {
    let mut node = Node::new();
    for server in 1..=3 {
        let fatal = request_with(&mut node, 700, "fatal");
        node.crash_request(&fatal, server);
        node.advance(300);
    }
    node.advance(4_000);
    assert!(verdict_is_quarantined(&mut node, 700, "fatal"));
    assert!(!verdict_is_quarantined(&mut node, 700, "sound"));
    survive(&mut node, 700);
    assert!(verdict_is_quarantined(&mut node, 700, "fatal"));
    assert!(!verdict_is_quarantined(&mut node, 700, "sound"));
}

/// Guards against state and updates that grow with the parts of a prompt times its crashes.
#[test]
fn many_crashes_of_many_parts_stay_a_few_classes() {
    let mut node = Node::new();
    for server in 1..=SERVERS {
        let place = server as usize % PARTS;
        let request = request_with(&mut node, place, &format!("own-{server}"));
        node.crash_request(&request, server);
        let updates = node.quarantine.take_updates();
        let crashed =
            |update: &&QuarantineUpdate| matches!(update, QuarantineUpdate::Crashed { .. });
        // Once for the crash, and once for the oldest one.
        assert!(updates.iter().filter(crashed).count() <= 2 * PARTS);
        assert!(node.quarantine.take_findings().len() <= 4 * SERVERS as usize);
        for full in [false, true] {
            assert!(node.quarantine.updates_to_rebroadcast(full, node.now).len() <= 240);
        }
        node.advance(100);
    }
    let views = node.quarantine.suspect_views(node.now).len();
    assert!(views <= 8 * SERVERS as usize, "{views}");
}
