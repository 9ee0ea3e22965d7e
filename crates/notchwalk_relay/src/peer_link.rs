//! What entries tell each other: that they live, whether they take requests,
//! and what work they have on which server.
//!
//! Datagrams with CBOR. Every message carries whole facts, never differences,
//! so that a lost one costs nothing but time, and the newest is all that
//! counts: a stream would deliver old facts late after a loss.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_quarantine::News;
use notchwalk_route::{Event, PeerWork};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{
    presence::PresenceRecord,
    shell::{Shell, Stopping},
};

/// How often an entry says that it lives, among up to [`FEW_ENTRIES`].
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Entries up to which heartbeats come at that pace; among more of them they
/// come more slowly, so that an entry hears about as many a second.
const FEW_ENTRIES: usize = 12;
/// The slowest pace, as a multiple of [`HEARTBEAT`].
const SLOWEST_PACE: f64 = 4.0;
/// Every so many heartbeats all work is told, not only what changed.
const WHOLE_EVERY: u32 = 4;
/// Heartbeats that a peer misses before it gets no callers.
const MISSED_FOR_SILENCE: u32 = 4;
/// Heartbeats that a peer misses before it no longer counts for shares and its
/// work is forgotten, and the least time for that: a process that was killed is
/// back within it.
const MISSED_FOR_GONE: u32 = 6;
const LEAST_FOR_GONE: Duration = Duration::from_secs(3);
/// How long a silent entry counts among those that share what is allowed to all:
/// longer than cuts and restarts last, and short enough that records of VMs that
/// are gone for good don't add up.
const SHARES_FOR: Duration = Duration::from_secs(600);
/// Works told in one datagram at most, so that it fits one packet.
const MAX_WORKS: usize = 60;
/// The same of what is told of suspects.
const MAX_NEWS: usize = 12;
/// The largest datagram read, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;
/// Entries that follow the store's changes for all, at least; the rest read
/// when one of them knows of something newer. So many that a failure of some
/// VMs leaves others of them in touch.
const FEWEST_FOLLOWERS: usize = 6;
/// The same as a part of all entries: one in so many.
const FOLLOWERS_ONE_IN: usize = 6;

/// One message. Who sends it is known by its address.
#[derive(Debug, Serialize_tuple, Deserialize_tuple)]
struct PeerMessage {
    /// The sender's boot.
    boot: u64,
    /// Who sends it, in heartbeats.
    from: Option<PresenceRecord>,
    /// Whether it takes requests.
    ready: bool,
    /// Whether the store answers it.
    store_up: bool,
    /// The version of its configuration.
    config_version: u64,
    /// The newest change of the register of servers that it saw.
    servers_changed: u64,
    /// The servers it tells about.
    servers: Vec<u32>,
    /// What it has there.
    work: Vec<PeerWork>,
    /// What it knows of requests under which servers ended.
    #[serde(default)]
    news: Vec<News>,
}

#[derive(Debug)]
struct Peer {
    number: u32,
    record: PresenceRecord,
    heard: Option<Instant>,
    /// When it was last heard, or else put on record here.
    known: Instant,
    ready: bool,
    store_up: bool,
    config_version: u64,
    servers_changed: u64,
}

/// The other entries, by the address that peers reach them at.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_addr: HashMap<SocketAddr, Peer>,
    next_number: u32,
    /// Whether the records of all entries were read.
    records_read: bool,
}

impl Peers {
    fn peer(&mut self, record: &PresenceRecord, now: Instant) -> &mut Peer {
        let next = &mut self.next_number;
        self.by_addr.entry(record.peer).or_insert_with(|| {
            *next += 1;
            Peer {
                number: *next,
                record: record.clone(),
                heard: None,
                known: now,
                ready: false,
                store_up: false,
                config_version: 0,
                servers_changed: 0,
            }
        })
    }

    /// Adds an entry that is on record.
    pub fn add(&mut self, record: &PresenceRecord, now: Instant) {
        self.peer(record, now);
    }

    /// Returns how often this entry says that it lives.
    fn heartbeat(&self) -> Duration {
        let entries = (self.by_addr.len() + 1) as f64;
        let pace = (entries / FEW_ENTRIES as f64).clamp(1.0, SLOWEST_PACE);
        HEARTBEAT.mul_f64(pace)
    }

    /// Returns how long a peer may be silent until it counts as gone.
    fn time_to_gone(&self) -> Duration {
        (self.heartbeat() * MISSED_FOR_GONE).max(LEAST_FOR_GONE)
    }

    fn heard_since(&self, since: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.by_addr.values();
        peers.filter(move |peer| peer.heard.is_some_and(|heard| heard >= since))
    }

    /// Returns the peers that were heard lately.
    fn lively(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.heard_since(now.before(self.heartbeat() * MISSED_FOR_SILENCE))
    }

