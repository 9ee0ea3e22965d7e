//! The node: its state, and the routing of events to the modules.

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
    long_home::{self, ReservationLedgers},
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

/// The time of a step and the output for its effects.
pub(crate) struct Cx<'a> {
    pub now: Instant,
    pub out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    pub fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    pub fn log(&mut self, kind: LogEventKind, facts: impl Into<String>) {
        self.emit(Effect::Log(LogEvent::new(kind, facts)));
    }
}

/// Counts since boot, for metrics and dumps.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Requests with a complete response.
    pub completed: u64,
    /// Admitted requests that failed.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that followed a failed one.
    pub retries: u64,
    /// Frames dropped because they named another request or attempt.
    pub frames_dropped: u64,
    /// Tokens delivered to callers.
    pub tokens: u64,
    /// Reservations raised for growing completions.
    pub top_ups: u64,
    /// Cancels confirmed.
    pub cancels: u64,
    /// Reservations of long prompts denied or deferred by this node as home.
    pub long_denied: u64,
    /// Reservations of long prompts granted by this node as home.
    pub long_granted: u64,
}

/// The state of one node and its reducer.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) catalog: Catalog,
    pub(crate) bundle_applied_at: Instant,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) by_seq: HashMap<u64, RequestKey>,
    pub(crate) next_seq: u64,
    pub(crate) queue: FairQueue,
    pub(crate) schedule: Schedule,
    pub(crate) servers: Servers,
    pub(crate) costs: Vec<CostModel>,
    pub(crate) credits: Credits,
    pub(crate) membership: Membership,
    pub(crate) reservation_ledgers: ReservationLedgers,
    /// Requests that wait for reservations from homes.
    pub(crate) reserving: usize,
    pub(crate) timers: Timers,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) cancels: Cancels,
    pub(crate) claim_releases: ClaimReleases,
    pub(crate) orders: Orders,
    pub(crate) drain: Drain,
    pub(crate) quarantine: Quarantine,
    pub(crate) counters: Counters,
}

