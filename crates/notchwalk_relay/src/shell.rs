//! State shared by all drivers of one process, and the dispatch of the router's
//! effects.

use std::{cell::RefCell, rc::Rc, time::Duration};

use local_sync::mpsc::unbounded;
use notchwalk_core::{Clock, Instant, LogEvent, LogEventKind};
use notchwalk_daemon::{SuspensionWatch, Wake};
use notchwalk_http::{Client, ClientTable, OpenExchanges};
use notchwalk_platform::{RowPage, RowStore, StoreVersion};
use notchwalk_route::{CallerLimits, DrainSchedule, Effect, Event, RequestKey, Router, ServerKey};
use slotmap::SecondaryMap;

use crate::{
    metrics::Metrics, peers::Peers, presence_record::PresenceRecord, Dialect, RelaySettings,
};

/// How often a wait compares its deadline with the clock: timers stop while the machine
/// is suspended, deadlines don't.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Executes the effects that don't belong to the task of one request.
pub(crate) trait EffectDriver {
    /// Executes an effect, or spawns a task that does.
    fn execute(&self, shell: &Rc<Shell>, effect: Effect);
}

/// Receives the effects for one request.
pub(crate) type Inbox = unbounded::Rx<Effect>;

/// Why a wait for a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndOfWait {
    /// The request's deadline passed.
    DeadlinePassed,
    /// This node exits soon.
    NodeStops,
}

/// The shared state of one process.
pub(crate) struct Shell {
    pub settings: RelaySettings,
    pub clock: Clock,
    /// Boot number; increases with each start of the process on this VM.
    pub boot: u64,
    pub router: RefCell<Router>,
    pub dialect: Rc<dyn Dialect>,
    pub store: Rc<dyn RowStore>,
    pub client: Client,
    pub metrics: Metrics,
    pub peers: RefCell<Peers>,
    pub limits: std::cell::Cell<CallerLimits>,
    /// The schedule of the shutdown, if it has started.
    pub draining: std::cell::Cell<Option<DrainSchedule>>,
    /// The requests of callers and peers that have no complete response.
    pub open_exchanges: OpenExchanges,
    /// The clients of all listeners, and the memory that their messages occupy.
    pub clients: ClientTable,
    /// Whether the last poll of the store succeeded.
    pub store_up: std::cell::Cell<bool>,
    /// When the store last responded to a query for rows; `None` if it never did.
    pub store_responded_at: std::cell::Cell<Option<Instant>>,
    /// The newest change of the server table that was seen; published to peers.
    pub newest_server_change: std::cell::Cell<StoreVersion>,
    /// The store version up to which the server table is known. It may exceed
    /// `newest_server_change`, since a read of the whole table omits removed rows.
    pub server_table_version: std::cell::Cell<StoreVersion>,
    /// When the server table was last known to be current.
    pub servers_refreshed_at: std::cell::Cell<Instant>,
    /// The newest epoch seen in a response of the store; `None` before the first
    /// response.
    store_epoch: std::cell::Cell<Option<u64>>,
    /// How often the store was restored from a snapshot since this process started.
    store_restores: std::cell::Cell<u64>,
    /// Whether a new epoch is to be published to peers.
    pub epoch_to_publish: std::cell::Cell<bool>,
    /// Whether a change of the reachable services is to be published to peers.
    pub links_to_publish: std::cell::Cell<bool>,
    /// When a server last sent anything, for the servers that have.
    heard_at: RefCell<SecondaryMap<ServerKey, Instant>>,
    /// Number of requests that this node serves for peers.
    pub open_forwarded: Rc<std::cell::Cell<usize>>,
    /// The store's clock in milliseconds, and when it was received.
    store_clock: std::cell::Cell<Option<(Instant, u64)>>,
    suspension: SuspensionWatch,
    /// Notified when changes are to be published to peers.
    pub publish_wake: Wake,
    /// When an invalid notice of a server was last logged.
    pub invalid_notice_logged_at: RefCell<SecondaryMap<ServerKey, Instant>>,
    inboxes: RefCell<SecondaryMap<RequestKey, unbounded::Tx<Effect>>>,
    effects: Box<dyn EffectDriver>,
}

/// Returns how many bytes of the VM's memory messages of clients may occupy. The rest is for
/// connections, requests in progress, the state of the process and the allocator.
fn message_memory_bytes(settings: &RelaySettings) -> usize {
    const MESSAGE_PART: usize = 4;
    settings.memory_bytes / MESSAGE_PART
}

