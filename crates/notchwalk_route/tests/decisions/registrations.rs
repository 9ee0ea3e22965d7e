//! Registrations as any writer may leave them: changed, removed, repeated and restored.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use notchwalk_route::{
    AttemptEnd, Effect, Event, Fleet, RequestKey, ServerChange, ServerRecord, ServerStage,
    WorkspaceShortId,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::common::{record, register, server_key, TestRouter, ENGINES, PLAIN_SERVICE};

/// A service that the configuration does not have.
const UNKNOWN_SERVICE: &str = "search";
const OTHER_UNKNOWN_SERVICE: &str = "search-v2";

const SERVICES: [&str; 4] = [
    ENGINES,
    PLAIN_SERVICE,
    UNKNOWN_SERVICE,
    OTHER_UNKNOWN_SERVICE,
];

fn of_service(service: &str, instance: &str) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        ..record(service, 200)
    }
}

fn remove(node: &mut TestRouter, instance: &str) {
    let change = ServerChange::Removed(instance.to_owned());
    node.step(Event::Servers(change));
}

/// Guards against an index by service that still lists a server under its former service.
#[test]
fn removed_server_with_a_changed_service_leaves_no_key_behind() {
    let mut node = TestRouter::new();
    register(&mut node, of_service(UNKNOWN_SERVICE, "other-1"));
    register(&mut node, of_service(OTHER_UNKNOWN_SERVICE, "other-1"));
    remove(&mut node, "other-1");
    register(&mut node, of_service(UNKNOWN_SERVICE, "other-2"));
    assert_eq!(node.router.fleet().of_service(UNKNOWN_SERVICE).len(), 1);
    let unused = node.router.fleet().of_service(OTHER_UNKNOWN_SERVICE);
    assert!(unused.is_empty());
}

/// Guards against requests to a server that no longer serves their service.
#[test]
fn server_with_a_changed_service_gets_only_requests_for_the_new_one() {
    let mut node = TestRouter::new();
    for number in 0..3 {
        let instance = record(PLAIN_SERVICE, number).instance;
        register(&mut node, of_service(UNKNOWN_SERVICE, &instance));
    }
    node.arrive("/again/", 0);
    assert!(node.take_sends().is_empty());
    register(&mut node, record(PLAIN_SERVICE, 1));
    node.arrive("/again/", 0);
    assert_eq!(node.take_only_send().instance, "desk-1");
}

/// Guards against limits and failures that are lost while another writer overwrites a record.
#[test]
fn server_keeps_its_state_while_its_registration_names_another_service() {
    let mut node = TestRouter::new();
    let before = server_key(&node, PLAIN_SERVICE, 1);
    register(&mut node, of_service(UNKNOWN_SERVICE, "desk-1"));
    register(&mut node, record(PLAIN_SERVICE, 1));
    assert_eq!(server_key(&node, PLAIN_SERVICE, 1), before);
    assert_eq!(node.router.fleet().of_service(PLAIN_SERVICE).len(), 3);
}

/// Guards against link checks that open connections to servers of an unknown service.
#[test]
fn failed_attempt_checks_the_links_of_the_service_of_its_request() {
    let mut node = TestRouter::new();
    node.passes_link_checks = false;
    let request = node.arrive("/again/", 0);
    let instance = node.take_only_send().instance;
    register(&mut node, of_service(UNKNOWN_SERVICE, &instance));
    node.effects.clear();
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    let checked = node.effects.iter().filter_map(|effect| match effect {
        Effect::CheckLinks { service, .. } => Some(service.as_str()),
        _ => None,
    });
    assert_eq!(checked.collect::<Vec<_>>(), [PLAIN_SERVICE]);
}

/// Guards against groups of nodes that depend on registrations of unknown services.
#[test]
fn unknown_services_do_not_count_as_the_largest_one() {
    let mut node = TestRouter::new();
    for number in 0..100 {
        let instance = format!("other-{number}");
        register(&mut node, of_service(UNKNOWN_SERVICE, &instance));
    }
    assert_eq!(node.router.largest_service_size(), 18);
}

