//! The shell around the reducer: feeds it events and executes its effects.

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
use notchwalk_http::{Client, ClientTable, Reservation};
use notchwalk_platform::Platform;
use notchwalk_wire::{EngineFrame, Prompt};

use crate::{
    bundle_source::BundleSource,
    channel::{CallerEvent, CallerTx},
    claims::ClaimQueue,
    metrics::{Metrics, Traffic},
    peer_links::PeerLinks,
    settings::DaemonSettings,
};

/// The engine-facing contents of a generation request.
pub struct GeneratePayload {
    /// Name of the model.
    pub model: String,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Version of the model.
    pub version: Option<String>,
    /// Limit on generated tokens.
    pub max_tokens: u32,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Sampling parameters, passed through unchanged.
    pub sampling: notchwalk_wire::SamplingParams,
    /// Text or token ids.
    pub prompt: Prompt,
    /// Length of a text prompt, in bytes.
    pub text_bytes: Option<usize>,
    /// What the payload occupies of the memory for clients.
    pub memory: Option<Reservation>,
}

/// The shell's state of an open request.
struct OpenRequest {
    tx: CallerTx,
    payload: Option<Rc<GeneratePayload>>,
    /// Aborts the task of the running attempt.
    attempt: Option<AbortHandle>,
    /// Tickets of the prefilled segments of a long prompt.
    tickets: Vec<String>,
    /// The engine's finish reason.
    finish_reason: Option<String>,
}

/// Executes the effects that the shell doesn't execute itself.
pub trait EffectHandler {
    /// Executes an effect, or spawns a task that does.
    fn handle(&self, shell: &Rc<Shell>, effect: Effect);
}

/// Creates the table of the daemon's clients. The memory that their messages may not occupy is
/// for connections, requests in progress, the state of the daemon and the allocator.
fn client_table(settings: &DaemonSettings) -> ClientTable {
    const MESSAGE_PART: usize = 4;
    let max_bytes = settings.memory_bytes / MESSAGE_PART;
    let clients = ClientTable::new(max_bytes);
    clients.set_max_bytes(max_bytes, settings.max_body_bytes);
    clients
}

/// One running daemon.
pub struct Shell {
    pub settings: DaemonSettings,
    /// Distinguishes this daemon from earlier ones of the same VM.
    pub boot: BootNumber,
    pub clock: Clock,
    /// HTTP client for backend servers and the platform.
    pub client: Client,
    pub platform: Rc<dyn Platform>,
    /// The clients of all listeners, and the memory that their messages occupy.
    pub clients: ClientTable,
    pub metrics: Metrics,
    /// Outgoing links to peers.
    pub links: PeerLinks,
    /// Claim writes waiting for the next transaction.
    pub claims: ClaimQueue,
    /// Manifest and parts of the active bundle.
    pub bundle_source: RefCell<Option<BundleSource>>,
    /// Bytes fetched for bundles since the daemon started.
    pub bundle_bytes: Cell<u64>,
    node: RefCell<Node>,
    open_requests: RefCell<HashMap<RequestKey, OpenRequest>>,
    /// The request being submitted, until it is admitted or refused.
    submitted: RefCell<Option<OpenRequest>>,
    /// Set if the reducer refuses the submitted request.
    refusal: RefCell<Option<Failure>>,
    /// Set if the reducer admits the submitted request.
    admitted: Cell<Option<(RequestKey, RequestId)>>,
    /// Tokens of the frame being fed to the reducer.
    frame_tokens: RefCell<Vec<String>>,
    server_addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    next_caller_key: Cell<u64>,
    stopped: Cell<bool>,
    suspension: SuspensionWatch,
    effects: Box<dyn EffectHandler>,
}