    /// Returns the addresses for callers of the peers that take requests.
    pub fn ready(&self, now: Instant) -> Vec<SocketAddr> {
        let ready = self.lively(now).filter(|peer| peer.ready);
        ready.map(|peer| peer.record.caller).collect()
    }

    /// Returns how many peers live.
    pub fn alive(&self, now: Instant) -> u32 {
        self.heard_since(now.before(self.time_to_gone())).count() as u32
    }

    /// Returns how many entries share what is allowed to all, this one included;
    /// `None` before the records of entries were read. Those that are on record
    /// count until they were silent for long: one that isn't heard, after a start
    /// or a cut, may repeat sends all the same.
    pub fn sharing(&self, now: Instant) -> Option<u32> {
        let since = now.before(SHARES_FOR);
        let peers = self.by_addr.values();
        let sharing = peers.filter(|peer| peer.known >= since);
        self.records_read.then(|| sharing.count() as u32 + 1)
    }

    /// Notes that the records of all entries were read.
    pub fn note_records_read(&mut self) {
        self.records_read = true;
    }

    /// Returns the newest configuration that a peer has.
    pub fn newest_config(&self) -> u64 {
        let versions = self.by_addr.values().map(|peer| peer.config_version);
        versions.max().unwrap_or(0)
    }

    /// Returns the newest change of the register of servers that a peer saw.
    pub fn newest_change_of_servers(&self) -> u64 {
        let versions = self.by_addr.values().map(|peer| peer.servers_changed);
        versions.max().unwrap_or(0)
    }

    /// Tells whether the entry `own` should follow the store's changes itself:
    /// it is one of the first by name among those that the store answers.
    pub fn is_follower(&self, own: &str, now: Instant) -> bool {
        let before = self.lively(now).filter(|peer| peer.store_up);
        let before = before
            .filter(|peer| peer.record.name.as_str() < own)
            .count();
        let entries = self.by_addr.len() + 1;
        before < FEWEST_FOLLOWERS.max(entries / FOLLOWERS_ONE_IN)
    }

    fn targets(&self) -> Vec<SocketAddr> {
        self.by_addr.keys().copied().collect()
    }
}

fn message(shell: &Shell, servers: Vec<u32>, work: Vec<PeerWork>) -> PeerMessage {
    PeerMessage {
        boot: shell.boot,
        from: None,
        ready: shell.is_ready(),
        store_up: shell.store_up.get(),
        config_version: shell.router.borrow().version(),
        servers_changed: shell.servers_changed.get(),
        servers,
        work,
        news: Vec::new(),
    }
}

/// Cuts what is told into messages that fit a packet; a server's work is never
/// divided, since a message replaces what was told of its servers.
fn messages(shell: &Shell, servers: Vec<u32>, work: Vec<PeerWork>) -> Vec<PeerMessage> {
    if work.len() <= MAX_WORKS {
        return vec![message(shell, servers, work)];
    }
    let mut messages = Vec::new();
    let (mut some, mut some_work) = (Vec::new(), Vec::new());
    for server in servers {
        some.push(server);
        some_work.extend(work.iter().filter(|work| work.server == server).cloned());
        if some_work.len() >= MAX_WORKS {
            let (some, some_work) = (std::mem::take(&mut some), std::mem::take(&mut some_work));
            messages.push(message(shell, some, some_work));
        }
    }
    messages.push(message(shell, some, some_work));
    messages
}

/// Adds what is told of suspects, in as many messages as it takes.
fn with_news(shell: &Shell, mut messages: Vec<PeerMessage>, news: &[News]) -> Vec<PeerMessage> {
    for some in news.chunks(MAX_NEWS) {
        let mut told = message(shell, Vec::new(), Vec::new());
        told.news = some.to_vec();
        messages.push(told);
    }
    messages
}

async fn tell(shell: &Shell, socket: &UdpSocket, messages: Vec<PeerMessage>) {
    let targets = shell.peers.borrow().targets();
    for message in messages {
        let mut buf = Vec::with_capacity(256);
        if let Err(e) = ciborium::into_writer(&message, &mut buf) {
            log::error!("a message to peers can't be written: {e}");
            continue;
        }
        for &target in &targets {
            let (sent, returned) = socket.send_to(buf, target).await;
            buf = returned;
            // Nobody may listen there yet or any more; the next heartbeat
            // tells again.
            drop(sent);
        }
    }
}

/// Tells peers for ever what changed, at once: what they place in the
/// meantime, they place in ignorance of it (docs/BENCHES.md).
pub(crate) async fn tell_changes(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    loop {
        shell.work_changed.wait().await;
        let now = shell.now();
        let (servers, work) = shell.router.borrow_mut().take_changed_work(now);
        let news = shell.router.borrow_mut().take_news();
        let mut told = Vec::new();
        if !servers.is_empty() {
            told = messages(&shell, servers, work);
        }
        tell(&shell, &socket, with_news(&shell, told, &news)).await;
    }
}

