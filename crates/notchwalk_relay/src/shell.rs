//! What all drivers of one process share: the router, its clock, and the way
//! of its effects to those that carry them out.

use std::{cell::RefCell, rc::Rc, time::Duration};

use local_sync::mpsc::unbounded;
use notchwalk_core::{Clock, Instant, LogEvent, LogEventKind};
use notchwalk_daemon::{SuspensionWatch, Wake};
use notchwalk_http::Client;
use notchwalk_platform::{RowPage, RowStore, StoreVersion};
use notchwalk_route::{ClientLimits, Effect, Event, RequestKey, Router, ServerKey};
use slotmap::SecondaryMap;

use crate::{
    metrics::Metrics, peers::Peers, presence_record::PresenceRecord, Dialect, RelaySettings,
};

/// How often a wait looks at the clock: timers stand still while the machine is
/// suspended, deadlines don't.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Carries out the effects that are not for the task of one request.
pub(crate) trait EffectDriver {
    /// Carries one out, or has a task do so.
    fn carry_out(&self, shell: &Rc<Shell>, effect: Effect);
}

/// Receives the effects that concern one request.
pub(crate) type Inbox = unbounded::Rx<Effect>;

/// How far the process is on its way to the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stopping {
    /// It serves.
    #[default]
    No,
    /// It was told to stop, at this time.
    Since(Instant),
}

