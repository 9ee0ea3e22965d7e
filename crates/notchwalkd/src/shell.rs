//! The shell around the reducer: feeds it events and carries out its effects.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use futures_util::future::{AbortHandle, Abortable};
use notchwalk_bundle::Bundle;
use notchwalk_core::{BootNumber, Clock, Instant, RequestId, ServerId, VmId};
use notchwalk_daemon::SuspensionWatch;
use notchwalk_decide::{
    Arrival, CallerKey, Effect, Event, Failure, Node, NodeConfig, NodeDump, RequestKey,
};
use notchwalk_http::Client;
use notchwalk_platform::Platform;
use notchwalk_wire::{EngineFrame, Prompt};

use crate::{
    bundle_texts::BundleTexts,
    channel::{CallerEvent, CallerTx},
    claims::WaitingClaims,
    metrics::{Metrics, Traffic},
    peer_links::PeerLinks,
    settings::DaemonSettings,
};

/// What is sent to engines for a generation.
#[derive(Debug)]
pub struct GeneratePayload {
    /// The model's name.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// The version.
    pub version: Option<String>,
    /// The longest answer.
    pub max_tokens: u32,
    /// Texts that end the answer.
    pub stop: Vec<String>,
    /// Sampling parameters as given.
    pub sampling: serde_json::Map<String, serde_json::Value>,
    /// The prompt.
    pub prompt: Prompt,
    /// The prompt's bytes, if it is a text.
    pub text_bytes: Option<usize>,
}

/// The driver's side of an admitted request.
struct Open {
    tx: CallerTx,
    payload: Option<Rc<GeneratePayload>>,
    /// Ends the task of the running attempt.
    attempt: Option<AbortHandle>,
    /// Tickets of computed segments of a huge prompt.
    tickets: Vec<String>,
    /// Why the engine ended the answer.
    reason: Option<String>,
}

/// Carries out the effects that reach beyond the daemon.
pub trait EffectDriver {
    /// Carries one out, or has a task do so.
    fn carry_out(&self, shell: &Rc<Shell>, effect: Effect);
}

/// One running daemon.
pub struct Shell {
    /// The settings.
    pub settings: DaemonSettings,
    /// The boot of this daemon.
    pub boot: BootNumber,
    /// The clock.
    pub clock: Clock,
    /// HTTP towards backends and the platform.
    pub client: Client,
    /// The platform.
    pub platform: Rc<dyn Platform>,
    /// Metrics.
    pub metrics: Metrics,
    /// Links to the other daemons.
    pub links: PeerLinks,
    /// Claims on their way to the table.
    pub claims: WaitingClaims,
    /// The bundle in force with its texts.
    pub bundle_texts: RefCell<Option<BundleTexts>>,
    /// Bytes fetched for bundles since the start.
    pub bundle_bytes: Cell<u64>,
    node: RefCell<Node>,
    open: RefCell<HashMap<RequestKey, Open>>,
    arriving: RefCell<Option<Open>>,
    refused: RefCell<Option<Failure>>,
    admitted: Cell<Option<(RequestKey, RequestId)>>,
    frame_at_hand: RefCell<Vec<String>>,
    servers: RefCell<HashMap<ServerId, SocketAddr>>,
    next_caller: Cell<u64>,
    stopped: Cell<bool>,
    suspension: SuspensionWatch,
    effects: Box<dyn EffectDriver>,
}

