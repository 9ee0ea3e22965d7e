//! What entries tell each other: that they live, whether they take requests,
//! and what work they have on which server.
//!
//! Datagrams with CBOR. Every message carries whole facts, never differences,
//! so that a lost one costs nothing but time, and the newest is all that
//! counts: a stream would deliver old facts late after a loss.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_platform::StoreVersion;
use notchwalk_quarantine::News;
use notchwalk_route::{Event, PeerWork, Told, ToldLimit};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{
    peers::PeerState,
    presence_record::PresenceRecord,
    shell::{Shell, Stopping},
};

/// Every so many heartbeats all work is told, not only what changed.
const WHOLE_EVERY: u32 = 4;
/// Works told in one datagram at most, so that it fits one packet.
const MAX_WORKS: usize = 60;
/// The same of what is told of suspects.
const MAX_NEWS: usize = 12;
/// Servers that leave told in one datagram at most. Releases empty a few at a time;
/// what doesn't fit is heard from the servers themselves.
const MAX_LEAVING: usize = 64;
/// Servers that name limits told in one datagram at most, for the same reason.
const MAX_LIMITS: usize = 48;
/// The largest datagram read, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;

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
    servers_changed: StoreVersion,
    /// The servers it tells about.
    servers: Vec<u32>,
    /// What it has there.
    work: Vec<PeerWork>,
    /// What it knows of requests under which servers ended.
    #[serde(default)]
    news: Vec<News>,
    /// Lives of servers that said to it that they leave.
    #[serde(default)]
    leaving: Vec<u32>,
    /// Servers that name limits, and what it sends to them.
    #[serde(default)]
    limits: Vec<ToldLimit>,
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
        leaving: Vec::new(),
        limits: Vec::new(),
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

async fn tell(socket: &UdpSocket, targets: &[SocketAddr], messages: Vec<PeerMessage>) {
    for message in messages {
        let mut buf = Vec::with_capacity(256);
        if let Err(e) = ciborium::into_writer(&message, &mut buf) {
            log::error!("a message to peers can't be written: {e}");
            continue;
        }
        for &target in targets {
            let (sent, returned) = socket.send_to(buf, target).await;
            buf = returned;
            // Nobody may listen there yet or any more; the next heartbeat
            // tells again.
            drop(sent);
        }
    }
}

/// Tells peers for ever what changed, at once: what they place in the
/// meantime, they place in ignorance of it.
pub(crate) async fn tell_changes(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    loop {
        shell.work_changed.wait().await;
        let now = shell.now();
        let (servers, work) = shell.router.borrow_mut().take_changed_work(now);
        let news = shell.router.borrow_mut().take_news();
        if shell.era_to_tell.take() {
            // The message says up to which version the store is known.
            let near = shell.peers.borrow().near();
            let told = message(&shell, Vec::new(), Vec::new());
            tell(&socket, &near, vec![told]).await;
        }
        let leaving = shell.router.borrow_mut().take_leaving_news();
        for some in leaving.chunks(MAX_LEAVING) {
            let mut told = message(&shell, Vec::new(), Vec::new());
            told.leaving = some.to_vec();
            let near = shell.peers.borrow().near();
            tell(&socket, &near, vec![told]).await;
        }
        let limits = shell.router.borrow_mut().take_limit_news(now);
        if !servers.is_empty() || !limits.is_empty() {
            let near = shell.peers.borrow().near();
            let told = with_limits(&shell, messages(&shell, servers, work), limits);
            tell(&socket, &near, told).await;
        }
        greet(&shell, &socket).await;
        if !news.is_empty() {
            // Such a request may come to any entry.
            let all = shell.peers.borrow().all();
            tell(&socket, &all, with_news(&shell, Vec::new(), &news)).await;
        }
    }
}

/// Adds what is told of servers that name limits, to the first message if it fits.
fn with_limits(
    shell: &Shell,
    mut messages: Vec<PeerMessage>,
    mut limits: Vec<ToldLimit>,
) -> Vec<PeerMessage> {
    while limits.len() > MAX_LIMITS {
        let mut told = message(shell, Vec::new(), Vec::new());
        told.limits = limits.split_off(limits.len() - MAX_LIMITS);
        messages.push(told);
    }
    if let Some(first) = messages.first_mut() {
        first.limits = limits;
    }
    messages
}