impl Node {
    /// Builds a node without bundle, servers or peers.
    pub fn new(cfg: NodeConfig) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(cfg.seed),
            membership: Membership::new(&cfg),
            cfg,
            catalog: Catalog::default(),
            bundle_applied_at: Instant::ZERO,
            requests: SlotMap::with_key(),
            by_seq: HashMap::new(),
            next_seq: 1,
            queue: FairQueue::default(),
            schedule: Schedule::default(),
            servers: Servers::default(),
            costs: Vec::new(),
            credits: Credits::default(),
            reservation_ledgers: ReservationLedgers::default(),
            reserving: 0,
            timers: Timers::default(),
            retry_budget: RetryBudget::default(),
            cancels: Cancels::default(),
            claim_releases: ClaimReleases::default(),
            orders: Orders::default(),
            drain: Drain::default(),
            quarantine: Quarantine::default(),
            counters: Counters::default(),
        }
    }

    /// Handles one event and appends the resulting effects to `out`. The same
    /// events at the same times give the same effects.
    ///
    /// # Panics
    ///
    /// Panics if an internal invariant is violated, which is a bug.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        let cx = &mut Cx { now, out };
        match event {
            Event::Tick => self.tick(cx),
            Event::Bundle(bundle) => self.apply_bundle(cx, bundle),
            Event::VmList { servers, nodes } => {
                membership::on_vm_list(self, cx, nodes);
                sweep::on_servers(self, cx, servers);
            }
            Event::Arrival(arrival) => admission::on_arrival(self, cx, *arrival),
            Event::CallerDisconnected(request) => {
                attempt::on_caller_disconnected(self, cx, request)
            }
            Event::Frame {
                request,
                id,
                attempt,
                offset,
                count,
            } => {
                let frame = attempt::FrameHeader {
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
            Event::LoadPollFailed(server) => schedule::on_load_poll_failed(self, cx, server),
            Event::Allocations {
                server,
                allocations,
            } => {
                sweep::on_allocations(self, cx, server, &allocations);
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
            Event::Claim { request, response } => claim::on_response(self, cx, request, response),
            Event::ClaimReleased { key, confirmed } => {
                self.claim_releases.on_released(cx.now, &key, confirmed);
            }
            Event::Lease { row, applied } => orders::on_lease(self, cx, row, applied),
            Event::LeaseUnanswered => orders::on_lease_unanswered(self),
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
                TimerKind::Backoff => schedule::on_backoff_ended(self, cx, request),
                TimerKind::Stall => attempt::on_stall_timer(self, cx, request),
                TimerKind::Reserve => long_work::on_reserve_timer(self, cx, request),
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

    fn apply_bundle(&mut self, cx: &mut Cx<'_>, bundle: Arc<Bundle>) {
        let version = bundle.version;
        if !self.catalog.apply(bundle) {
            cx.log(
                LogEventKind::BundleRejected,
                format!("version={version} reason=not-newer"),
            );
            return;
        }
        self.bundle_applied_at = cx.now;
        let groups = self.catalog.groups.len();
        self.costs.resize_with(groups, CostModel::default);
        credit::recount_demand(self);
        schedule::refresh_loaded(self);
        self.schedule.capacity_changed();
        cx.log(LogEventKind::BundleActivated, format!("version={version}"));
    }

    /// Returns the refusal that applies to any request of the workspace, so
    /// that the body need not be read.
    pub fn early_refusal(
        &mut self,
        now: Instant,
        workspace: notchwalk_bundle::WorkspaceKey,
    ) -> Option<Failure> {
        let mut out = Vec::new();
        let cx = Cx { now, out: &mut out };
        admission::early_refusal(self, &cx, workspace)
    }

    /// Returns the active bundle.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.catalog.bundle.as_ref()
    }

    /// Returns the active bundle's version, 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.bundle().map_or(0, |b| b.version)
    }

    /// Returns a live peer that has a newer bundle than this node.
    pub fn peer_with_newer_bundle(&self) -> Option<notchwalk_core::VmId> {
        let (vm, version) = self.membership.newest_bundle()?;
        (version > self.bundle_version()).then_some(vm)
    }

    /// Returns whether an order may be sent under a fencing token now. Drivers
    /// check this right before sending.
    pub fn may_order(&self, now: Instant, fencing_token: u64) -> bool {
        self.orders.fencing_token(now) == Some(fencing_token)
    }

    /// Returns whether a bundle is active and the node is not draining.
    pub fn is_ready(&self) -> bool {
        self.bundle().is_some() && !self.drain.is_draining()
    }

    /// Estimates the number of tokens in a prompt of `bytes` bytes.
    pub fn estimate_tokens(&self, model: notchwalk_bundle::ModelKey, bytes: usize) -> Tokens {
        let group = self.catalog.model_group(model);
        self.costs[group.index()].estimate_tokens(bytes)
    }

    /// Records the token count of a prompt of `bytes` bytes.
    pub fn record_prompt_tokens(&mut self, model: &str, bytes: usize, tokens: Tokens) {
        let Some(group) = self.catalog.model_named(model) else {
            return;
        };
        self.costs[group.index()].record_prompt_size(bytes, tokens);
    }

    /// Returns whether a server is an engine.
    pub fn is_engine(&self, server: notchwalk_core::ServerId) -> bool {
        self.servers.engine_key_of(server).is_some()
    }

    /// Returns the event number after which to query a server's cache events.
    pub fn cache_events_after(&mut self, server: notchwalk_core::ServerId) -> u64 {
        self.servers
            .by_id(server)
            .map_or(0, |s| s.prefix.events_after())
    }

    /// Returns the id of an admitted request.
    pub fn request_id(&self, request: RequestKey) -> Option<RequestId> {
        Some(self.requests.get(request)?.id)
    }

    /// Returns the live nodes, in the order in which callers should use them.
    pub fn live_nodes(&mut self) -> Vec<membership::LiveNode> {
        membership::live_nodes(self)
    }

    /// Returns the tracker of requests that are suspected of crashing servers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the counts since boot.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the retries available.
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget.available()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of queued requests.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of unconfirmed cancels.
    pub fn open_cancels(&self) -> usize {
        self.cancels.len()
    }

    /// Returns how long callers may cache the list of nodes.
    pub fn node_list_ttl(&self) -> std::time::Duration {
        self.cfg.node_list_ttl
    }

    pub(crate) fn policy_kind(&self) -> PolicyKind {
        self.bundle().map_or(PolicyKind::Fair, |b| b.policy.kind)
    }

    pub(crate) fn cost(&mut self, group: GroupKey) -> &mut CostModel {
        &mut self.costs[group.index()]
    }
}
