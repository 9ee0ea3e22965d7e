//! Randomised runs: the router's invariants hold for any sequence of events.

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use notchwalk_route::{
    Assignment, AttemptEnd, Effect, Event, FailedReservation, ForwardedSend, Forwarding, PeerWork,
    Refusal, Repeatability, RequestKey, ServerChange, ServerKey, ServerNotice, ServerStage,
    SiteConfig, WorkPhase,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::common::{drain_schedule, record, site, TestRouter, ENGINES, PLAIN_SERVICE};

#[derive(Clone, Debug)]
enum Action {
    Arrive(u8, u32),
    End(usize, u8),
    Start(usize),
    Abandon(usize),
    FinishReservation(usize, bool),
    Drain(u8, bool),
    Register(u8),
    Notify(u8, Option<u16>),
    Configure(u8),
    PeerWork(u8, u8),
    PeerStatus(u8, bool),
    CheckLinks(bool, u8),
    Advance(u16),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..4u8, 500..500_000u32).prop_map(|(path, tokens)| Action::Arrive(path, tokens)),
        5 => (any::<usize>(), 0..6u8).prop_map(|(which, end)| Action::End(which, end)),
        3 => any::<usize>().prop_map(Action::Start),
        1 => any::<usize>().prop_map(Action::Abandon),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(which, granted)| Action::FinishReservation(which, granted)),
        1 => (0..10u8, any::<bool>()).prop_map(|(server, removed)| Action::Drain(server, removed)),
        1 => (0..10u8).prop_map(Action::Register),
        1 => (0..10u8, prop::option::weighted(0.8, 1..4_000u16))
            .prop_map(|(server, backoff)| Action::Notify(server, backoff)),
        1 => any::<u8>().prop_map(Action::Configure),
        1 => (0..7u8, 0..12u8).prop_map(|(server, count)| Action::PeerWork(server, count)),
        2 => (1..4u8, any::<bool>())
            .prop_map(|(peer, reaches_all)| Action::PeerStatus(peer, reaches_all)),
        2 => (any::<bool>(), 0..2u8)
            .prop_map(|(engines, opened)| Action::CheckLinks(engines, opened)),
        3 => (1..2_000u16).prop_map(Action::Advance),
    ]
}

#[derive(Default)]
struct RequestState {
    may_have_run: u32,
    open_send: Option<Assignment>,
    /// Whether it is forwarded to a peer now.
    open_forward: bool,
    /// Whether it has been sent.
    sent_before: bool,
    /// Whether its last attempt reached a server.
    reached: bool,
    /// Whether a part of its response has been delivered.
    has_output: bool,
    reserving: bool,
    ended: bool,
}

impl RequestState {
    /// Checks that the request may be sent to a server or forwarded to a peer now.
    fn check_attempt(&self, repeatability: Repeatability, attempts: u32) {
        assert!(!self.ended, "sent after the request ended");
        assert!(
            self.open_send.is_none() && !self.open_forward,
            "two concurrent sends of a request"
        );
        assert!(
            self.may_have_run == 0 || repeatability != Repeatability::AtMostOnce,
            "non-repeatable request sent again after it may have run"
        );
        assert!(
            self.may_have_run < attempts,
            "more attempts than the route allows"
        );
    }
}

struct Harness {
    node: TestRouter,
    states: HashMap<RequestKey, (RequestState, Repeatability, u32)>,
    order: Vec<RequestKey>,
    /// Times of the first sends of requests.
    first_sends: Vec<Instant>,
    /// Times of retries after a previous attempt reached a server.
    retries: Vec<Instant>,
    /// When servers that requested a backoff accept requests again; `None` for draining ones.
    available_from: HashMap<ServerKey, Option<Instant>>,
}

impl Harness {
    fn new() -> Self {
        Self {
            node: TestRouter::with_engines("entry-1", 7),
            states: HashMap::new(),
            order: Vec::new(),
            first_sends: Vec::new(),
            retries: Vec::new(),
            available_from: HashMap::new(),
        }
    }

