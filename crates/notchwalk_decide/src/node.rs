//! The node: all parts, and which event goes to which part.

use std::{collections::HashMap, sync::Arc};

use notchwalk_bundle::{Bundle, PolicyKind};
use notchwalk_core::{Instant, LogEvent, LogEventKind, RequestId, Tokens};
use notchwalk_quarantine::Quarantine;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::{
    admission, attempt,
    catalog::{Catalog, GroupKey},
    claim::{self, ClaimReleases},
    config::NodeConfig,
    cost::CostModel,
    credit::{self, Credits},
    drain::{self, Drain},
    effect::{Effect, Failure},
    event::Event,
    long_home::{self, LongLedgers},
    long_work,
    membership::{self, Membership},
    orders::{self, Orders},
    queue::FairQueue,
    request::{Request, RequestKey},
    retry::RetryBudget,
    schedule::{self, Schedule},
    server::Servers,
    suspects,
    sweep::{self, Cancels},
    timer::{TimerKind, Timers},
};

/// The moment of a step and where its effects go.
pub(crate) struct Cx<'a> {
    /// The present time.
    pub now: Instant,
    /// The effects so far.
    pub out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    /// Adds an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    /// Logs an event.
    pub fn log(&mut self, kind: LogEventKind, facts: impl Into<String>) {
        self.emit(Effect::Log(LogEvent::new(kind, facts)));
    }
}

/// Counts since the boot, for metrics and dumps.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Requests that came.
    pub arrived: u64,
    /// Requests refused at the door.
    pub refused: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Admitted requests that failed.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that followed a failed one.
    pub retries: u64,
    /// Late or crossed frames dropped.
    pub frames_dropped: u64,
    /// Tokens passed to callers.
    pub tokens: u64,
    /// Reservations raised while answers grew.
    pub top_ups: u64,
    /// Cancels confirmed.
    pub cancels: u64,
    /// Long prompts refused room by homes.
    pub long_denied: u64,
    /// Long prompts granted room by homes.
    pub long_granted: u64,
}

/// One entry's decisions.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) catalog: Catalog,
    pub(crate) bundle_since: Instant,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) by_seq: HashMap<u64, RequestKey>,
    pub(crate) next_seq: u64,
    pub(crate) queue: FairQueue,
    pub(crate) schedule: Schedule,
    pub(crate) servers: Servers,
    pub(crate) costs: Vec<CostModel>,
    pub(crate) credits: Credits,
    pub(crate) membership: Membership,
    pub(crate) long: LongLedgers,
    /// Requests that ask homes for room.
    pub(crate) asking: usize,
    pub(crate) timers: Timers,
    pub(crate) retry: RetryBudget,
    pub(crate) cancels: Cancels,
    pub(crate) releases: ClaimReleases,
    pub(crate) orders: Orders,
    pub(crate) drain: Drain,
    pub(crate) quarantine: Quarantine,
    pub(crate) counters: Counters,
}

