//! The reducer: takes one event and appends effects. This file holds the state and dispatches
//! the events.
//!
//! | file | responsibility |
//! |---|---|
//! | `sending` | assigns requests to servers |
//! | `waiting` | decides whether a request is sent, queued or refused |
//! | `reserving` | reserves engine memory for oversized prompts |
//! | `ending` | handles the end of attempts and requests |
//! | `link_checks` | checks the links to the servers of a service |
//! | `forwarding` | forwards requests to peers that reach their service |
//! | `limits` | queues requests for rate-limited servers |
//! | `shutdown` | limits what is still served before this node exits |
//! | `suspects` | attributes crashes to request contents and quarantines them |

mod ending;
mod forwarding;
mod limits;
mod link_checks;
mod reserving;
mod sending;
mod shutdown;
mod suspects;
mod waiting;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::Quarantine;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::{
    first_attempt::FirstAttempts, forward_peers::ForwardPeers, links::Links,
    placement::EnginePlacement, request::Request, reservations::Reservations,
    retry_budget::RetryBudgets, retry_history::RetryHistory, shares::Shares, wait_queue::WaitQueue,
    DrainSchedule, Effect, Event, Fleet, LimitUpdate, LoadView, ProcessRetries, RequestKey,
    RetryBudget, RetryUsage, RouteTable, ServerChange, ServerKey, ServerNotice, Service,
    ServiceRetries, SiteConfig,
};

/// Time without updates after which a peer's work expires. The driver usually reports earlier
/// that the peer is gone.
const PEER_WORK_TTL: Duration = Duration::from_secs(10);
/// Minimum time left to the deadline for another attempt. With less, a server would hardly
/// start the request.
const MIN_TIME_LEFT: Duration = Duration::from_millis(60);
/// Time after start until all peers have broadcast their work, which they do once a second.
const PEER_SYNC_TIME: Duration = Duration::from_millis(1_000);

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The node's name, unique among all nodes.
    pub name: String,
    /// The node's failure domain.
    pub failure_domain: String,
    /// Allowed retries per request.
    pub retry_ratio: f64,
    /// Further allowed retries, shared by all nodes.
    pub retry_slack: f64,
    /// The window over which requests and retries are counted.
    pub retry_window: Duration,
    /// The boot number of the process; increases with each start on its VM.
    pub boot: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Decides which server each request is sent to, and when. See the crate documentation.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    routes: RouteTable,
    services: HashMap<String, Service>,
    version: u64,
    configured_at: Option<Instant>,
    fleet: Fleet,
    load_view: LoadView,
    retry_budgets: RetryBudgets,
    /// Number of nodes, if known.
    node_count: Option<u32>,
    requests: SlotMap<RequestKey, Option<Request>>,
    reservations: Reservations,
    queue: WaitQueue,
    /// Usage by workspace as of `shares_updated_at`.
    shares: Shares,
    shares_updated_at: Instant,
    first_attempts: FirstAttempts,
    quarantine: Quarantine,
    links: Links,
    forward_peers: ForwardPeers,
    reservation_number: u64,
    draining: Option<DrainSchedule>,
    rng: Pcg64Mcg,
}