/// Guards against an overflow of the sum of the slots that the servers of a service claim.
#[test]
fn servers_that_claim_the_maximum_of_slots_leave_room_in_the_queue() {
    let mut node = TestRouter::with_engines("entry-1", 2);
    for number in 0..2 {
        let record = ServerRecord {
            slots: u32::MAX,
            ..record(ENGINES, number)
        };
        register(&mut node, record);
    }
    for workspace in ["a", "b", "c", "d", "e", "f", "g"] {
        node.workspace = WorkspaceShortId::of(workspace);
        node.arrive("/short/", 5_000);
    }
    node.workspace = WorkspaceShortId::of("flood");
    for _ in 0..80 {
        node.arrive("/short/", 5_000);
        node.advance(Duration::from_millis(15));
    }
    assert!(node.refusals().is_empty(), "{:?}", node.refusals());
    assert!(node.router.queued_work().0 > 0, "no request was queued");
}

/// Guards against failures that are attributed to another service's server at the address.
#[test]
fn repeated_address_of_another_service_is_not_mistaken_for_an_engine() {
    let mut node = TestRouter::with_engines("entry-1", 3);
    // Registered in both orders, since the result must not depend on it.
    for number in 0..3 {
        let addr = record(ENGINES, number).addr;
        let other = ServerRecord {
            addr,
            ..of_service(UNKNOWN_SERVICE, &format!("other-{number}"))
        };
        remove(&mut node, &record(ENGINES, number).instance);
        register(&mut node, other);
        register(&mut node, record(ENGINES, number));
    }
    let request = node.arrive("/short/", 3_000);
    let first = node.take_only_send();
    node.end_attempt(
        request,
        AttemptEnd::NotRun {
            faulty_server: Some(first.addr),
            address_reused: false,
        },
    );
    let server = node.router.fleet().by_instance(&first.instance);
    let server = server.expect("the engine is registered");
    let server = node.router.fleet().get(server);
    let rate = server.map(|server| server.failure_rate(node.now));
    assert!(rate > Some(0.0), "the engine did not reject its request");
}

#[derive(Clone, Debug)]
enum Step {
    Write {
        entry: u8,
        service: usize,
        addr: u8,
        started_ms: Option<u64>,
        leaves: bool,
        slots: u32,
    },
    Remove(u8),
    ReadAll,
    Restore,
    Arrive(bool),
    End(u8),
    Advance(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let write = (
        0..8u8,
        0..SERVICES.len(),
        0..6u8,
        prop::option::of(0..3u64),
        prop::bool::weighted(0.2),
        prop::sample::select(vec![0, 1, 16, u32::MAX]),
    );
    prop_oneof![
        8 => write.prop_map(|(entry, service, addr, started_ms, leaves, slots)| Step::Write {
            entry, service, addr, started_ms, leaves, slots,
        }),
        4 => (0..8u8).prop_map(Step::Remove),
        1 => Just(Step::ReadAll),
        1 => Just(Step::Restore),
        5 => any::<bool>().prop_map(Step::Arrive),
        4 => (0..4u8).prop_map(Step::End),
        2 => (1..1_500u16).prop_map(Step::Advance),
    ]
}

/// A node, and the last registration of each server.
struct Table {
    node: TestRouter,
    last: BTreeMap<String, ServerRecord>,
    /// The services of the requests that arrived.
    services: HashMap<RequestKey, &'static str>,
    sent: Vec<RequestKey>,
}

impl Table {
    fn new() -> Self {
        let mut node = TestRouter::new();
        node.step(Event::Servers(ServerChange::All(Vec::new())));
        Self {
            node,
            last: BTreeMap::new(),
            services: HashMap::new(),
            sent: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write {
                entry,
                service,
                addr,
                started_ms,
                leaves,
                slots,
            } => {
                let record = ServerRecord {
                    instance: format!("i-{entry}"),
                    started_ms,
                    addr: record(ENGINES, addr).addr,
                    slots,
                    stage: match leaves {
                        true => ServerStage::Leaving,
                        false => ServerStage::Ready,
                    },
                    ..record(SERVICES[service], 0)
                };
                self.last.insert(record.instance.clone(), record.clone());
                register(&mut self.node, record);
            }
            Step::Remove(entry) => {
                let instance = format!("i-{entry}");
                self.last.remove(&instance);
                remove(&mut self.node, &instance);
            }
            Step::ReadAll => {
                let records = self.last.values().cloned().collect();
                self.node.step(Event::Servers(ServerChange::All(records)));
            }
            Step::Restore => {
                for record in self.last.values().cloned().collect::<Vec<_>>() {
                    self.node
                        .step(Event::Servers(ServerChange::Restored(record)));
                }
            }
            Step::Arrive(is_stream) => {
                let (request, service) = match is_stream {
                    true => (self.node.arrive("/short/", 3_000), ENGINES),
                    false => (self.node.arrive("/again/", 0), PLAIN_SERVICE),
                };
                self.services.insert(request, service);
            }
            Step::End(end) => {
                let Some(request) = self.sent.pop() else {
                    return;
                };
                let end = match end {
                    0 => AttemptEnd::ConnectionLost,
                    1 => AttemptEnd::NotConnected,
                    2 => AttemptEnd::NotRun {
                        faulty_server: Some(record(ENGINES, 1).addr),
                        address_reused: false,
                    },
                    _ => AttemptEnd::Delivered { is_success: true },
                };
                self.node.end_attempt(request, end);
            }
            Step::Advance(ms) => self.node.advance(Duration::from_millis(ms.into())),
        }
        self.check_sends();
    }