impl Node {
    /// Builds a node that knows nothing but itself.
    pub fn new(cfg: NodeConfig) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(cfg.seed),
            membership: Membership::new(&cfg),
            cfg,
            catalog: Catalog::default(),
            bundle_since: Instant::ZERO,
            requests: SlotMap::with_key(),
            by_seq: HashMap::new(),
            next_seq: 1,
            queue: FairQueue::default(),
            schedule: Schedule::default(),
            servers: Servers::default(),
            costs: Vec::new(),
            credits: Credits::default(),
            long: LongLedgers::default(),
            asking: 0,
            timers: Timers::default(),
            retry: RetryBudget::default(),
            cancels: Cancels::default(),
            releases: ClaimReleases::default(),
            orders: Orders::default(),
            drain: Drain::default(),
            quarantine: Quarantine::default(),
            counters: Counters::default(),
        }
    }

    /// Takes in one event and appends what is to be done to `out`. The same
    /// events at the same times give the same effects.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the program is broken, which is a bug.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        let cx = &mut Cx { now, out };
        match event {
            Event::Tick => self.tick(cx),
            Event::Bundle(bundle) => self.put_in_force(cx, bundle),
            Event::VmList { servers, entries } => {
                membership::on_vm_list(self, cx, entries);
                sweep::on_servers(self, cx, servers);
            }
            Event::Arrive(arrival) => admission::on_arrive(self, cx, *arrival),
            Event::CallerGone(request) => attempt::on_caller_gone(self, cx, request),
            Event::Frame {
                request,
                id,
                attempt,
                offset,
                count,
            } => {
                let frame = attempt::FrameHead {
                    id,
                    attempt,
                    offset,
                    count,
                };
                attempt::on_frame(self, cx, request, frame);
            }
            Event::SegmentReady { request, attempt } => {
                long_work::on_segment_ready(self, cx, request, attempt);
            }
            Event::AttemptEnded {
                request,
                attempt,
                end,
            } => attempt::on_ended(self, cx, request, attempt, end),
            Event::Load { server, report } => schedule::on_load(self, cx, server, *report),
            Event::LoadFailed(server) => schedule::on_load_failed(self, cx, server),
            Event::Holdings { server, holdings } => {
                sweep::on_holdings(self, cx, server, &holdings);
            }
            Event::Cache { server, events } => {
                if let Some(server) = self.servers.by_id(server) {
                    server.prefix.apply(&events);
                }
            }
            Event::CancelEnded {
                server,
                id,
                confirmed,
            } => sweep::on_cancel_ended(self, cx, server, id, confirmed),
            Event::Claim { request, answer } => claim::on_answer(self, cx, request, answer),
            Event::ClaimReleased { key, confirmed } => {
                self.releases.on_released(cx.now, &key, confirmed);
            }
            Event::Lease { row, applied } => orders::on_lease(self, cx, row, applied),
            Event::LeaseUnanswered => orders::on_no_lease_answer(self),
            Event::OrderEnded { server, accepted } => {
                orders::on_order_ended(self, cx, server, accepted);
            }
            Event::Peer { from, message } => membership::on_message(self, cx, from, message),
            Event::Drain => drain::on_drain(self, cx),
        }
        schedule::run(self, cx);
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        while let Some((request, kind)) = self.timers.pop(cx.now) {
            match kind {
                TimerKind::Deadline => attempt::on_deadline(self, cx, request),
                TimerKind::Backoff => schedule::on_backoff_over(self, cx, request),
                TimerKind::Stall => attempt::on_stall_timer(self, cx, request),
                TimerKind::Ask => long_work::on_ask_timer(self, cx, request),
                TimerKind::Claim => claim::on_timer(self, cx, request),
            }
        }
        membership::on_tick(self, cx);
        credit::on_tick(self, cx);
        long_home::on_tick(self, cx);
        sweep::on_tick(self, cx);
        claim::on_tick(self, cx);
        orders::on_tick(self, cx);
        schedule::on_tick(self, cx);
        drain::on_tick(self, cx);
        suspects::on_tick(self, cx);
    }

    fn put_in_force(&mut self, cx: &mut Cx<'_>, bundle: Arc<Bundle>) {
        let version = bundle.version;
        if !self.catalog.put_in_force(bundle) {
            cx.log(
                LogEventKind::BundleRefused,
                format!("version={version} reason=not-newer"),
            );
            return;
        }
        self.bundle_since = cx.now;
        let groups = self.catalog.groups.len();
        self.costs.resize_with(groups, CostModel::default);
        credit::recount_demand(self);
        schedule::refresh_loaded(self);
        self.schedule.capacity_changed();
        cx.log(LogEventKind::BundleInForce, format!("version={version}"));
    }

    /// Returns the refusal that a request of a workspace would get whatever it
    /// asks for, so that its body need not be read.
    pub fn early_refusal(
        &mut self,
        now: Instant,
        workspace: notchwalk_bundle::WorkspaceKey,
    ) -> Option<Failure> {
        let mut out = Vec::new();
        let cx = Cx { now, out: &mut out };
        admission::early_refusal(self, &cx, workspace)
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.catalog.bundle.as_ref()
    }

    /// Returns the version in force, 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.bundle().map_or(0, |b| b.version)
    }

    /// Returns a live peer that has a newer bundle than this node.
    pub fn peer_with_newer_bundle(&self) -> Option<notchwalk_core::VmId> {
        let (vm, version) = self.membership.newest_bundle()?;
        (version > self.bundle_version()).then_some(vm)
    }

    /// Tells whether an order may be given under a fencing number now. Drivers
    /// ask right before they send one.
    pub fn may_order(&self, now: Instant, fence: u64) -> bool {
        self.orders.fence(now) == Some(fence)
    }

    /// Tells whether a bundle is in force and the node does not drain.
    pub fn is_ready(&self) -> bool {
        self.bundle().is_some() && !self.drain.is_on()
    }

    /// Estimates the tokens of a prompt of so many bytes.
    pub fn estimate_tokens(&self, model: notchwalk_bundle::ModelKey, bytes: usize) -> Tokens {
        let group = self.catalog.model_group(model);
        self.costs[group.index()].tokens_of(bytes)
    }

    /// Learns how long a prompt of so many bytes was.
    pub fn learn_tokens(&mut self, model: &str, bytes: usize, tokens: Tokens) {
        let Some(group) = self.catalog.model_named(model) else {
            return;
        };
        self.costs[group.index()].learn_bytes(bytes, tokens);
    }

    /// Returns the number after which a server's cache events are wanted.
    pub fn cache_events_after(&mut self, server: notchwalk_core::ServerId) -> u64 {
        self.servers
            .by_id(server)
            .map_or(0, |s| s.prefix.ask_after())
    }

    /// Returns the id of an admitted request.
    pub fn request_id(&self, request: RequestKey) -> Option<RequestId> {
        Some(self.requests.get(request)?.id)
    }

    /// Returns the live entries, in the order callers should try them.
    pub fn live_entries(&mut self) -> Vec<membership::LiveEntry> {
        membership::live_entries(self)
    }

    /// Returns what is known of requests under which servers ended.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the counts since the boot.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the retries saved up.
    pub fn retry_budget(&self) -> f64 {
        self.retry.saved()
    }

    /// Returns how many requests are admitted and not over.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many requests wait.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many cancels are not confirmed.
    pub fn open_cancels(&self) -> usize {
        self.cancels.len()
    }

    /// Returns how long the list of entries may be kept.
    pub fn entries_ttl(&self) -> std::time::Duration {
        self.cfg.entries_ttl
    }

    pub(crate) fn policy_kind(&self) -> PolicyKind {
        self.bundle().map_or(PolicyKind::Fair, |b| b.policy.kind)
    }

    pub(crate) fn cost(&mut self, group: GroupKey) -> &mut CostModel {
        &mut self.costs[group.index()]
    }
}
