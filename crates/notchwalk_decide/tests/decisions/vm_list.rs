//! VM lists in which servers change, disappear or are repeated.

use notchwalk_core::ServerId;
use notchwalk_decide::{AttemptEnd, Effect, Event, ServerKind, ServerRecord};

use crate::common::{dispatches, idle_report, TestNode};

fn record(id: u32, kind: ServerKind) -> ServerRecord {
    ServerRecord {
        id: ServerId(id),
        kind,
        failure_domain: "d".to_owned(),
        draining: false,
    }
}

fn engine(id: u32) -> ServerRecord {
    record(id, ServerKind::Engine)
}

fn service(id: u32) -> ServerRecord {
    record(id, ServerKind::Service("s".to_owned()))
}

fn apply(node: &mut TestNode, servers: Vec<ServerRecord>) {
    let nodes = Vec::new();
    node.feed(Event::VmList { servers, nodes });
}

/// Starts a prompt that is spread over both engines of a node; its first segment runs.
fn start_spread_prompt() -> TestNode {
    let mut node = TestNode::new(2);
    node.generate(150_000, 100, 60_000);
    node.advance(200, 2);
    let is_segment = |effect: &Effect| matches!(effect, Effect::Segment(_));
    assert!(node.out.iter().any(is_segment), "{:?}", node.out);
    node
}

/// Guards against a plan of a long prompt that names a server without a record.
#[test]
fn engine_that_leaves_the_list_during_a_long_prompt_crashes_no_node() {
    let mut node = start_spread_prompt();
    apply(&mut node, vec![engine(1), service(900)]);
    node.advance(2_000, 2);
    let segment = node
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Segment(segment) => Some(segment),
            _ => None,
        });
    let segment = segment.expect("a segment");
    node.feed(Event::AttemptEnded {
        request: segment.request,
        attempt: segment.attempt,
        end: AttemptEnd::Broken,
    });
    node.advance(2_000, 2);
    // Once the prompt has given it up, the server is forgotten.
    apply(&mut node, vec![engine(1), service(900)]);
    let servers = node.servers();
    assert_eq!(
        servers.iter().map(|server| server.id).collect::<Vec<_>>(),
        [1, 900]
    );
}