impl Shell {
    pub fn new(
        settings: RelaySettings,
        boot: u64,
        router: Router,
        dialect: Rc<dyn Dialect>,
        store: Rc<dyn RowStore>,
        client: Client,
        effects: Box<dyn EffectDriver>,
    ) -> Self {
        let clock = Clock::new();
        Self {
            peers: RefCell::new(Peers::new(&settings.name)),
            clients: ClientTable::new(message_memory_bytes(&settings)),
            settings,
            boot,
            suspension: SuspensionWatch::new(&clock),
            clock,
            router: RefCell::new(router),
            dialect,
            store,
            client,
            metrics: Metrics::new(),
            limits: std::cell::Cell::default(),
            draining: std::cell::Cell::default(),
            open_exchanges: OpenExchanges::default(),
            store_up: std::cell::Cell::new(false),
            store_responded_at: std::cell::Cell::default(),
            newest_server_change: std::cell::Cell::default(),
            server_table_version: std::cell::Cell::default(),
            store_epoch: std::cell::Cell::default(),
            store_restores: std::cell::Cell::new(0),
            epoch_to_publish: std::cell::Cell::new(false),
            links_to_publish: std::cell::Cell::new(false),
            heard_at: RefCell::default(),
            open_forwarded: Rc::default(),
            servers_refreshed_at: std::cell::Cell::new(Instant::ZERO),
            store_clock: std::cell::Cell::default(),
            publish_wake: Wake::default(),
            invalid_notice_logged_at: RefCell::default(),
            inboxes: RefCell::default(),
            effects,
        }
    }

    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.suspension = SuspensionWatch::new(&clock);
        self.clock = clock;
        self
    }

    /// Sets the limits on callers' requests. The memory for messages holds at least one of the
    /// largest size.
    pub fn set_limits(&self, limits: CallerLimits) {
        self.limits.set(limits);
        let largest = limits.body_bytes.max(2 * limits.head_bytes);
        let memory = message_memory_bytes(&self.settings);
        self.clients.set_max_bytes(memory, largest);
    }

    /// Returns how often the machine resumed from a suspension so far.
    pub fn resume_count(&self) -> u64 {
        self.suspension.resume_count()
    }

    /// Checks whether the machine was suspended. If so, idle connections are closed:
    /// the other ends may have closed them meanwhile, and a request that must run at
    /// most once can't be retried after it failed on one.
    pub fn check_suspension(self: &Rc<Self>) {
        if let Some(suspended) = self.suspension.check(&self.clock) {
            self.client.close_idle();
            self.store.reset_connections();
            self.step(Event::MachineResumed { suspended });
        }
    }

    /// Returns this node's presence record.
    pub fn presence_record(&self) -> PresenceRecord {
        PresenceRecord {
            name: self.settings.name.clone(),
            boot: self.boot,
            peer: self.settings.peer_addr,
            caller: self.settings.caller_addr,
        }
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the newest epoch of the store that this node has seen; 0 if none.
    pub fn store_epoch(&self) -> u64 {
        self.store_epoch.get().unwrap_or(0)
    }

    /// Returns the newest epoch of the store that this node or a peer has seen. A
    /// peer may be first: a pending poll may detect a restore only when its wait ends.
    pub fn newest_epoch(&self) -> u64 {
        let peers = self.peers.borrow().newest_server_change().epoch;
        self.store_epoch().max(peers)
    }

    /// Returns how often the store was restored from a snapshot since this process
    /// started.
    pub fn store_restores(&self) -> u64 {
        self.store_restores.get()
    }

    /// Records a version of the server table, if newer than those seen before.
    pub fn observe_server_change(&self, version: StoreVersion) {
        let before = self.newest_server_change.get();
        self.newest_server_change.set(before.max(version));
    }

    /// Records the epoch of a response of the store; a newer one means that the store
    /// was restored from a snapshot.
    pub fn observe_store_version(&self, version: StoreVersion) {
        let former = self.store_epoch.get();
        if former.is_some_and(|former| version.epoch <= former) {
            return;
        }
        self.store_epoch.set(Some(version.epoch));
        self.metrics.store_epoch.set(version.epoch as i64);
        let Some(former) = former else {
            return;
        };
        self.store_restores.set(self.store_restores.get() + 1);
        self.observe_server_change(StoreVersion::new(version.epoch, 0));
        self.epoch_to_publish.set(true);
        self.publish_wake.notify();
        let facts = format!("era={} former_era={former}", version.epoch);
        LogEvent::new(LogEventKind::StoreRestored, facts).emit();
    }

    /// Records the time of the store's clock, if the page has it.
    pub fn observe_store_clock(&self, page: &RowPage) {
        if let Some(ms) = page.now_ms {
            self.store_clock.set(Some((self.now(), ms)));
        }
    }

    /// Returns the time by the store's clock, in milliseconds, if it was ever received.
    pub fn store_now_ms(&self) -> Option<u64> {
        let (at, ms) = self.store_clock.get()?;
        Some(ms.saturating_add(self.now().since(at).as_millis() as u64))
    }

    /// Waits until `at`. The clock advances also while the machine is suspended.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            monoio::time::sleep(left.min(CLOCK_CHECK_INTERVAL)).await;
        }
    }

    /// Waits until `at`, or if `may_end_early` until this node responds to all open requests
    /// because it exits; returns which comes first.
    pub async fn wait_for_end(&self, at: Instant, may_end_early: bool) -> EndOfWait {
        loop {
            let now = self.now();
            let draining = self.draining.get().filter(|_| may_end_early);
            let stops_at = draining.map_or(at, |draining| draining.responses_end_at);
            let left = at.min(stops_at).since(now);
            if left.is_zero() {
                return match now >= at {
                    true => EndOfWait::DeadlinePassed,
                    false => EndOfWait::NodeStops,
                };
            }
            monoio::time::sleep(left.min(CLOCK_CHECK_INTERVAL)).await;
        }
    }

    /// Waits until this node refuses new requests because it stops. `refuses_from` chooses the
    /// time from the schedule of the shutdown.
    pub async fn wait_for_refusal(&self, refuses_from: impl Fn(&DrainSchedule) -> Instant) {
        loop {
            let draining = self.draining.get();
            let left = draining.map_or(CLOCK_CHECK_INTERVAL, |draining| {
                refuses_from(&draining).since(self.now())
            });
            if left.is_zero() {
                return;
            }
            monoio::time::sleep(left.min(CLOCK_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether requests can be served: a configuration is active and the
    /// process is not stopping.
    pub fn is_ready(&self) -> bool {
        self.draining.get().is_none() && self.router.borrow().version() > 0
    }

    /// Records that a server sent something.
    pub fn record_heard(&self, server: ServerKey) {
        self.heard_at.borrow_mut().insert(server, self.now());
    }

    /// Returns when any server of the same service last sent something, if one has.
    fn service_heard_at(&self, server: ServerKey) -> Option<Instant> {
        let router = self.router.borrow();
        let fleet = router.fleet();
        let service = &fleet.get(server)?.record().service;
        let heard_at = self.heard_at.borrow();
        let of_service = fleet.of_service(service).iter();
        of_service
            .filter_map(|&key| heard_at.get(key))
            .max()
            .copied()
    }

    /// Reports to the router that a server is silent, unless another server of its service has
    /// sent something since `since`.
    pub fn report_silence(self: &Rc<Self>, server: ServerKey, since: Instant) {
        if self.service_heard_at(server).is_none_or(|at| at < since) {
            self.step(Event::ServiceSilent { server });
        }
    }

    /// Registers a request with the router and opens its inbox.
    pub fn open_request(&self) -> (RequestKey, Inbox) {
        let key = self.router.borrow_mut().new_request();
        let (tx, rx) = unbounded::channel();
        self.inboxes.borrow_mut().insert(key, tx);
        (key, rx)
    }

    /// Passes an event to the router and executes the resulting effects.
    pub fn step(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.router
            .borrow_mut()
            .step(self.now(), event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
        let router = self.router.borrow();
        let fleet = router.fleet();
        let has_notices = fleet.has_draining_updates() || fleet.has_limit_updates();
        if router.has_changed_work() || router.quarantine().has_updates() || has_notices {
            self.publish_wake.notify();
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { request, .. }
            | Effect::Forward { request, .. }
            | Effect::RetryDecided { request, .. }
            | Effect::NoServer { request, .. }
            | Effect::Blocked { request, .. } => self.deliver(request, effect),
            Effect::Refuse { request, .. } | Effect::DeliverFailure { request } => {
                self.deliver(request, effect);
                self.inboxes.borrow_mut().remove(request);
            }
            effect => self.effects.execute(self, effect),
        }
    }

    fn deliver(&self, request: RequestKey, effect: Effect) {
        let inboxes = self.inboxes.borrow();
        let Some(tx) = inboxes.get(request) else {
            return;
        };
        // Fails if the request's task has just ended.
        let _ = tx.send(effect);
    }

    /// Removes the inbox of a request that ended.
    pub fn close_request(&self, request: RequestKey) {
        self.inboxes.borrow_mut().remove(request);
    }
}
