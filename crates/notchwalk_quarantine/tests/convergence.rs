//! Nodes converge although updates are delayed, duplicated, reordered or lost.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, Quarantine, QuarantineUpdate, Verdict};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const NODES: usize = 3;
const CONTENTS: u128 = 4;

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

    fn quarantined(&self, content: u128) -> Vec<bool> {
        let content = Fingerprint::from(content);
        let verdicts = self.nodes.iter().map(|q| q.verdict(content, self.now));
        verdicts
            .map(|verdict| matches!(verdict, Verdict::Quarantined { .. }))
            .collect()
    }
}

/// Guards against nodes that disagree permanently. Content 0 never succeeds; the others may.
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
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
