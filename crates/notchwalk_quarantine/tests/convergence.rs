//! Entries that hear each other's news late, twice, out of order or in part agree in
//! the end.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, News, Quarantine, Verdict};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const ENTRIES: usize = 3;
const CONTENTS: u128 = 4;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Act {
    /// A server's connection breaks under a content, and its end may be seen.
    Crash {
        entry: usize,
        content: u128,
        confirmed: bool,
    },
    /// A content runs to a good end.
    Succeed {
        entry: usize,
        content: u128,
    },
    /// An entry's latest news reach another, or get lost.
    Tell {
        from: usize,
        to: usize,
        lost: bool,
        twice: bool,
    },
    Pass(u64),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => (0..ENTRIES, 0..CONTENTS, any::<bool>()).prop_map(|(entry, content, confirmed)| {
            Act::Crash { entry, content, confirmed }
        }),
        1 => (0..ENTRIES, 1..CONTENTS).prop_map(|(entry, content)| Act::Succeed { entry, content }),
        4 => (0..ENTRIES, 0..ENTRIES, any::<bool>(), any::<bool>()).prop_map(|(from, to, lost, twice)| {
            Act::Tell { from, to, lost, twice }
        }),
        2 => (1_u64..900).prop_map(Act::Pass),
    ]
}

struct World {
    entries: Vec<Quarantine>,
    now: Instant,
    /// Each crash is of another server.
    servers: u32,
}

impl World {
    fn new() -> Self {
        Self {
            entries: (0..ENTRIES).map(|_| Quarantine::default()).collect(),
            now: Instant::from_millis(3_600_000),
            servers: 0,
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Crash {
                entry,
                content,
                confirmed,
            } => {
                let content = Fingerprint::from(content);
                let verdict = self.entries[entry].verdict(content, self.now);
                if matches!(verdict, Verdict::Quarantined { .. } | Verdict::Held) {
                    return;
                }
                self.servers += 1;
                let server = self.servers;
                self.entries[entry].note_sent(content, self.now);
                self.entries[entry].note_broken(content, &[server], 3, false, self.now);
                for quarantine in self.entries.iter_mut().filter(|_| confirmed) {
                    quarantine.note_server_ended(server, false, self.now);
                }
            }
            Act::Succeed { entry, content } => {
                let content = Fingerprint::from(content);
                self.entries[entry].note_succeeded(content, self.now);
            }
            Act::Tell {
                from,
                to,
                lost,
                twice,
            } => {
                let news = self.entries[from].take_news();
                if lost || from == to {
                    return;
                }
                let reversed: Vec<News> = news.iter().rev().copied().collect();
                self.entries[to].hear(from as u32, &reversed, self.now);
                if twice {
                    self.entries[to].hear(from as u32, &news, self.now);
                }
            }
            Act::Pass(ms) => self.pass(ms),
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        for quarantine in &mut self.entries {
            quarantine.pass_time(self.now);
        }
    }

    /// Lets heartbeats tell everything, some times.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.pass(250);
            let told: Vec<Vec<News>> = self
                .entries
                .iter()
                .map(|quarantine| quarantine.retold(true, self.now))
                .collect();
            for (from, news) in told.iter().enumerate() {
                for (to, quarantine) in self.entries.iter_mut().enumerate() {
                    if from != to {
                        quarantine.hear(from as u32, news, self.now);
                    }
                }
            }
        }
    }

    fn quarantined(&self, content: u128) -> Vec<bool> {
        let content = Fingerprint::from(content);
        let verdicts = self.entries.iter().map(|q| q.verdict(content, self.now));
        verdicts
            .map(|verdict| matches!(verdict, Verdict::Quarantined { .. }))
            .collect()
    }
}

/// The content 0 never ends well; the others do now and then.
#[test]
fn entries_agree_on_what_is_quarantined() {
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let acts = prop::collection::vec(act(), 1..80);
    let result = runner.run(&acts, |acts| {
        let mut world = World::new();
        for act in acts {
            world.act(act);
        }
        world.settle();
        let bad = world.quarantined(0);
        prop_assert!(
            bad.iter().all(|&q| q == bad[0]),
            "they disagree about the content that crashes servers: {bad:?}"
        );
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
