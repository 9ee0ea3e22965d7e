//! Long randomised runs: whatever happens in whatever order, what the router
//! promises holds.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use notchwalk_route::{
    Assignment, AttemptEnd, Effect, Event, FailedReservation, PeerWork, Refusal, Repeatability,
    RequestKey, ServerChange, ServerKey, ServerStage, ServerWord, SiteConfig, WorkPhase,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::common::{record, site, Rig, DESK, ENGINES};

#[derive(Clone, Debug)]
enum Act {
    Arrive(u8, u32),
    End(usize, u8),
    Start(usize),
    Abandon(usize),
    Grant(usize, bool),
    Leave(u8, bool),
    Return(u8),
    Say(u8, Option<u16>),
    Configure(u8),
    Peer(u8, u8),
    Pass(u16),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..4u8, 500..500_000u32).prop_map(|(path, tokens)| Act::Arrive(path, tokens)),
        5 => (any::<usize>(), 0..6u8).prop_map(|(which, end)| Act::End(which, end)),
        3 => any::<usize>().prop_map(Act::Start),
        1 => any::<usize>().prop_map(Act::Abandon),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(which, yes)| Act::Grant(which, yes)),
        1 => (0..10u8, any::<bool>()).prop_map(|(server, gone)| Act::Leave(server, gone)),
        1 => (0..10u8).prop_map(Act::Return),
        1 => (0..10u8, prop::option::weighted(0.8, 1..4_000u16))
            .prop_map(|(server, rest)| Act::Say(server, rest)),
        1 => any::<u8>().prop_map(Act::Configure),
        1 => (0..7u8, 0..12u8).prop_map(|(server, count)| Act::Peer(server, count)),
        3 => (1..2_000u16).prop_map(Act::Pass),
    ]
}

#[derive(Default)]
struct Seen {
    may_have_run: u32,
    open_send: Option<Assignment>,
    /// Whether it was sent before, and whether that send reached a server.
    sent_before: bool,
    reached: bool,
    reserving: bool,
    ended: bool,
}

struct Check {
    rig: Rig,
    seen: HashMap<RequestKey, (Seen, Repeatability, u32)>,
    order: Vec<RequestKey>,
    /// When requests were sent first, and when a server was reached once more.
    firsts: Vec<Instant>,
    repeats: Vec<Instant>,
    /// Until when servers want nothing, as they said; `None` for those that leave.
    said: HashMap<ServerKey, Option<Instant>>,
}

impl Check {
    fn new() -> Self {
        Self {
            rig: Rig::named("entry-1", 7),
            seen: HashMap::new(),
            order: Vec::new(),
            firsts: Vec::new(),
            repeats: Vec::new(),
            said: HashMap::new(),
        }
    }

    fn pick(&self, which: usize) -> Option<RequestKey> {
        let open: Vec<RequestKey> = self
            .order
            .iter()
            .copied()
            .filter(|key| !self.seen[key].0.ended)
            .collect();
        (!open.is_empty()).then(|| open[which % open.len()])
    }

    /// Checks what the router asked for.
    fn settle(&mut self) {
        for effect in std::mem::take(&mut self.rig.effects) {
            match effect {
                Effect::Send { request, to } => self.sent(request, to),
                Effect::Refuse {
                    request, reason, ..
                } => self.refused(request, reason),
                Effect::DeliverFailure { request } => {
                    let (seen, _, _) = self.seen.get_mut(&request).expect("known");
                    assert!(!std::mem::replace(&mut seen.ended, true));
                }
                Effect::Reserve { request, orders } => {
                    assert!(!orders.is_empty());
                    let (seen, _, _) = self.seen.get_mut(&request).expect("known");
                    seen.reserving = true;
                }
                Effect::Order(_)
                | Effect::Closed { .. }
                | Effect::Heard { .. }
                | Effect::Check { .. }
                | Effect::LimitUsedUp { .. }
                | Effect::Found(_) => {}
            }
        }
    }