impl Shell {
    /// Creates the shell and its reducer.
    pub fn new(
        settings: DaemonSettings,
        boot: BootNumber,
        client: Client,
        platform: Rc<dyn Platform>,
        effects: Box<dyn EffectHandler>,
    ) -> Rc<Self> {
        let mut cfg = NodeConfig::new(
            settings.vm,
            boot,
            settings.failure_domain.clone(),
            boot.0 ^ u64::from(settings.vm.0),
        );
        cfg = cfg
            .with_node_list_ttl(settings.node_list_ttl)
            .with_reserve(settings.reserve);
        let clock = Clock::new();
        Rc::new(Self {
            suspension: SuspensionWatch::new(&clock),
            clients: client_table(&settings),
            node: RefCell::new(Node::new(cfg)),
            settings,
            boot,
            clock,
            client,
            platform,
            metrics: Metrics::new(),
            links: PeerLinks::default(),
            claims: ClaimQueue::default(),
            bundle_source: RefCell::default(),
            bundle_bytes: Cell::new(0),
            open_requests: RefCell::default(),
            submitted: RefCell::default(),
            refusal: RefCell::default(),
            admitted: Cell::default(),
            frame_tokens: RefCell::default(),
            server_addresses: RefCell::default(),
            next_caller_key: Cell::new(1),
            stopped: Cell::new(false),
            effects,
        })
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn metrics_text(&self) -> String {
        let traffic = Traffic {
            peer_bytes: self.links.sent_bytes(),
            bundle_bytes: self.bundle_bytes.get(),
        };
        self.metrics.encode(&self.node.borrow(), traffic)
    }

    /// Calls `f` with the reducer.
    pub fn with_node<T>(&self, f: impl FnOnce(&mut Node) -> T) -> T {
        f(&mut self.node.borrow_mut())
    }

    /// Returns the active bundle, if any.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.node.borrow().bundle().cloned()
    }

    /// Returns a dump of the reducer's state for operators.
    pub fn dump(&self) -> NodeDump {
        let now = self.now();
        self.node.borrow_mut().dump(now)
    }

    /// Closes idle connections if the machine was suspended since the last check.
    /// The remote ends may have closed them, and a call that must not be repeated
    /// would be lost on such a connection.
    pub fn check_suspension(&self) {
        if self.suspension.check(&self.clock).is_some() {
            self.client.close_idle();
        }
    }

    /// Returns whether the daemon has drained.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Feeds an event to the reducer and executes the resulting effects.
    pub fn step(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.node
            .borrow_mut()
            .step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Submits a request to the reducer for admission.
    ///
    /// # Errors
    ///
    /// Returns the failure if the request is refused.
    ///
    /// # Panics
    ///
    /// Panics if the reducer neither admits nor refuses the request.
    pub fn submit(
        self: &Rc<Self>,
        build: impl FnOnce(CallerKey) -> Arrival,
        tx: CallerTx,
        payload: Option<Rc<GeneratePayload>>,
    ) -> Result<(RequestKey, RequestId), Failure> {
        let caller = CallerKey(self.next_caller_key.get());
        self.next_caller_key.set(caller.0 + 1);
        *self.submitted.borrow_mut() = Some(OpenRequest {
            tx,
            payload,
            attempt: None,
            tickets: Vec::new(),
            finish_reason: None,
        });
        self.step(Event::Arrival(Box::new(build(caller))));
        self.submitted.borrow_mut().take();
        if let Some(failure) = self.refusal.borrow_mut().take() {
            return Err(failure);
        }
        let admitted = self.admitted.take();
        Ok(admitted.expect("the reducer must admit or refuse a request"))
    }

    /// Feeds a frame of an engine's stream to the reducer. Drops the request if
    /// the caller reads too slowly.
    pub fn feed_frame(self: &Rc<Self>, request: RequestKey, frame: EngineFrame) {
        let event = Event::Frame {
            request,
            id: frame.request,
            attempt: frame.attempt,
            offset: frame.offset,
            count: frame.tokens.len() as u32,
        };
        *self.frame_tokens.borrow_mut() = frame.tokens;
        self.step(event);
        if self.reads_too_slowly(request) {
            self.step(Event::CallerDisconnected(request));
        }
    }

    /// Returns whether the caller of a request has left too many tokens unread.
    fn reads_too_slowly(&self, request: RequestKey) -> bool {
        let open = self.open_requests.borrow();
        let max_unread_bytes = self.settings.max_unread_bytes;
        open.get(&request)
            .is_some_and(|open| !open.tx.is_within(max_unread_bytes))
    }

    /// Returns the address of a listed server.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.server_addresses.borrow().get(&server).copied()
    }