impl Router {
    /// Creates a router without configuration and servers.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            retry_budgets: RetryBudgets::new(
                RetryBudget::new(config.retry_ratio, config.retry_slack, config.retry_window),
                RetryHistory::new(&config.name, config.boot, config.retry_window),
            ),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
            routes: RouteTable::default(),
            services: HashMap::new(),
            version: 0,
            configured_at: None,
            fleet: Fleet::default(),
            load_view: LoadView::default(),
            node_count: None,
            requests: SlotMap::with_key(),
            reservations: Reservations::default(),
            queue: WaitQueue::default(),
            shares: Shares::default(),
            shares_updated_at: Instant::ZERO,
            first_attempts: FirstAttempts::default(),
            quarantine: Quarantine::default(),
            links: Links::default(),
            forward_peers: ForwardPeers::default(),
            reservation_number: 0,
            draining: None,
        }
    }

    /// Returns the version of the active configuration, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the active routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the registered servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of servers of the largest configured service.
    pub fn largest_service_size(&self) -> usize {
        let sizes = self.services.keys();
        let sizes = sizes.map(|service| self.fleet.of_service(service).len());
        sizes.max().unwrap_or(0)
    }

    /// Returns the engine at this address. Servers of other services may be registered there
    /// as well.
    pub fn engine_at(&self, addr: SocketAddr) -> Option<ServerKey> {
        let is_engine = |service: &str| {
            let service = self.services.get(service);
            service.is_some_and(|service| service.engine.is_some())
        };
        self.fleet.by_addr_and_service(addr, is_engine)
    }

    /// Takes the rate-limit updates to broadcast to peers.
    pub fn take_limit_updates(&mut self, now: Instant) -> Vec<LimitUpdate> {
        self.fleet.take_limit_updates(now)
    }

    /// Takes the short ids of servers that announced that they are draining, to broadcast
    /// to peers.
    pub fn take_draining_updates(&mut self) -> Vec<u32> {
        self.fleet.take_draining_updates()
    }

    /// Returns the load view: the known work on all servers.
    pub fn load_view(&self) -> &LoadView {
        &self.load_view
    }

    /// Returns whether this node's own work changed since the last
    /// [`Self::take_changed_work`].
    pub fn has_changed_work(&self) -> bool {
        self.load_view.has_changed()
    }

    /// Takes the short ids of the servers on which this node's own work changed, and that
    /// work.
    pub fn take_changed_work(&mut self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let changed = self.load_view.take_changed();
        self.own_work(changed.into_iter(), now)
    }

    /// Returns this node's own work on all servers that ever had work. Peers need no update
    /// about the others.
    pub fn all_own_work(&self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let servers = self.fleet.iter().map(|(key, _)| key);
        self.own_work(servers.filter(|&key| self.load_view.has_had_work(key)), now)
    }

    fn own_work(
        &self,
        servers: impl Iterator<Item = ServerKey>,
        now: Instant,
    ) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let (mut short_ids, mut work) = (Vec::new(), Vec::new());
        for key in servers {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            short_ids.push(server.short_id);
            work.extend(self.load_view.own_work(key, server.short_id, now));
        }
        (short_ids, work)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request could be sent to another server if its current attempt
    /// were cancelled now.
    pub fn may_retry_elsewhere(&self, key: RequestKey, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        request.may_repeat()
            && request.started_on + 1 < request.max_attempts()
            && request.time_left(now) >= MIN_TIME_LEFT
            && (self.peer_to_pay_retry(request, now).is_some()
                || self
                    .retry_budgets
                    .usage(&request.service, now)
                    .allows_retry()
                    && self.has_alternative(request, now))
    }

    /// Returns the usage of the retry budgets of all services that had requests.
    pub fn retry_usages(&self, now: Instant) -> Vec<(&str, RetryUsage)> {
        self.retry_budgets.usages(now)
    }

    /// Returns the recent retries of this process, to publish to peers.
    pub fn own_retries(&self, now: Instant) -> Vec<ServiceRetries> {
        self.retry_budgets.to_publish(now)
    }

    /// Returns whether all retries of this node within the window are known, including those
    /// of its previous processes.
    pub fn knows_own_retries(&self, now: Instant) -> bool {
        self.retry_budgets.history().is_complete(now)
    }

    /// Returns whether this node may have sent retries within the window.
    pub fn may_have_retried(&self, now: Instant) -> bool {
        let usages = self.retry_usages(now);
        !self.knows_own_retries(now) || usages.iter().any(|(_, usage)| usage.retries > 0)
    }

    /// Returns the recent retries of other processes, for a node that has just started; `None`
    /// if they are not all known.
    pub fn retry_history(&self, now: Instant) -> Option<Vec<ProcessRetries>> {
        self.retry_budgets.history().to_publish(now)
    }

    /// Returns the number of queued requests, and the total prefill time of the long ones
    /// in milliseconds.
    pub fn queued_work(&self) -> (usize, f64) {
        (self.queue.len(), self.queue.prefill_ms())
    }

    /// Returns the number of active reservations.
    pub fn reservations(&self) -> usize {
        self.reservations.count()
    }

    /// Creates a key for a request that is about to arrive.
    pub fn new_request(&mut self) -> RequestKey {
        self.requests.insert(None)
    }

    /// Processes one event and appends the resulting effects.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configured(site) => self.configure(&site, now),
            Event::Servers(change) => self.apply_server_change(change, now, out),
            Event::NoticeReceived { server, notice } => {
                if self.fleet.apply_notice(server, notice, now) {
                    let reported_by_peer = false;
                    out.push(Effect::NewNotice {
                        server,
                        notice,
                        reported_by_peer,
                    });
                }
            }
            Event::DrainingReported { servers } => self.apply_reported_draining(&servers, out),
            Event::Arrived { request, facts } => self.handle_arrived(request, facts, now, out),
            Event::Started { request } => self.handle_started(request, now),
            Event::Survived { request } => self.handle_survived(request, now),
            Event::AttemptEnded { request, end } => {
                self.handle_attempt_ended(request, end, now, out)
            }
            Event::Abandoned { request } => self.handle_abandoned(request, now, out),
            Event::PeerWork {
                peer,
                servers,
                work,
            } => self.apply_peer_work(peer, &servers, work, now),
            Event::PeerStatus { peer, status } => self.handle_peer_status(peer, status, now),
            Event::ServiceSilent { server } => self.handle_service_silent(server, now, out),
            Event::LinksChecked { service, passed } => {
                self.handle_links_checked(service, passed, now, out)
            }
            Event::PeerExpired { peer } => {
                self.forget_forward_peer(peer);
                self.load_view.remove_peer(peer);
                self.fleet.remove_peer_sends(peer);
                self.quarantine.remove_peer(peer);
            }
            Event::QuarantineUpdates { peer, updates } => {
                self.apply_quarantine_updates(peer, &updates, now)
            }
            Event::PortClosed { server } => self.handle_port_closed(server, now, out),
            Event::QuarantineRestored {
                content,
                kind,
                left,
                quarantine_count,
            } => self
                .quarantine
                .restore(content, kind, left, quarantine_count, now),
            Event::QuarantineReleased { content } => {
                self.quarantine.release(content, now);
            }
            Event::Group(group) => self.fleet.set_group(group, now),
            Event::NodeCount { count } => {
                self.node_count = Some(count);
                self.retry_budgets.set_nodes(count);
            }
            Event::PeerRetries {
                name,
                boot,
                services,
            } => {
                let history = self.retry_budgets.history_mut();
                history.record(&name, boot, &services, now);
            }
            Event::NoPreviousProcess => self.retry_budgets.history_mut().set_first_process(),
            Event::RetryHistory { processes } => {
                self.retry_budgets.history_mut().adopt(&processes, now);
            }
            Event::LimitSharing(sharing) => self.fleet.set_sharing(sharing, now),
            Event::LimitUpdates {
                peer,
                name,
                is_in_group,
                updates,
            } => {
                let group_peer = is_in_group.then_some((peer, name.as_str()));
                self.apply_peer_limits(group_peer, &updates, now, out);
            }
            Event::Reserved { request, failed } => self.handle_reserved(request, &failed, now, out),
            Event::ReservationUnanswered(order) => self.reservations.record_unanswered(&order, now),
            Event::Tick => self.tick(now, out),
            Event::MachineResumed { suspended } => self.quarantine.record_resume(suspended, now),
            Event::NodeDraining(schedule) => self.start_draining(schedule),
        }
        self.emit_findings(out);
    }

    fn configure(&mut self, site: &SiteConfig, now: Instant) {
        self.retry_budgets.start(now);
        if site.version < self.version {
            return;
        }
        self.configured_at.get_or_insert(now);
        self.version = site.version;
        self.routes = RouteTable::new(site);
        let routes = &site.routes;
        let is_route = |name: &str| routes.iter().any(|route| route.name == name);
        self.first_attempts.retain(is_route);
        let services = site.services.iter().cloned();
        self.services = services.map(|s| (s.name.clone(), s)).collect();
        self.links.retain(|name| self.services.contains_key(name));
    }

    fn apply_server_change(&mut self, change: ServerChange, now: Instant, out: &mut Vec<Effect>) {
        for removed in self.fleet.apply(change, now) {
            self.load_view.remove_server(removed.key);
            if let Some(ended) = self.fleet.ended_incarnation(removed.key) {
                self.reservations.remove_at(ended.addr);
            }
            // The end of a draining server is not a crash.
            if !removed.was_draining {
                self.quarantine
                    .record_server_ended(removed.short_id, false, now);
            }
            self.release_unstarted_reservations(removed.key, now, out);
        }
    }

    fn apply_reported_draining(&mut self, servers: &[u32], out: &mut Vec<Effect>) {
        for &short_id in servers {
            let Some(server) = self.fleet.apply_reported_draining(short_id) else {
                continue;
            };
            out.push(Effect::NewNotice {
                server,
                notice: ServerNotice::Draining,
                reported_by_peer: true,
            });
        }
    }

    fn apply_peer_work(
        &mut self,
        peer: u32,
        servers: &[u32],
        work: Vec<crate::PeerWork>,
        now: Instant,
    ) {
        let fleet = &self.fleet;
        let keys: Vec<ServerKey> = servers
            .iter()
            .filter_map(|&id| fleet.by_short_id(id))
            .collect();
        let known = work.into_iter();
        let known = known.filter_map(|work| Some((fleet.by_short_id(work.server)?, work)));
        self.load_view.replace_peer_work(peer, &keys, known, now);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.load_view.remove_stale_peers(now.before(PEER_WORK_TTL));
        self.quarantine.tick(now);
        self.probe_servers(now, out);
        self.start_link_checks(now, out);
        self.fleet.remove_ended_limits(now);
        for server in self.fleet.exhausted_limits(now) {
            out.push(Effect::LimitExhausted { server });
        }
        for order in self.reservations.due(now) {
            self.send_order(order, now, out);
        }
        self.refuse_late_reservations(now, out);
        self.dispatch_queued(now, out);
    }

    fn engine_placement(&self, service: &str, now: Instant) -> Option<EnginePlacement<'_>> {
        let parameters = self.services.get(service)?.engine.as_ref()?;
        Some(EnginePlacement {
            parameters,
            fleet: &self.fleet,
            load_view: &self.load_view,
            now,
            peer_load_unknown: self
                .configured_at
                .is_none_or(|at| now.since(at) < PEER_SYNC_TIME),
            salt: self.config.seed as u32 ^ salt_of(&self.config.name),
        })
    }
}

fn after_ms(now: Instant, ms: f64) -> Instant {
    now.after(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Returns a hash of a node's name, which is part of the placement salt.
fn salt_of(name: &str) -> u32 {
    name.bytes()
        .fold(0, |salt, byte| salt.rotate_left(5) ^ u32::from(byte))
}