    fn sent(&mut self, request: RequestKey, to: Assignment) {
        let record = self.rig.router.fleet().get(to.server).expect("on record");
        assert_eq!(
            record.record.stage,
            ServerStage::Ready,
            "sent to a leaving server"
        );
        let said = self.said.get(&to.server).copied();
        let until = said
            .unwrap_or(Some(Instant::ZERO))
            .expect("it said that it leaves");
        assert!(self.rig.now >= until, "it said that it wants nothing");
        assert!(to.helpers.len() <= 17);
        let (seen, repeatability, attempts) = self.seen.get_mut(&request).expect("known");
        assert!(!seen.ended, "sent after its end");
        assert!(seen.open_send.is_none(), "sent twice at once");
        assert!(
            seen.may_have_run == 0 || *repeatability != Repeatability::Once,
            "sent again though it may have run"
        );
        assert!(seen.may_have_run < *attempts, "runs on too many servers");
        seen.open_send = Some(to);
        seen.reserving = false;
        let now = self.rig.now;
        if !std::mem::replace(&mut seen.sent_before, true) {
            self.firsts.push(now);
        } else if seen.reached {
            self.repeats.push(now);
        }
        self.check_budget();
    }

    /// Checks that repeats within the window stay within what the rig allows.
    fn check_budget(&self) {
        const WINDOW: Duration = Duration::from_secs(10);
        let since = self.rig.now.before(WINDOW);
        let recent = |times: &[Instant]| times.iter().filter(|&&at| at >= since).count() as f64;
        let allowed = 0.2 * recent(&self.firsts) + 100.0;
        assert!(recent(&self.repeats) <= allowed, "too many repeats");
    }

    fn refused(&mut self, request: RequestKey, reason: Refusal) {
        let (seen, _, _) = self.seen.get_mut(&request).expect("known");
        assert!(
            !std::mem::replace(&mut seen.ended, true),
            "two final answers"
        );
        if reason.has_not_run() {
            assert_eq!(
                seen.may_have_run, 0,
                "refused as not run though it may have run"
            );
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Arrive(path, tokens) => {
                let path = ["/short/", "/long/", "/once/", "/again/"][path as usize];
                let route = self.rig.route(path);
                let tokens = if route.streaming { tokens } else { 0 };
                let seen = (Seen::default(), route.repeatability, route.max_attempts);
                let before = self.rig.effects.len();
                assert_eq!(before, 0);
                let key = self.rig.arrive(path, tokens);
                self.seen.insert(key, seen);
                self.order.push(key);
            }
            Act::End(which, end) => self.end(which, end),
            Act::Start(which) => {
                if let Some(request) = self.pick(which) {
                    if self.seen[&request].0.open_send.is_some() {
                        self.rig.step(Event::Started { request });
                    }
                }
            }
            Act::Abandon(which) => {
                if let Some(request) = self.pick(which) {
                    self.seen.get_mut(&request).expect("known").0.ended = true;
                    self.rig.step(Event::Abandoned { request });
                }
            }
            Act::Grant(which, granted) => {
                if let Some(request) = self.pick(which) {
                    if std::mem::replace(
                        &mut self.seen.get_mut(&request).expect("known").0.reserving,
                        false,
                    ) {
                        let refused = FailedReservation {
                            addr: record(ENGINES, (which % 7) as u8).addr,
                            unreachable: which % 2 == 0,
                        };
                        let failed = if granted { Vec::new() } else { vec![refused] };
                        self.rig.step(Event::Reserved { request, failed });
                    }
                }
            }
            Act::Leave(server, gone) => self.leave(server, gone),
            Act::Return(server) => {
                let record = record(if server < 7 { ENGINES } else { DESK }, server % 7);
                self.rig.step(Event::Servers(ServerChange::Present(record)));
            }
            Act::Say(server, rest) => self.say(server, rest),
            Act::Configure(version) => {
                let before = self.rig.router.version();
                let version = u64::from(version);
                self.rig
                    .step(Event::Configured(SiteConfig { version, ..site() }));
                assert!(self.rig.router.version() >= before, "an older version");
            }
            Act::Peer(server, count) => self.peer_tells(server, count),
            Act::Pass(ms) => self.rig.pass(Duration::from_millis(ms.into())),
        }
    }