    /// Replaces the addresses of all servers.
    pub fn set_server_addresses(&self, addresses: HashMap<ServerId, SocketAddr>) {
        *self.server_addresses.borrow_mut() = addresses;
    }

    /// Adds the ticket of a prefilled segment to a request.
    pub fn add_ticket(&self, request: RequestKey, ticket: String) {
        if let Some(open) = self.open_requests.borrow_mut().get_mut(&request) {
            open.tickets.push(ticket);
        }
    }

    /// Returns the tickets of a request's prefilled segments.
    pub fn tickets(&self, request: RequestKey) -> Vec<String> {
        let open = self.open_requests.borrow();
        open.get(&request)
            .map_or_else(Vec::new, |o| o.tickets.clone())
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Admitted { request, id, .. } => {
                if let Some(open) = self.submitted.borrow_mut().take() {
                    self.open_requests.borrow_mut().insert(request, open);
                }
                self.admitted.set(Some((request, id)));
            }
            Effect::Refuse { failure, .. } => *self.refusal.borrow_mut() = Some(failure),
            Effect::Deliver { request, skip } => {
                let mut tokens = std::mem::take(&mut *self.frame_tokens.borrow_mut());
                tokens.drain(..skip as usize);
                self.send_to_caller(request, CallerEvent::Tokens(tokens));
            }
            Effect::Finish { request, result } => {
                let reason = self.finish_reason(request);
                self.close_request(request, CallerEvent::Finish { result, reason });
            }
            Effect::FinishStored { request, key } => {
                self.close_request(request, CallerEvent::Stored(key));
            }
            Effect::Peer { to, message } => self.links.send(to, *message),
            Effect::Log(event) => event.emit(),
            Effect::Stop => self.stopped.set(true),
            effect => self.effects.handle(self, effect),
        }
    }

    /// Sets the engine's finish reason for a request.
    pub fn set_finish_reason(&self, request: RequestKey, reason: String) {
        if let Some(open) = self.open_requests.borrow_mut().get_mut(&request) {
            open.finish_reason = Some(reason);
        }
    }

    fn finish_reason(&self, request: RequestKey) -> Option<String> {
        self.open_requests
            .borrow()
            .get(&request)?
            .finish_reason
            .clone()
    }

    /// Returns the engine payload of a generation; `None` for a service call.
    pub fn payload(&self, request: RequestKey) -> Option<Rc<GeneratePayload>> {
        self.open_requests.borrow().get(&request)?.payload.clone()
    }

    /// Removes the tickets of a request whose prefill starts over.
    pub fn clear_tickets(&self, request: RequestKey) {
        if let Some(open) = self.open_requests.borrow_mut().get_mut(&request) {
            open.tickets.clear();
        }
    }

    /// Sends an event to the caller's task of an open request.
    pub fn send_to_caller(&self, request: RequestKey, event: CallerEvent) {
        if let Some(open) = self.open_requests.borrow().get(&request) {
            open.tx.send(event);
        }
    }

    /// Removes a request and sends its last event. Aborting the running attempt's
    /// task closes its connection to the server.
    fn close_request(&self, request: RequestKey, last: CallerEvent) {
        let Some(open) = self.open_requests.borrow_mut().remove(&request) else {
            return;
        };
        if let Some(attempt) = open.attempt {
            attempt.abort();
        }
        open.tx.send(last);
    }

    /// Spawns the task of an attempt and aborts that of the previous attempt.
    pub fn spawn_attempt(
        &self,
        request: RequestKey,
        task: impl std::future::Future<Output = ()> + 'static,
    ) {
        let mut open = self.open_requests.borrow_mut();
        let Some(open) = open.get_mut(&request) else {
            return;
        };
        let (handle, registration) = AbortHandle::new_pair();
        if let Some(previous) = open.attempt.replace(handle) {
            previous.abort();
        }
        notchwalk_http::spawn(async move {
            let _ = Abortable::new(task, registration).await;
        });
    }

    /// Returns the id of the VM this daemon runs on.
    pub fn vm(&self) -> VmId {
        self.settings.vm
    }
}