/// Says for ever that this entry lives.
pub(crate) async fn heartbeats(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut beat = 0u32;
    loop {
        let now = shell.now();
        let (servers, work) = match beat % WHOLE_EVERY {
            0 => shell.router.borrow().all_own_work(now),
            _ => (Vec::new(), Vec::new()),
        };
        let mut told = messages(&shell, servers, work);
        if let Some(first) = told.first_mut() {
            first.from = Some(PresenceRecord::of(&shell));
        }
        let whole = beat % WHOLE_EVERY == 0;
        let news = shell.router.borrow().quarantine().retold(whole, now);
        tell(&shell, &socket, with_news(&shell, told, &news)).await;
        beat = beat.wrapping_add(1);
        watch_peers(&shell);
        let pause = shell.peers.borrow().heartbeat();
        monoio::time::sleep(pause).await;
    }
}

/// Tells peers at once that this entry stops.
pub(crate) async fn tell_stopping(shell: &Shell, socket: &UdpSocket) {
    debug_assert!(shell.stopping.get() != Stopping::No);
    let mut told = message(shell, Vec::new(), Vec::new());
    told.from = Some(PresenceRecord::of(shell));
    tell(shell, socket, vec![told]).await;
}

/// Notices peers that fell silent and tells the router how many live.
fn watch_peers(shell: &Rc<Shell>) {
    let now = shell.now();
    let mut gone = Vec::new();
    {
        let mut peers = shell.peers.borrow_mut();
        let time = peers.time_to_gone();
        for peer in peers.by_addr.values_mut() {
            let silent = peer.heard.is_some_and(|heard| heard < now.before(time));
            if !silent {
                continue;
            }
            peer.heard = None;
            peer.ready = false;
            gone.push(peer.number);
            let facts = format!("entry={} silent_ms={}", peer.record.name, time.as_millis());
            LogEvent::new(LogEventKind::PeerDead, facts).emit();
        }
    }
    for peer in gone {
        shell.step(Event::PeerGone { peer });
    }
    let alive = shell.peers.borrow().alive(now);
    shell.metrics.peers_alive.set(alive.into());
    count_entries(shell);
}

/// Tells the router how many entries share what is allowed to all.
pub(crate) fn count_entries(shell: &Rc<Shell>) {
    let sharing = shell.peers.borrow().sharing(shell.now());
    if let Some(count) = sharing {
        shell.step(Event::Entries { count });
    }
}

/// Hears peers for ever.
pub(crate) async fn hear(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    const PAUSE: Duration = Duration::from_millis(50);
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (received, returned) = socket.recv_from(buf).await;
        buf = returned;
        let Ok((n, from)) = received else {
            // A port that was closed reports here; go on after a pause.
            monoio::time::sleep(PAUSE).await;
            continue;
        };
        match ciborium::from_reader::<PeerMessage, _>(&buf[..n]) {
            Ok(message) => heard(&shell, from, message),
            Err(e) => {
                let facts = format!("from={from} reason={e:?}");
                LogEvent::new(LogEventKind::PeerGarbage, facts).emit();
            }
        }
    }
}

fn heard(shell: &Rc<Shell>, from: SocketAddr, message: PeerMessage) {
    if from == shell.settings.peer {
        return;
    }
    let now = shell.now();
    let (number, started_anew) = {
        let mut peers = shell.peers.borrow_mut();
        if let Some(record) = &message.from {
            peers.add(record, now);
        }
        let Some(peer) = peers.by_addr.get_mut(&from) else {
            // Its first heartbeat got lost; the next one says who it is.
            return;
        };
        if message.boot < peer.record.boot {
            return;
        }
        let started_anew = message.boot > peer.record.boot;
        if peer.heard.is_none() || started_anew {
            let facts = format!("entry={} boot={}", peer.record.name, message.boot);
            LogEvent::new(LogEventKind::PeerAlive, facts).emit();
        }
        peer.record.boot = message.boot;
        if let Some(record) = message.from {
            peer.record = record;
        }
        peer.heard = Some(now);
        peer.known = now;
        peer.ready = message.ready;
        peer.store_up = message.store_up;
        peer.config_version = message.config_version;
        peer.servers_changed = message.servers_changed;
        (peer.number, started_anew)
    };
    if started_anew {
        shell.step(Event::PeerGone { peer: number });
    }
    if !message.news.is_empty() {
        shell.step(Event::News {
            peer: number,
            news: message.news,
        });
    }
    if !message.servers.is_empty() {
        shell.step(Event::PeerWork {
            peer: number,
            servers: message.servers,
            work: message.work,
        });
    }
}
