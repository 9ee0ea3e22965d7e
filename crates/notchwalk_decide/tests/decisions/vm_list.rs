//! VM lists in which servers change, disappear or are repeated.

use notchwalk_core::ServerId;
use notchwalk_decide::{AttemptEnd, Effect, Event, ServerKind, ServerRecord};

use crate::common::{dispatches, idle_report, TestNode};
use rand::{Rng, SeedableRng};

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

/// Guards against calls to a server that has become an engine.
#[test]
fn server_that_becomes_an_engine_gets_no_more_calls() {
    let mut node = TestNode::new(2);
    apply(&mut node, vec![engine(0), engine(1), engine(900)]);
    node.call(None);
    assert!(dispatches(&node.take_effects()).is_empty());
    apply(&mut node, vec![engine(0), engine(1), service(900)]);
    node.advance(1_000, 2);
    let calls = dispatches(&node.take_effects());
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].server, ServerId(900));
}

/// Guards against prompts to a former engine, and against its load reports that arrive late.
#[test]
fn engine_that_becomes_a_plain_server_gets_no_more_prompts() {
    let mut node = TestNode::new(1);
    apply(&mut node, vec![service(0), service(900)]);
    let report = Box::new(idle_report());
    let server = ServerId(0);
    node.feed(Event::Load { server, report });
    node.generate(1_000, 10, 10_000);
    assert!(dispatches(&node.take_effects()).is_empty());
}

/// Guards against failed load polls of a former engine that stop calls to the plain server.
#[test]
fn failed_load_polls_of_a_plain_server_do_not_stop_its_calls() {
    let mut node = TestNode::new(1);
    for _ in 0..10 {
        node.feed(Event::LoadPollFailed(ServerId(900)));
    }
    node.call(None);
    assert_eq!(dispatches(&node.take_effects()).len(), 1);
}

/// Guards against state that changed, removed and repeated records leave behind.
#[test]
fn any_sequence_of_lists_leaves_the_servers_of_the_last_one() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(53);
    for _ in 0..50 {
        let mut node = TestNode::new(3);
        let mut list = Vec::new();
        for _ in 0..40 {
            list = (0..rng.random_range(0..6))
                .map(|_| ServerRecord {
                    failure_domain: ["d", "e"][rng.random_range(0..2)].to_owned(),
                    ..match rng.random_range(0..3) {
                        0 => engine(rng.random_range(0..4)),
                        1 => service(rng.random_range(0..4)),
                        _ => record(rng.random_range(0..4), ServerKind::Service("t".to_owned())),
                    }
                })
                .collect();
            apply(&mut node, list.clone());
            node.report_idle(4);
            node.generate(rng.random_range(1..250_000), 10, 2_000);
            node.call(None);
            node.advance(rng.random_range(0..300), 4);
            for dispatch in dispatches(&node.take_effects()) {
                node.end(&dispatch, AttemptEnd::Broken);
            }
        }
        // All requests have timed out.
        node.advance(15_000, 4);
        apply(&mut node, list.clone());
        let mut rebuilt = TestNode::new(0);
        apply(&mut rebuilt, list);
        rebuilt.report_idle(4);
        let kinds = |node: &mut TestNode| -> Vec<_> {
            let servers = node.servers().into_iter();
            servers
                .map(|server| (server.id, server.kind, server.failure_domain))
                .collect()
        };
        assert_eq!(kinds(&mut node), kinds(&mut rebuilt));
    }
}