    /// Selects a request that has not ended.
    fn pick(&self, which: usize) -> Option<RequestKey> {
        let open: Vec<RequestKey> = self
            .order
            .iter()
            .copied()
            .filter(|key| !self.states[key].0.ended)
            .collect();
        (!open.is_empty()).then(|| open[which % open.len()])
    }

    /// Checks the emitted effects.
    fn check_effects(&mut self) {
        for effect in std::mem::take(&mut self.node.effects) {
            match effect {
                Effect::Send { request, to } => self.check_send(request, to),
                Effect::Forward { request, to } => self.check_forward(request, &to),
                Effect::Refuse {
                    request, reason, ..
                } => self.check_refusal(request, reason),
                Effect::DeliverFailure { request } => {
                    let (state, _, _) = self.states.get_mut(&request).expect("request arrived");
                    assert!(!std::mem::replace(&mut state.ended, true));
                }
                Effect::Reserve { request, orders } => {
                    assert!(!orders.is_empty());
                    let (state, _, _) = self.states.get_mut(&request).expect("request arrived");
                    state.reserving = true;
                }
                Effect::SendReservationOrder(_)
                | Effect::RetryDecided { .. }
                | Effect::NoServer { .. }
                | Effect::Blocked { .. }
                | Effect::CheckLinks { .. }
                | Effect::ReachabilityChanged { .. }
                | Effect::Ejected { .. }
                | Effect::NewNotice { .. }
                | Effect::ProbePort { .. }
                | Effect::LimitExhausted { .. }
                | Effect::Finding(_) => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestKey, to: Assignment) {
        let record = self
            .node
            .router
            .fleet()
            .get(to.server)
            .expect("server is registered");
        assert_eq!(
            record.record().stage,
            ServerStage::Ready,
            "sent to a draining server"
        );
        let known = self.available_from.get(&to.server).copied();
        let until = known
            .unwrap_or(Some(Instant::ZERO))
            .expect("sent to a server that announced draining");
        assert!(
            self.node.now >= until,
            "sent to a server during the backoff that it requested"
        );
        assert!(to.prefill_workers.len() <= 17);
        let (state, repeatability, attempts) =
            self.states.get_mut(&request).expect("request arrived");
        state.check_attempt(*repeatability, *attempts);
        state.open_send = Some(to);
        state.reserving = false;
        let now = self.node.now;
        if !std::mem::replace(&mut state.sent_before, true) {
            self.first_sends.push(now);
        } else if state.reached {
            self.retries.push(now);
        }
        self.check_budget();
    }

    fn check_forward(&mut self, request: RequestKey, to: &Forwarding) {
        let (state, repeatability, attempts) =
            self.states.get_mut(&request).expect("request arrived");
        state.check_attempt(*repeatability, *attempts);
        state.open_forward = true;
        state.reserving = false;
        if to.counts_as == ForwardedSend::Counted && state.reached {
            self.retries.push(self.node.now);
        }
        self.check_budget();
    }

    /// Checks that the retries within the window stay within the configured budget.
    fn check_budget(&self) {
        const WINDOW: Duration = Duration::from_secs(10);
        let since = self.node.now.before(WINDOW);
        let recent = |times: &[Instant]| times.iter().filter(|&&at| at >= since).count() as f64;
        let allowed = 0.2 * recent(&self.first_sends) + 100.0;
        assert!(recent(&self.retries) <= allowed, "retry budget exceeded");
    }

    fn check_refusal(&mut self, request: RequestKey, reason: Refusal) {
        let (state, _, _) = self.states.get_mut(&request).expect("request arrived");
        assert!(
            !std::mem::replace(&mut state.ended, true),
            "request ended twice"
        );
        if reason.has_not_run() {
            assert_eq!(
                state.may_have_run, 0,
                "refused as not run after it may have run"
            );
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Arrive(path, tokens) => {
                let path = ["/short/", "/long/", "/once/", "/again/"][path as usize];
                let route = self.node.route(path);
                let tokens = if route.streaming { tokens } else { 0 };
                let state = (
                    RequestState::default(),
                    route.repeatability,
                    route.max_attempts,
                );
                let before = self.node.effects.len();
                assert_eq!(before, 0);
                let key = self.node.arrive(path, tokens);
                self.states.insert(key, state);
                self.order.push(key);
            }
            Action::End(which, end) => self.end(which, end),
            Action::Start(which) => {
                if let Some(request) = self.pick(which) {
                    let (state, _, _) = self.states.get_mut(&request).expect("request arrived");
                    if state.open_send.is_some() || state.open_forward {
                        state.has_output = true;
                        self.node.step(Event::Started { request });
                    }
                }
            }
            Action::Abandon(which) => {
                if let Some(request) = self.pick(which) {
                    self.states
                        .get_mut(&request)
                        .expect("request arrived")
                        .0
                        .ended = true;
                    self.node.step(Event::Abandoned { request });
                }
            }
            Action::FinishReservation(which, granted) => {
                if let Some(request) = self.pick(which) {
                    if std::mem::replace(
                        &mut self
                            .states
                            .get_mut(&request)
                            .expect("request arrived")
                            .0
                            .reserving,
                        false,
                    ) {
                        let refused = FailedReservation {
                            addr: record(ENGINES, (which % 7) as u8).addr,
                            unreachable: which % 2 == 0,
                        };
                        let failed = if granted { Vec::new() } else { vec![refused] };
                        self.node.step(Event::Reserved { request, failed });
                    }
                }
            }
            Action::Drain(server, removed) => self.drain(server, removed),
            Action::Register(server) => {
                let record = record(if server < 7 { ENGINES } else { PLAIN_SERVICE }, server % 7);
                self.node
                    .step(Event::Servers(ServerChange::Registered(record)));
            }
            Action::Notify(server, backoff) => self.notify(server, backoff),
            Action::Configure(version) => {
                let before = self.node.router.version();
                let version = u64::from(version);
                self.node
                    .step(Event::Configured(SiteConfig { version, ..site() }));
                assert!(
                    self.node.router.version() >= before,
                    "configuration version decreased"
                );
            }
            Action::PeerWork(server, count) => self.broadcast_peer_work(server, count),
            Action::PeerStatus(peer, reaches_all) => {
                let unreachable = match reaches_all {
                    true => Vec::new(),
                    false => self.node.router.unreachable_service_ids(),
                };
                self.node.receive_status(peer.into(), &unreachable);
            }
            Action::CheckLinks(engines, opened) => {
                let service = if engines { ENGINES } else { PLAIN_SERVICE };
                if !self.node.router.fleet().of_service(service).is_empty() {
                    self.node.check_links(service, opened.into());
                }
            }
            Action::Advance(ms) => self.node.advance(Duration::from_millis(ms.into())),
        }
    }

    fn drain(&mut self, server: u8, removed: bool) {
        let mut record = record(if server < 7 { ENGINES } else { PLAIN_SERVICE }, server % 7);
        record.stage = ServerStage::Leaving;
        let change = match removed {
            true => ServerChange::Removed(record.instance),
            false => ServerChange::Registered(record),
        };
        self.node.step(Event::Servers(change));
    }

    /// Reports a server's draining notice (`None`) or backoff in milliseconds.
    fn notify(&mut self, server: u8, backoff: Option<u16>) {
        let instance =
            record(if server < 7 { ENGINES } else { PLAIN_SERVICE }, server % 7).instance;
        let Some(server) = self.node.router.fleet().by_instance(&instance) else {
            return;
        };
        let notice = match backoff {
            Some(ms) => ServerNotice::Backoff(Duration::from_millis(ms.into())),
            None => ServerNotice::Draining,
        };
        let until = backoff.map(|ms| self.node.now.after(Duration::from_millis(ms.into())));
        let known = self
            .available_from
            .entry(server)
            .or_insert(Some(Instant::ZERO));
        *known = known.zip(until).map(|(before, until)| before.max(until));
        self.node.step(Event::NoticeReceived { server, notice });
    }

    fn end(&mut self, which: usize, end: u8) {
        let Some(request) = self.pick(which) else {
            return;
        };
        let (state, _, _) = self.states.get_mut(&request).expect("request arrived");
        let is_forwarded = std::mem::take(&mut state.open_forward);
        if state.open_send.take().is_none() && !is_forwarded {
            return;
        }
        let peer_refused = |reason| AttemptEnd::PeerRefused {
            reason,
            retry_after: None,
        };
        let end = match end {
            1 if is_forwarded => peer_refused(Refusal::NoServer),
            2 if is_forwarded => peer_refused(Refusal::Overloaded),
            0 => AttemptEnd::NotConnected,
            1 => AttemptEnd::NotRun {
                faulty_server: None,
                address_reused: true,
            },
            2 => AttemptEnd::NotRun {
                faulty_server: None,
                address_reused: false,
            },
            3 => AttemptEnd::ServerError,
            4 => AttemptEnd::ConnectionLost,
            _ => AttemptEnd::Delivered { is_success: true },
        };
        if matches!(end, AttemptEnd::ServerError | AttemptEnd::ConnectionLost) {
            state.may_have_run += 1;
        }
        state.reached = !matches!(
            end,
            AttemptEnd::NotConnected | AttemptEnd::PeerRefused { .. }
        );
        state.ended = matches!(end, AttemptEnd::Delivered { .. });
        self.node.end_attempt(request, end);
    }

    /// Reports a peer's short requests on an engine.
    fn broadcast_peer_work(&mut self, server: u8, count: u8) {
        let instance = record(ENGINES, server).instance;
        let mut servers = self.node.router.fleet().iter();
        let Some((_, known)) = servers.find(|(_, known)| known.record().instance == instance)
        else {
            return;
        };
        let short_id = known.short_id;
        drop(servers);
        let work = PeerWork {
            server: short_id,
            phase: WorkPhase::Decode,
            context_tokens: 5_000,
            step_tokens: 5_000,
            prefill_ms: 30,
            inter_token_ms: 250,
            age_ms: 100,
            predicted_prefill_ms: 60,
            workspace: 0,
        };
        self.node.step(Event::PeerWork {
            peer: 1,
            servers: vec![work.server],
            work: vec![work; count.into()],
        });
    }

    /// Shuts the node down and checks that no request is left without a response, except for
    /// those at a server or a peer and those that have a part of it.
    fn shut_down(&mut self) {
        const TICK: Duration = Duration::from_millis(100);
        let schedule = drain_schedule(self.node.now);
        self.node.step(Event::NodeDraining(schedule));
        while self.node.now < schedule.responses_end_at {
            self.check_effects();
            self.node.advance(TICK);
        }
        self.check_effects();
        for (state, _, _) in self.states.values() {
            let is_in_flight = state.open_send.is_some() || state.open_forward;
            assert!(
                state.ended || is_in_flight || state.has_output,
                "a request is left without a response at the shutdown"
            );
        }
    }

    /// Ends all requests and checks that no state remains.
    fn finish(mut self) {
        self.shut_down();
        self.node.step(Event::PeerExpired { peer: 1 });
        for request in std::mem::take(&mut self.order) {
            if !self.states[&request].0.ended {
                self.node.step(Event::Abandoned { request });
            }
        }
        assert_eq!(self.node.router.open_requests(), 0);
        assert_eq!(self.node.router.reservations(), 0);
        assert_eq!(self.node.router.queued_work().0, 0);
        for (key, server) in self.node.router.fleet().iter() {
            let load = self.node.router.load_view().load(key, self.node.now);
            let left = load.occupied() + load.prefill_segments;
            assert_eq!(left, 0, "{} still has work", server.record().instance);
            assert_eq!(load.context_tokens, 0.0);
        }
    }
}

fn run(cases: u32, actions: usize, seed: u8) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let actions = prop::collection::vec(action(), actions..=actions);
    let result = runner.run(&actions, |actions| {
        let mut harness = Harness::new();
        for action in actions {
            harness.apply(action);
            harness.check_effects();
        }
        harness.finish();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn invariants_hold_over_random_events() {
    run(400, 250, 11);
}

/// Processes two million events. Run with `--ignored`.
#[test]
#[ignore = "takes minutes"]
fn invariants_hold_over_many_random_events() {
    for seed in 0..20 {
        run(400, 250, seed);
    }
}
