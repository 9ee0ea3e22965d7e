//! The reducer: one event in, effects out. This file holds its state and shows
//! which event goes where.
//!
//! | file | what it decides |
//! |---|---|
//! | `sending` | where a request goes |
//! | `waiting` | whether a request goes now, waits or is refused |
//! | `reserving` | memory set aside for a request |
//! | `ending` | what follows when sending it ended |
//! | `limits` | requests for servers that name limits |
//! | `suspects` | what that says of its content; which contents go to no server |

mod ending;
mod limits;
mod reserving;
mod sending;
mod suspects;
mod waiting;

use std::{collections::HashMap, time::Duration};

use notchwalk_core::Instant;
use notchwalk_quarantine::Quarantine;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::{
    first_try::FirstTries, placement::EnginePlacement, request::Request,
    reservations::Reservations, shares::Shares, wait_queue::WaitQueue, Board, Effect, Event, Fleet,
    RequestKey, RetryBudget, RouteTable, ServerChange, ServerKey, ServerWord, Service, SiteConfig,
    ToldLimit,
};

/// How long a peer's work counts at most after it told of any. The driver tells
/// sooner that a peer is gone; this holds if it does not.
const PEER_SILENCE: Duration = Duration::from_secs(10);
/// Time below which a request is not sent once more: a server would hardly
/// begin with it.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(60);
/// How long after its start an entry does not know what its peers have on the
/// engines: they tell all of it once a second.
const BLIND_FOR: Duration = Duration::from_millis(1_000);

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This entry's name, unlike that of any other.
    pub name: String,
    /// This entry's failure domain.
    pub failure_domain: String,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends allowed besides, over all entries.
    pub retry_slack: f64,
    /// The window over which both are counted.
    pub retry_window: Duration,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// Decides where requests go. See the crate's page.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    routes: RouteTable,
    services: HashMap<String, Service>,
    version: u64,
    configured_at: Option<Instant>,
    fleet: Fleet,
    board: Board,
    budget: RetryBudget,
    /// How many entries share what is allowed to all, if that is known.
    entries: Option<u32>,
    requests: SlotMap<RequestKey, Option<Request>>,
    reservations: Reservations,
    waiting: WaitQueue,
    /// What workspaces have on the servers, as of `shares_at`.
    shares: Shares,
    shares_at: Instant,
    first_tries: FirstTries,
    quarantine: Quarantine,
    reservation_number: u64,
    draining_from: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Router {
    /// Builds a router that knows neither configuration nor servers.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            budget: RetryBudget::new(config.retry_ratio, config.retry_slack, config.retry_window),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
            routes: RouteTable::default(),
            services: HashMap::new(),
            version: 0,
            configured_at: None,
            fleet: Fleet::default(),
            board: Board::default(),
            entries: None,
            requests: SlotMap::with_key(),
            reservations: Reservations::default(),
            waiting: WaitQueue::default(),
            shares: Shares::default(),
            shares_at: Instant::ZERO,
            first_tries: FirstTries::default(),
            quarantine: Quarantine::default(),
            reservation_number: 0,
            draining_from: None,
        }
    }

    /// Returns the version of the configuration in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes what peers are to be told at once of servers that name limits.
    pub fn take_limit_news(&mut self, now: Instant) -> Vec<ToldLimit> {
        self.fleet.take_limit_news(now)
    }

    /// Takes the servers that said in answers that they leave, to be told to peers.
    pub fn take_leaving_news(&mut self) -> Vec<u32> {
        self.fleet.take_leaving_news()
    }

    /// Returns what runs on the servers.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Tells whether this entry's own work changed since it was last taken.
    pub fn has_changed_work(&self) -> bool {
        self.board.has_changed()
    }

    /// Returns this entry's own work on the servers where it changed, and
    /// those servers' short ids.
    pub fn take_changed_work(&mut self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let changed = self.board.take_changed();
        self.own_work(changed.into_iter(), now)
    }

    /// Returns this entry's own work on all servers that anybody was ever known to use:
    /// of the others there is nothing to correct, and they are many.
    pub fn all_own_work(&self, now: Instant) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let servers = self.fleet.iter().map(|(key, _)| key);
        self.own_work(servers.filter(|&key| self.board.knows(key)), now)
    }

    fn own_work(
        &self,
        servers: impl Iterator<Item = ServerKey>,
        now: Instant,
    ) -> (Vec<u32>, Vec<crate::PeerWork>) {
        let (mut tags, mut work) = (Vec::new(), Vec::new());
        for key in servers {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            tags.push(server.tag);
            work.extend(self.board.own_work(key, server.tag, now));
        }
        (tags, work)
    }

    /// Returns the requests that are being served.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether a request could go to another server if the one that it is
    /// on were given up now.
    pub fn may_try_another(&self, key: RequestKey, now: Instant) -> bool {
        let Some(Some(request)) = self.requests.get(key) else {
            return false;
        };
        request.may_repeat()
            && request.ran_on + 1 < request.facts.route.max_attempts
            && request.left(now) >= LEAST_TIME_LEFT
            && self.budget.has_left(now, self.entries)
            && self.has_way(request, now)
    }

    /// Returns how many requests wait for engines, and the engine time of the
    /// long ones in milliseconds.
    pub fn waiting_long(&self) -> (usize, f64) {
        (self.waiting.len(), self.waiting.read_ms())
    }

    /// Returns the reservations in use.
    pub fn reservations(&self) -> usize {
        self.reservations.count()
    }

    /// Makes a key for a request that is about to arrive.
    pub fn new_request(&mut self) -> RequestKey {
        self.requests.insert(None)
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configured(site) => self.configure(&site, now),
            Event::Servers(change) => self.servers_changed(change, now, out),
            Event::ServerSaid { server, word } => {
                if self.fleet.note_word(server, word, now) {
                    let by_peer = false;
                    out.push(Effect::Heard {
                        server,
                        word,
                        by_peer,
                    });
                }
            }
            Event::ToldLeaving { servers } => self.told_leaving(&servers, out),
            Event::Arrived { request, facts } => self.arrived(request, facts, now, out),
            Event::Started { request } => self.started(request, now),
            Event::AttemptEnded { request, end } => self.attempt_ended(request, end, now, out),
            Event::Abandoned { request } => self.abandoned(request, now, out),
            Event::PeerWork {
                peer,
                servers,
                work,
            } => self.peer_work(peer, &servers, work, now),
            Event::PeerGone { peer } => {
                self.board.forget_peer(peer);
                self.fleet.forget_sends_of(peer);
                self.quarantine.forget_peer(peer);
            }
            Event::News { peer, news } => self.hear_news(peer, &news, now),
            Event::NotListening { server } => {
                self.quarantine.note_server_ended(server, true, now);
            }
            Event::Restored {
                content,
                left,
                times,
            } => self.quarantine.restore(content, left, times, now),
            Event::Release { content } => {
                self.quarantine.release(content, now);
            }
            Event::Group(group) => self.fleet.set_group(group, now),
            Event::Entries { count } => self.entries = Some(count),
            Event::Sharing(sharing) => self.fleet.set_sharing(sharing, now),
            Event::ToldLimits {
                peer,
                name,
                near,
                limits,
            } => {
                let near = near.then_some((peer, name.as_str()));
                self.told_limits(near, &limits, now, out);
            }
            Event::Reserved { request, failed } => self.reserved(request, &failed, now, out),
            Event::Unanswered(order) => self.reservations.note_unanswered(&order, now),
            Event::Tick => self.tick(now, out),
            Event::Draining { after } => self.draining_from = Some(now.after(after)),
        }
        self.tell_findings(out);
    }

    fn configure(&mut self, site: &SiteConfig, now: Instant) {
        self.budget.begin(now);
        if site.version < self.version {
            return;
        }
        self.configured_at.get_or_insert(now);
        self.version = site.version;
        self.routes = RouteTable::new(site);
        let routes = &site.routes;
        let is_route = |name: &str| routes.iter().any(|route| route.name == name);
        self.first_tries.retain(is_route);
        let services = site.services.iter().cloned();
        self.services = services.map(|s| (s.name.clone(), s)).collect();
    }

    fn servers_changed(&mut self, change: ServerChange, now: Instant, out: &mut Vec<Effect>) {
        for gone in self.fleet.apply(change, now) {
            self.board.forget_server(gone.key);
            if let Some(life) = self.fleet.ended_life(gone.key) {
                self.reservations.forget_at(life.addr);
            }
            // The end of one that left speaks neither for nor against a request.
            if !gone.left {
                self.quarantine.note_server_ended(gone.tag, false, now);
            }
            self.give_back_unbegun(gone.key, now, out);
        }
    }

    fn told_leaving(&mut self, servers: &[u32], out: &mut Vec<Effect>) {
        for &tag in servers {
            let Some(server) = self.fleet.note_told_leaving(tag) else {
                continue;
            };
            out.push(Effect::Heard {
                server,
                word: ServerWord::Leaving,
                by_peer: true,
            });
        }
    }

    fn peer_work(&mut self, peer: u32, servers: &[u32], work: Vec<crate::PeerWork>, now: Instant) {
        let fleet = &self.fleet;
        let keys: Vec<ServerKey> = servers.iter().filter_map(|&t| fleet.by_tag(t)).collect();
        let known = work.into_iter();
        let known = known.filter_map(|work| Some((fleet.by_tag(work.server)?, work)));
        self.board.replace_peer(peer, &keys, known, now);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.board.forget_silent_peers(now.before(PEER_SILENCE));
        self.quarantine.pass_time(now);
        self.check_servers(now, out);
        self.fleet.forget_ended_limits(now);
        for server in self.fleet.used_up_limits(now) {
            out.push(Effect::LimitUsedUp { server });
        }
        for order in self.reservations.due(now) {
            self.order(order, now, out);
        }
        self.send_waiting(now, out);
    }

    fn engine_placement(&self, service: &str, now: Instant) -> Option<EnginePlacement<'_>> {
        let parameters = self.services.get(service)?.engine.as_ref()?;
        Some(EnginePlacement {
            parameters,
            fleet: &self.fleet,
            board: &self.board,
            now,
            blind: self
                .configured_at
                .is_none_or(|at| now.since(at) < BLIND_FOR),
            salt: self.config.seed as u32 ^ salt_of(&self.config.name),
        })
    }
}

fn after_ms(now: Instant, ms: f64) -> Instant {
    now.after(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Returns a number that differs between names.
fn salt_of(name: &str) -> u32 {
    name.bytes()
        .fold(0, |salt, byte| salt.rotate_left(5) ^ u32::from(byte))
}