/// Tells entries that just started what servers said of themselves, before their next
/// heartbeat: they would send to those that leave, or more than a limit allows.
async fn greet(shell: &Rc<Shell>, socket: &UdpSocket) {
    let to_greet = shell.peers.borrow_mut().take_to_greet();
    if to_greet.is_empty() {
        return;
    }
    let told = heartbeat(shell, Vec::new(), Vec::new(), Told::All);
    tell(socket, &to_greet, told).await;
}

/// Returns the messages that say that this entry lives, and what servers said to it.
fn heartbeat(
    shell: &Shell,
    servers: Vec<u32>,
    work: Vec<PeerWork>,
    limits: Told,
) -> Vec<PeerMessage> {
    let mut told = messages(shell, servers, work);
    if let Some(first) = told.first_mut() {
        first.from = Some(shell.presence_record());
        // A datagram may have been lost, and an entry may have started since.
        let router = shell.router.borrow();
        first.leaving = router.fleet().leaving_to_tell(MAX_LEAVING);
        first.limits = router
            .fleet()
            .limits_to_tell(limits, MAX_LIMITS, shell.now());
    }
    told
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
        let told = heartbeat(&shell, servers, work, Told::FirstHand);
        let whole = beat % WHOLE_EVERY == 0;
        let news = shell.router.borrow().quarantine().retold(whole, now);
        let to = shell.peers.borrow_mut().next_heartbeat_to();
        tell(&socket, &to, with_news(&shell, told, &news)).await;
        shell.peers.borrow_mut().greet_again();
        greet(&shell, &socket).await;
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
    told.from = Some(shell.presence_record());
    let all = shell.peers.borrow().all();
    tell(socket, &all, vec![told]).await;
}

/// Notices peers that fell silent and tells the router how many live.
fn watch_peers(shell: &Rc<Shell>) {
    let now = shell.now();
    let (silent, time) = {
        let mut peers = shell.peers.borrow_mut();
        (peers.take_silent(now), peers.time_to_gone())
    };
    for peer in silent {
        if let Some(name) = peer.near {
            let facts = format!("entry={name} silent_ms={}", time.as_millis());
            LogEvent::new(LogEventKind::PeerDead, facts).emit();
        }
        shell.step(Event::PeerGone { peer: peer.number });
    }
    let alive = shell.peers.borrow().alive(now);
    shell.metrics.peers_alive.set(alive.into());
    count_entries(shell);
}

/// Tells the router how many entries share what is allowed to all, and which group this
/// one belongs to.
pub(crate) fn count_entries(shell: &Rc<Shell>) {
    let servers = shell.router.borrow().fleet().largest_service();
    shell.peers.borrow_mut().set_servers(servers);
    let group = shell.peers.borrow_mut().regroup(shell.now());
    shell.step(Event::Group(group));
    let sharing = shell.peers.borrow().sharing(shell.now());
    if let Some(count) = sharing {
        shell.step(Event::Entries { count });
        let sharing = shell.peers.borrow().sharing_servers(shell.now());
        shell.step(Event::Sharing(sharing));
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
    let state = PeerState {
        ready: message.ready,
        store_up: message.store_up,
        config_version: message.config_version,
        servers_changed: message.servers_changed,
    };
    let (boot, now) = (message.boot, shell.now());
    let heard = {
        let mut peers = shell.peers.borrow_mut();
        peers.hear(from, boot, message.from, state, now)
    };
    let Some(heard) = heard else {
        return;
    };
    let number = heard.number;
    if heard.is_new {
        shell.peers.borrow_mut().add_newcomer(from);
        shell.work_changed.raise();
    }
    if let Some(name) = heard.appeared {
        let facts = format!("entry={name} boot={boot}");
        LogEvent::new(LogEventKind::PeerAlive, facts).emit();
    }
    if heard.started_anew {
        shell.step(Event::PeerGone { peer: number });
    }
    if !message.news.is_empty() {
        shell.step(Event::News {
            peer: number,
            news: message.news,
        });
    }
    if !message.leaving.is_empty() {
        shell.step(Event::ToldLeaving {
            servers: message.leaving,
        });
    }
    if !message.limits.is_empty() {
        shell.step(Event::ToldLimits {
            peer: number,
            name: heard.name,
            near: heard.is_near,
            limits: message.limits,
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