    /// Checks that requests are sent only as the last registrations say.
    fn check_sends(&mut self) {
        for (request, to) in self.node.take_sends() {
            let last = &self.last[&to.instance];
            assert_eq!(to.addr, last.addr);
            assert_eq!(last.stage, ServerStage::Ready);
            assert_eq!(last.service, self.services[&request]);
            self.sent.push(request);
        }
    }

    /// Compares the indexes with those of a table that is built from the last registrations.
    fn compare_with_rebuilt(&self) {
        let mut rebuilt = TestRouter::new();
        let records = self.last.values().cloned().collect();
        rebuilt.step(Event::Servers(ServerChange::All(records)));
        let (fleet, rebuilt_fleet) = (self.node.router.fleet(), rebuilt.router.fleet());
        for service in SERVICES {
            assert_eq!(
                instances(fleet, service),
                instances(rebuilt_fleet, service),
                "servers of {service}"
            );
        }
        for addr in (0..6).map(|addr| record(ENGINES, addr).addr) {
            let instance = |fleet: &Fleet| {
                let server = fleet.get(fleet.by_addr(addr)?)?;
                Some(server.record().instance.clone())
            };
            assert_eq!(instance(fleet), instance(rebuilt_fleet), "server at {addr}");
        }
        for (key, server) in fleet.iter() {
            assert_eq!(fleet.by_instance(&server.record().instance), Some(key));
            assert_eq!(fleet.by_short_id(server.short_id), Some(key));
            assert_eq!(server.record(), &self.last[&server.record().instance]);
        }
        assert_eq!(fleet.iter().count(), self.last.len());
        assert_eq!(
            self.node.router.largest_service_size(),
            rebuilt.router.largest_service_size()
        );
    }
}

fn instances(fleet: &Fleet, service: &str) -> Vec<String> {
    let servers = fleet.of_service(service).iter();
    let servers = servers.map(|&key| fleet.get(key).expect("a listed server is registered"));
    servers
        .map(|server| server.record().instance.clone())
        .collect()
}

/// Guards against indexes that disagree with the last registrations.
#[test]
fn any_sequence_of_registrations_leaves_what_the_last_ones_say() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[53; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 60..=60);
    let result = runner.run(&steps, |steps| {
        let mut table = Table::new();
        for step in steps {
            table.apply(step);
            table.compare_with_rebuilt();
        }
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