/// The shared state of one process.
pub(crate) struct Shell {
    pub settings: RelaySettings,
    pub clock: Clock,
    /// Rises with each start on this VM.
    pub boot: u64,
    pub router: RefCell<Router>,
    pub dialect: Rc<dyn Dialect>,
    pub store: Rc<dyn RowStore>,
    pub client: Client,
    pub metrics: Metrics,
    pub peers: RefCell<Peers>,
    pub limits: std::cell::Cell<ClientLimits>,
    pub stopping: std::cell::Cell<Stopping>,
    /// Whether the store answered the last question.
    pub store_up: std::cell::Cell<bool>,
    /// The newest change of the register of servers that was seen; peers are
    /// told of it.
    pub servers_changed: std::cell::Cell<StoreVersion>,
    /// The version of the store up to which the register is known here. Peers'
    /// newest change is compared with it: of a record that was removed before
    /// the whole register was read, no change is ever seen.
    pub servers_known: std::cell::Cell<StoreVersion>,
    /// When the register of servers was last known to be current.
    pub servers_current: std::cell::Cell<Instant>,
    /// The newest era of the store that an answer told; `None` before the first.
    store_era: std::cell::Cell<Option<u64>>,
    /// How often a new era began since this process started.
    store_restores: std::cell::Cell<u64>,
    /// Whether peers are to be told of a new era at once.
    pub era_to_tell: std::cell::Cell<bool>,
    /// The store's clock in milliseconds, and when it said so.
    store_clock: std::cell::Cell<Option<(Instant, u64)>>,
    suspension: SuspensionWatch,
    /// Raised when peers are to be told of this entry's work, or of suspects.
    pub work_changed: Wake,
    /// When it was last logged of a server that what it says can't be taken as said.
    pub faulty_words: RefCell<SecondaryMap<ServerKey, Instant>>,
    inboxes: RefCell<SecondaryMap<RequestKey, unbounded::Tx<Effect>>>,
    effects: Box<dyn EffectDriver>,
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
            stopping: std::cell::Cell::default(),
            store_up: std::cell::Cell::new(false),
            servers_changed: std::cell::Cell::default(),
            servers_known: std::cell::Cell::default(),
            store_era: std::cell::Cell::default(),
            store_restores: std::cell::Cell::new(0),
            era_to_tell: std::cell::Cell::new(false),
            servers_current: std::cell::Cell::new(Instant::ZERO),
            store_clock: std::cell::Cell::default(),
            work_changed: Wake::default(),
            faulty_words: RefCell::default(),
            inboxes: RefCell::default(),
            effects,
        }
    }

    /// Sets the clock.
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.suspension = SuspensionWatch::new(&clock);
        self.clock = clock;
        self
    }

    /// Returns how often the machine was suspended and resumed so far.
    pub fn resumes(&self) -> u64 {
        self.suspension.resumes()
    }

    /// Notices that the machine was suspended. Connections kept from before are
    /// closed: the other ends gave them up unheard, and a call that may run once is
    /// lost on one. Whoever reads the store starts anew.
    pub fn notice_suspension(&self) {
        if self.suspension.notice(&self.clock) {
            self.client.forget_idle();
            self.store.renew_connections();
        }
    }

    /// Returns this entry's own record.
    pub fn presence_record(&self) -> PresenceRecord {
        PresenceRecord {
            name: self.settings.name.clone(),
            boot: self.boot,
            peer: self.settings.peer,
            caller: self.settings.caller,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the newest era of the store that was seen.
    pub fn store_era(&self) -> u64 {
        self.store_era.get().unwrap_or(0)
    }

    /// Returns the newest era of the store that this entry or a peer has seen. A
    /// question under way may not notice that the store came back until its wait is
    /// over.
    pub fn newest_era(&self) -> u64 {
        let peers = self.peers.borrow().newest_change_of_servers().era;
        self.store_era().max(peers)
    }

    /// Returns how often the store came back from a copy since this process started.
    pub fn store_restores(&self) -> u64 {
        self.store_restores.get()
    }

    /// Notes up to which version the register of servers changed.
    pub fn note_servers_changed(&self, version: StoreVersion) {
        let before = self.servers_changed.get();
        self.servers_changed.set(before.max(version));
    }

    /// Notes the version of an answer of the store; the first of a new era says that
    /// the store came back from a copy.
    pub fn note_store_version(&self, version: StoreVersion) {
        let former = self.store_era.get();
        if former.is_some_and(|former| version.era <= former) {
            return;
        }
        self.store_era.set(Some(version.era));
        self.metrics.store_era.set(version.era as i64);
        let Some(former) = former else {
            return;
        };
        self.store_restores.set(self.store_restores.get() + 1);
        self.note_servers_changed(StoreVersion::new(version.era, 0));
        self.era_to_tell.set(true);
        self.work_changed.raise();
        let facts = format!("era={} former_era={former}", version.era);
        LogEvent::new(LogEventKind::StoreRestored, facts).emit();
    }

    /// Notes what the store's clock said.
    pub fn note_store_ms(&self, page: &RowPage) {
        if let Some(ms) = page.now_ms {
            self.store_clock.set(Some((self.now(), ms)));
        }
    }

    /// Returns the time by the store's clock, in milliseconds, if it ever said it.
    pub fn store_ms(&self) -> Option<u64> {
        let (at, ms) = self.store_clock.get()?;
        Some(ms + self.now().since(at).as_millis() as u64)
    }

    /// Waits until a time by the clock.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            monoio::time::sleep(left.min(LOOK_EVERY)).await;
        }
    }

    /// Tells whether requests can be served: a configuration is in force and
    /// the process was not told to stop.
    pub fn is_ready(&self) -> bool {
        self.stopping.get() == Stopping::No && self.router.borrow().version() > 0
    }

    /// Makes room for a request and its inbox.
    pub fn open_request(&self) -> (RequestKey, Inbox) {
        let key = self.router.borrow_mut().new_request();
        let (tx, rx) = unbounded::channel();
        self.inboxes.borrow_mut().insert(key, tx);
        (key, rx)
    }

    /// Tells the router what happened and has its effects carried out.
    pub fn step(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.router
            .borrow_mut()
            .step(self.now(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
        let router = self.router.borrow();
        let fleet = router.fleet();
        let said = fleet.has_leaving_news() || fleet.has_limit_news();
        if router.has_changed_work() || router.quarantine().has_news() || said {
            self.work_changed.raise();
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { request, .. } => self.deliver(request, effect),
            Effect::Refuse { request, .. } | Effect::DeliverFailure { request } => {
                self.deliver(request, effect);
                self.inboxes.borrow_mut().remove(request);
            }
            effect => self.effects.carry_out(self, effect),
        }
    }

    fn deliver(&self, request: RequestKey, effect: Effect) {
        let inboxes = self.inboxes.borrow();
        let Some(tx) = inboxes.get(request) else {
            return;
        };
        // The request's task ended: its caller left in the same moment.
        let _ = tx.send(effect);
    }

    /// Forgets a request whose answer ended.
    pub fn close_request(&self, request: RequestKey) {
        self.inboxes.borrow_mut().remove(request);
    }
}