impl Shell {
    /// Builds the shell of a daemon.
    pub fn new(
        settings: DaemonSettings,
        boot: BootNumber,
        client: Client,
        platform: Rc<dyn Platform>,
        effects: Box<dyn EffectDriver>,
    ) -> Rc<Self> {
        let mut cfg = NodeConfig::new(
            settings.vm,
            boot,
            settings.failure_domain.clone(),
            boot.0 ^ u64::from(settings.vm.0),
        );
        cfg = cfg
            .with_entries_ttl(settings.entries_ttl)
            .with_reserve(settings.reserve);
        let clock = Clock::new();
        Rc::new(Self {
            suspension: SuspensionWatch::new(&clock),
            node: RefCell::new(Node::new(cfg)),
            settings,
            boot,
            clock,
            client,
            platform,
            metrics: Metrics::new(),
            links: PeerLinks::default(),
            claims: WaitingClaims::default(),
            bundle_texts: RefCell::default(),
            bundle_bytes: Cell::new(0),
            open: RefCell::default(),
            arriving: RefCell::default(),
            refused: RefCell::default(),
            admitted: Cell::default(),
            frame_at_hand: RefCell::default(),
            servers: RefCell::default(),
            next_caller: Cell::new(1),
            stopped: Cell::new(false),
            effects,
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the text of all metrics.
    pub fn metrics_text(&self) -> String {
        let sent = Traffic {
            peer_bytes: self.links.sent_bytes(),
            bundle_bytes: self.bundle_bytes.get(),
        };
        self.metrics.text(&self.node.borrow(), sent)
    }

    /// Lets a closure look at the reducer.
    pub fn with_node<T>(&self, f: impl FnOnce(&mut Node) -> T) -> T {
        f(&mut self.node.borrow_mut())
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.node.borrow().bundle().cloned()
    }

    /// Returns the whole state, made to be read.
    pub fn dump(&self) -> NodeDump {
        let now = self.now();
        self.node.borrow_mut().dump(now)
    }

    /// Notices that the machine was suspended. Connections kept from before are closed:
    /// the other ends gave them up unheard, and a call that may run once is lost on one.
    pub fn notice_suspension(&self) {
        if self.suspension.notice(&self.clock) {
            self.client.forget_idle();
        }
    }

    /// Tells whether all work is done after a drain.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Feeds one event and carries out what follows.
    pub fn step(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.node
            .borrow_mut()
            .step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Offers a request to the reducer.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn submit(
        self: &Rc<Self>,
        build: impl FnOnce(CallerKey) -> Arrival,
        tx: CallerTx,
        payload: Option<Rc<GeneratePayload>>,
    ) -> Result<(RequestKey, RequestId), Failure> {
        let caller = CallerKey(self.next_caller.get());
        self.next_caller.set(caller.0 + 1);
        *self.arriving.borrow_mut() = Some(Open {
            tx,
            payload,
            attempt: None,
            tickets: Vec::new(),
            reason: None,
        });
        self.step(Event::Arrive(Box::new(build(caller))));
        self.arriving.borrow_mut().take();
        if let Some(failure) = self.refused.borrow_mut().take() {
            return Err(failure);
        }
        let admitted = self.admitted.take();
        Ok(admitted.expect("an arrival is either admitted or refused"))
    }

    /// Feeds a frame of an engine's stream.
    pub fn frame(self: &Rc<Self>, request: RequestKey, frame: EngineFrame) {
        let event = Event::Frame {
            request,
            id: frame.request,
            attempt: frame.attempt,
            offset: frame.offset,
            count: frame.tokens.len() as u32,
        };
        *self.frame_at_hand.borrow_mut() = frame.tokens;
        self.step(event);
        if self.unread(request) > self.settings.max_unread_bytes {
            self.step(Event::CallerGone(request));
        }
    }

    fn unread(&self, request: RequestKey) -> usize {
        self.open
            .borrow()
            .get(&request)
            .map_or(0, |open| open.tx.unread())
    }

    /// Returns a server's address.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.borrow().get(&server).copied()
    }

    /// Sets the servers' addresses.
    pub fn set_servers(&self, servers: HashMap<ServerId, SocketAddr>) {
        *self.servers.borrow_mut() = servers;
    }

    /// Keeps the ticket of a computed segment.
    pub fn add_ticket(&self, request: RequestKey, ticket: String) {
        if let Some(open) = self.open.borrow_mut().get_mut(&request) {
            open.tickets.push(ticket);
        }
    }

    /// Returns the tickets of a request's segments.
    pub fn tickets(&self, request: RequestKey) -> Vec<String> {
        let open = self.open.borrow();
        open.get(&request)
            .map_or_else(Vec::new, |o| o.tickets.clone())
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Admitted { request, id, .. } => {
                if let Some(open) = self.arriving.borrow_mut().take() {
                    self.open.borrow_mut().insert(request, open);
                }
                self.admitted.set(Some((request, id)));
            }
            Effect::Refuse { failure, .. } => *self.refused.borrow_mut() = Some(failure),
            Effect::Deliver { request, skip } => {
                let mut tokens = std::mem::take(&mut *self.frame_at_hand.borrow_mut());
                tokens.drain(..skip as usize);
                self.tell(request, CallerEvent::Tokens(tokens));
            }
            Effect::Finish { request, result } => {
                let reason = self.finish_reason(request);
                self.close(request, CallerEvent::Finish { result, reason });
            }
            Effect::FinishStored { request, key } => {
                self.close(request, CallerEvent::Stored(key));
            }
            Effect::Peer { to, message } => self.links.send(to, *message),
            Effect::Log(event) => event.emit(),
            Effect::Stop => self.stopped.set(true),
            effect => self.effects.carry_out(self, effect),
        }
    }

    /// Keeps why the engine ended an answer.
    pub fn set_finish_reason(&self, request: RequestKey, reason: String) {
        if let Some(open) = self.open.borrow_mut().get_mut(&request) {
            open.reason = Some(reason);
        }
    }

    fn finish_reason(&self, request: RequestKey) -> Option<String> {
        self.open.borrow().get(&request)?.reason.clone()
    }

    /// Returns what is sent to engines for a request; `None` for a call.
    pub fn payload(&self, request: RequestKey) -> Option<Rc<GeneratePayload>> {
        self.open.borrow().get(&request)?.payload.clone()
    }

    /// Forgets the tickets of a request whose prompt begins anew.
    pub fn forget_tickets(&self, request: RequestKey) {
        if let Some(open) = self.open.borrow_mut().get_mut(&request) {
            open.tickets.clear();
        }
    }

    /// Tells the task of a request's caller something.
    pub fn tell(&self, request: RequestKey, event: CallerEvent) {
        if let Some(open) = self.open.borrow().get(&request) {
            open.tx.send(event);
        }
    }

    /// Ends the driver's side of a request: the running attempt's connection
    /// closes with its task.
    fn close(&self, request: RequestKey, last: CallerEvent) {
        let Some(open) = self.open.borrow_mut().remove(&request) else {
            return;
        };
        if let Some(attempt) = open.attempt {
            attempt.abort();
        }
        open.tx.send(last);
    }

    /// Runs an attempt's task in place of the one before.
    pub fn spawn_attempt(
        &self,
        request: RequestKey,
        task: impl std::future::Future<Output = ()> + 'static,
    ) {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&request) else {
            return;
        };
        let (handle, registration) = AbortHandle::new_pair();
        if let Some(before) = open.attempt.replace(handle) {
            before.abort();
        }
        notchwalk_http::spawn(async move {
            let _ = Abortable::new(task, registration).await;
        });
    }

    /// Returns the VM this daemon runs on.
    pub fn vm(&self) -> VmId {
        self.settings.vm
    }
}