    fn leave(&mut self, server: u8, gone: bool) {
        let mut record = record(if server < 7 { ENGINES } else { DESK }, server % 7);
        record.stage = ServerStage::Leaving;
        let change = match gone {
            true => ServerChange::Gone(record.instance),
            false => ServerChange::Present(record),
        };
        self.rig.step(Event::Servers(change));
    }

    /// A server says that it leaves, or for how long it wants nothing.
    fn say(&mut self, server: u8, rest: Option<u16>) {
        let instance = record(if server < 7 { ENGINES } else { DESK }, server % 7).instance;
        let Some(server) = self.rig.router.fleet().by_instance(&instance) else {
            return;
        };
        let word = match rest {
            Some(ms) => ServerWord::WantsNothing(Duration::from_millis(ms.into())),
            None => ServerWord::Leaving,
        };
        let until = rest.map(|ms| self.rig.now.after(Duration::from_millis(ms.into())));
        let said = self.said.entry(server).or_insert(Some(Instant::ZERO));
        *said = said.zip(until).map(|(before, until)| before.max(until));
        self.rig.step(Event::ServerSaid { server, word });
    }

    fn end(&mut self, which: usize, end: u8) {
        let Some(request) = self.pick(which) else {
            return;
        };
        let (seen, _, _) = self.seen.get_mut(&request).expect("known");
        if seen.open_send.take().is_none() {
            return;
        }
        let end = match end {
            0 => AttemptEnd::NotConnected,
            1 => AttemptEnd::NotRun {
                at_fault: None,
                moved: true,
            },
            2 => AttemptEnd::NotRun {
                at_fault: None,
                moved: false,
            },
            3 => AttemptEnd::Failed,
            4 => AttemptEnd::Broken,
            _ => AttemptEnd::Delivered { healthy: true },
        };
        if matches!(end, AttemptEnd::Failed | AttemptEnd::Broken) {
            seen.may_have_run += 1;
        }
        seen.reached = end != AttemptEnd::NotConnected;
        seen.ended = matches!(end, AttemptEnd::Delivered { .. });
        self.rig.end(request, end);
    }

    /// A peer tells of short requests that it has on an engine.
    fn peer_tells(&mut self, server: u8, count: u8) {
        let instance = record(ENGINES, server).instance;
        let mut servers = self.rig.router.fleet().iter();
        let Some((_, known)) = servers.find(|(_, known)| known.record.instance == instance) else {
            return;
        };
        let tag = known.tag;
        drop(servers);
        let work = PeerWork {
            server: tag,
            phase: WorkPhase::Writing,
            context_tokens: 5_000,
            pass_tokens: 5_000,
            read_ms: 30,
            pause_ms: 250,
            age_ms: 100,
            reading_ms: 60,
            workspace: 0,
        };
        self.rig.step(Event::PeerWork {
            peer: 1,
            servers: vec![work.server],
            work: vec![work; count.into()],
        });
    }

    /// Ends everything and checks that nothing is left behind.
    fn finish(mut self) {
        self.rig.step(Event::PeerGone { peer: 1 });
        for request in std::mem::take(&mut self.order) {
            if !self.seen[&request].0.ended {
                self.rig.step(Event::Abandoned { request });
            }
        }
        assert_eq!(self.rig.router.open_requests(), 0);
        assert_eq!(self.rig.router.reservations(), 0);
        assert_eq!(self.rig.router.queued_work().0, 0);
        for (key, server) in self.rig.router.fleet().iter() {
            let load = self.rig.router.board().load(key, self.rig.now);
            let left = load.occupied() + load.helping;
            assert_eq!(left, 0, "{} keeps work", server.record.instance);
            assert_eq!(load.context_tokens, 0.0);
        }
    }
}

fn run(cases: u32, acts: usize, seed: u8) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let acts = prop::collection::vec(act(), acts..=acts);
    let result = runner.run(&acts, |acts| {
        let mut check = Check::new();
        for act in acts {
            check.act(act);
            check.settle();
        }
        check.finish();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn promises_hold_over_random_events() {
    run(400, 250, 11);
}

/// Two million events; run by hand with `--ignored`.
#[test]
#[ignore = "takes minutes"]
fn promises_hold_over_many_random_events() {
    for seed in 0..20 {
        run(400, 250, seed);
    }
}
