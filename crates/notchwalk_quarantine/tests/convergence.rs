//! Nodes converge although updates are delayed, duplicated, reordered or lost.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{
    Fingerprint, PromptPart, Quarantine, QuarantineUpdate, RequestSubjects, Verdict,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const NODES: usize = 3;
const CONTENTS: u128 = 4;
const PARTS: usize = 3;

/// An operation on the cluster.
#[derive(Clone, Debug)]
enum Op {
    /// Breaks the connection to a server while it runs a content. With `confirmed`, all nodes
    /// observe the end of the server.
    Crash {
        node: usize,
        content: u128,
        confirmed: bool,
    },
    /// Completes a run of a content successfully.
    Succeed {
        node: usize,
        content: u128,
    },
    /// Breaks the connection to a server while it runs a new content with a shared first part
    /// and this one.
    CrashPart {
        node: usize,
        part: usize,
        confirmed: bool,
    },
    /// A stream with a shared first part and this one survives.
    SurvivePart {
        node: usize,
        part: usize,
    },
    /// Delivers a node's pending updates to another node, or drops them.
    Deliver {
        from: usize,
        to: usize,
        lost: bool,
        duplicated: bool,
    },
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..NODES, 0..CONTENTS, any::<bool>()).prop_map(|(node, content, confirmed)| {
            Op::Crash { node, content, confirmed }
        }),
        1 => (0..NODES, 1..CONTENTS).prop_map(|(node, content)| Op::Succeed { node, content }),
        2 => (0..NODES, 0..PARTS, any::<bool>()).prop_map(|(node, part, confirmed)| {
            Op::CrashPart { node, part, confirmed }
        }),
        1 => (0..NODES, 1..PARTS).prop_map(|(node, part)| Op::SurvivePart { node, part }),
        4 => (0..NODES, 0..NODES, any::<bool>(), any::<bool>()).prop_map(|(from, to, lost, duplicated)| {
            Op::Deliver { from, to, lost, duplicated }
        }),
        2 => (1_u64..900).prop_map(Op::Advance),
    ]
}

struct Cluster {
    nodes: Vec<Quarantine>,
    now: Instant,
    /// Number of servers that have crashed. Each crash is of a new server.
    servers: u32,
}

/// Returns a request with a content of its own, a shared first part and this one.
fn request(content: u32, part: usize) -> RequestSubjects {
    let ids = ["first".to_owned(), format!("part-{part}")];
    let parts = ids
        .iter()
        .map(|id| PromptPart::new("engines", Fingerprint::of_part_id(id), 1));
    RequestSubjects {
        // Distinct from the contents that run several times.
        content: Fingerprint::from(u128::from(content) << 96),
        parts: parts.collect(),
    }
}

impl Cluster {
    fn new() -> Self {
        Self {
            nodes: (0..NODES).map(|_| Quarantine::default()).collect(),
            now: Instant::from_millis(3_600_000),
            servers: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Crash {
                node,
                content,
                confirmed,
            } => {
                let content = Fingerprint::from(content);
                let verdict = self.nodes[node].verdict(content, self.now);
                if matches!(verdict, Verdict::Quarantined { .. } | Verdict::Held) {
                    return;
                }
                self.servers += 1;
                let server = self.servers;
                self.nodes[node].record_send(content, self.now);
                self.nodes[node].record_broken_connection(content, &[server], 3, false, self.now);
                for quarantine in self.nodes.iter_mut().filter(|_| confirmed) {
                    quarantine.record_server_ended(server, false, self.now);
                }
            }
            Op::CrashPart {
                node,
                part,
                confirmed,
            } => {
                self.servers += 1;
                let server = self.servers;
                let request = request(server, part);
                let verdict = self.nodes[node].request_verdict(&request, self.now).verdict;
                if matches!(verdict, Verdict::Quarantined { .. } | Verdict::Held) {
                    return;
                }
                self.nodes[node].record_request_sent(&request, self.now);
                self.nodes[node].record_request_broken(
                    &request,
                    &[server],
                    3,
                    false,
                    false,
                    self.now,
                );
                for quarantine in self.nodes.iter_mut().filter(|_| confirmed) {
                    quarantine.record_server_ended(server, false, self.now);
                }
            }
            Op::SurvivePart { node, part } => {
                self.servers += 1;
                let request = request(self.servers, part);
                self.nodes[node].record_survival(&request, self.now);
            }
            Op::Succeed { node, content } => {
                let content = Fingerprint::from(content);
                self.nodes[node].record_success(content, self.now);
            }
            Op::Deliver {
                from,
                to,
                lost,
                duplicated,
            } => {
                let updates = self.nodes[from].take_updates();
                if lost || from == to {
                    return;
                }
                let reversed: Vec<QuarantineUpdate> = updates.iter().rev().copied().collect();
                self.nodes[to].apply_updates(from as u32, &reversed, self.now);
                if duplicated {
                    self.nodes[to].apply_updates(from as u32, &updates, self.now);
                }
            }
            Op::Advance(ms) => self.advance(ms),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        for quarantine in &mut self.nodes {
            quarantine.tick(self.now);
        }
    }

    /// Exchanges complete rebroadcasts several times.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.advance(250);
            let rebroadcasts: Vec<Vec<QuarantineUpdate>> = self
                .nodes
                .iter()
                .map(|quarantine| quarantine.updates_to_rebroadcast(true, self.now))
                .collect();
            for (from, updates) in rebroadcasts.iter().enumerate() {
                for (to, quarantine) in self.nodes.iter_mut().enumerate() {
                    if from != to {
                        quarantine.apply_updates(from as u32, updates, self.now);
                    }
                }
            }
        }
    }

    fn quarantined_part(&self, part: usize) -> Vec<bool> {
        let part = request(0, part).parts[1].scoped();
        let periods = self
            .nodes
            .iter()
            .map(|q| q.quarantined_until(part, self.now));
        periods.map(|until| until.is_some()).collect()
    }

    fn quarantined(&self, content: u128) -> Vec<bool> {
        let content = Fingerprint::from(content);
        let verdicts = self.nodes.iter().map(|q| q.verdict(content, self.now));
        verdicts
            .map(|verdict| matches!(verdict, Verdict::Quarantined { .. }))
            .collect()
    }
}

/// Guards against nodes that disagree permanently. Content 0 and part 0 never succeed; the others
/// may.
#[test]
fn nodes_agree_on_quarantines() {
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..80);
    let result = runner.run(&ops, |ops| {
        let mut cluster = Cluster::new();
        for op in ops {
            cluster.apply(op);
        }
        cluster.settle();
        let bad = cluster.quarantined(0);
        prop_assert!(
            bad.iter().all(|&q| q == bad[0]),
            "nodes disagree about the crashing content: {bad:?}"
        );
        let bad = cluster.quarantined_part(0);
        prop_assert!(
            bad.iter().all(|&q| q == bad[0]),
            "nodes disagree about the crashing part: {bad:?}"
        );
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
