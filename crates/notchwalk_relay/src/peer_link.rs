//! Messages between peers: liveness, readiness, work in progress on the servers, and
//! notices of servers.
//!
//! Messages are CBOR datagrams. Each carries complete state rather than differences, so
//! that the newest message supersedes older ones and the next makes up for a lost one.
//! A stream would deliver outdated state late after a loss.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_platform::StoreVersion;
use notchwalk_quarantine::{Fingerprint, QuarantineUpdate};
use notchwalk_route::{
    Event, LimitScope, LimitUpdate, PeerStatus, PeerWork, ProcessRetries, ServiceRetries,
};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{peers::PeerState, presence_record::PresenceRecord, shell::Shell};

/// One in this many heartbeats carries all work in progress.
const HEARTBEATS_PER_FULL_UPDATE: u32 = 4;
/// Maximum number of work items per datagram, so that it fits one packet.
const MAX_WORK_PER_DATAGRAM: usize = 60;
/// Maximum number of different suspect updates per datagram.
const MAX_SUSPECTS_PER_DATAGRAM: usize = 12;
/// Maximum number of contents and parts that the suspect updates of a datagram are about, of 18
/// bytes each.
const MAX_SUBJECTS_PER_DATAGRAM: usize = 48;
/// Maximum number of draining servers per datagram. Rollouts drain a few at a time;
/// nodes detect any others by the servers' own responses.
const MAX_DRAINING_PER_DATAGRAM: usize = 64;
/// Maximum number of servers with rate limits per datagram.
const MAX_LIMITS_PER_DATAGRAM: usize = 48;
/// Maximum number of processes with their retries per datagram.
const MAX_PROCESSES_PER_DATAGRAM: usize = 160;
/// The largest datagram read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// A message between peers. Its source address identifies the sender.
#[derive(Debug, Serialize_tuple, Deserialize_tuple)]
struct PeerMessage {
    /// The sender's boot number.
    boot: u64,
    /// The sender's presence record, in heartbeats.
    record: Option<PresenceRecord>,
    /// Whether the sender accepts requests.
    ready: bool,
    /// Whether the store responds to the sender.
    store_up: bool,
    /// The version of the sender's configuration.
    config_version: u64,
    /// The newest change of the server table that the sender saw.
    newest_server_change: StoreVersion,
    /// The short ids of the servers that `work` covers.
    servers: Vec<u32>,
    /// The sender's work in progress on `servers`.
    work: Vec<PeerWork>,
    /// Updates on suspected request contents and parts of prompts.
    #[serde(default)]
    suspects: Vec<SuspectUpdate>,
    /// Incarnations of servers that announced to the sender that they are draining.
    #[serde(default)]
    draining: Vec<u32>,
    /// Updates on servers with rate limits: the limits, and the sender's use of them.
    #[serde(default)]
    limits: Vec<LimitUpdate>,
    /// The sender's recent retries; `None` outside heartbeats and changes of links.
    #[serde(default)]
    retries: Option<Vec<ServiceRetries>>,
    /// The recent retries of other processes, for a node that has just started; `None` if
    /// they are not all known.
    #[serde(default)]
    retry_history: Option<Vec<ProcessRetries>>,
    /// The short ids of the services that the sender can't reach; `None` outside heartbeats and
    /// updates about them.
    #[serde(default)]
    unreachable: Option<Vec<u32>>,
    /// Time since the store last responded to the sender, in milliseconds; `None` if it never
    /// did.
    #[serde(default)]
    store_response_age_ms: Option<u64>,
}

/// An update on a suspect, and the further subjects that it holds for: a prompt may have more
/// than a thousand parts that crashed together.
#[derive(Debug, Serialize_tuple, Deserialize_tuple)]
struct SuspectUpdate {
    update: QuarantineUpdate,
    also: Vec<Fingerprint>,
}

impl SuspectUpdate {
    /// Joins consecutive updates that differ only in their subjects, up to `max_subjects` each.
    fn join(updates: &[QuarantineUpdate], max_subjects: usize) -> Vec<Self> {
        let batches = updates.chunk_by(QuarantineUpdate::differs_in_subject);
        let batches = batches.flat_map(|batch| batch.chunks(max_subjects));
        let joined = batches.filter_map(|batch| {
            let (&update, also) = batch.split_first()?;
            Some(Self {
                update,
                also: also.iter().filter_map(QuarantineUpdate::subject).collect(),
            })
        });
        joined.collect()
    }

    /// Returns the updates that were joined.
    fn split(&self) -> impl Iterator<Item = QuarantineUpdate> + use<'_> {
        let also = self.also.iter();
        let also = also.map(|&subject| self.update.with_subject(subject));
        std::iter::once(self.update).chain(also)
    }

    fn subject_count(&self) -> usize {
        self.also.len() + 1
    }
}

fn message(shell: &Shell, servers: Vec<u32>, work: Vec<PeerWork>) -> PeerMessage {
    PeerMessage {
        boot: shell.boot,
        record: None,
        ready: shell.is_ready(),
        store_up: shell.store_up.get(),
        config_version: shell.router.borrow().version(),
        newest_server_change: shell.newest_server_change.get(),
        servers,
        work,
        suspects: Vec::new(),
        draining: Vec::new(),
        limits: Vec::new(),
        retries: None,
        retry_history: None,
        unreachable: None,
        store_response_age_ms: shell
            .store_responded_at
            .get()
            .map(|at| shell.now().since(at).as_millis() as u64),
    }
}

/// Splits updates into messages that fit a packet. The work of a server is never split,
/// since a message replaces the earlier work of its servers.
fn messages(shell: &Shell, servers: Vec<u32>, work: Vec<PeerWork>) -> Vec<PeerMessage> {
    if work.len() <= MAX_WORK_PER_DATAGRAM {
        return vec![message(shell, servers, work)];
    }
    let mut messages = Vec::new();
    let (mut chunk, mut chunk_work) = (Vec::new(), Vec::new());
    for server in servers {
        chunk.push(server);
        chunk_work.extend(work.iter().filter(|work| work.server == server).cloned());
        if chunk_work.len() >= MAX_WORK_PER_DATAGRAM {
            let (chunk, chunk_work) = (std::mem::take(&mut chunk), std::mem::take(&mut chunk_work));
            messages.push(message(shell, chunk, chunk_work));
        }
    }
    messages.push(message(shell, chunk, chunk_work));
    messages
}

/// Appends suspect updates, in as many messages as necessary.
fn add_suspects(
    shell: &Shell,
    mut messages: Vec<PeerMessage>,
    suspects: &[QuarantineUpdate],
) -> Vec<PeerMessage> {
    let mut joined = SuspectUpdate::join(suspects, MAX_SUBJECTS_PER_DATAGRAM)
        .into_iter()
        .peekable();
    while joined.peek().is_some() {
        let mut outgoing = message(shell, Vec::new(), Vec::new());
        let mut subjects = 0;
        while outgoing.suspects.len() < MAX_SUSPECTS_PER_DATAGRAM {
            let fits = |next: &SuspectUpdate| {
                subjects == 0 || subjects + next.subject_count() <= MAX_SUBJECTS_PER_DATAGRAM
            };
            let Some(next) = joined.next_if(fits) else {
                break;
            };
            subjects += next.subject_count();
            outgoing.suspects.push(next);
        }
        messages.push(outgoing);
    }
    messages
}

async fn send(socket: &UdpSocket, targets: &[SocketAddr], messages: Vec<PeerMessage>) {
    for message in messages {
        let mut buf = Vec::with_capacity(256);
        if let Err(e) = ciborium::into_writer(&message, &mut buf) {
            log::error!("can't encode a peer message: {e}");
            continue;
        }
        for &target in targets {
            let (sent, returned) = socket.send_to(buf, target).await;
            buf = returned;
            // The peer may be down; the next heartbeat repeats the message.
            drop(sent);
        }
    }
}

/// Publishes changes to peers as they occur, so that their placements take them into
/// account.
pub(crate) async fn publish_changes(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    loop {
        shell.publish_wake.wait().await;
        let now = shell.now();
        let (servers, work) = shell.router.borrow_mut().take_changed_work(now);
        let suspects = shell.router.borrow_mut().take_quarantine_updates();
        if shell.epoch_to_publish.take() {
            // Every message carries the epoch, in its store version.
            let group = shell.peers.borrow().group_peers();
            let outgoing = message(&shell, Vec::new(), Vec::new());
            send(&socket, &group, vec![outgoing]).await;
        }
        if shell.links_to_publish.take() {
            let group = shell.peers.borrow().group_peers();
            let mut outgoing = message(&shell, Vec::new(), Vec::new());
            outgoing.unreachable = Some(shell.router.borrow().unreachable_service_ids());
            // A lost link may use up the retry budget, which a restarted process must know.
            outgoing.retries = Some(shell.router.borrow().own_retries(now));
            send(&socket, &group, vec![outgoing]).await;
        }
        let draining = shell.router.borrow_mut().take_draining_updates();
        for chunk in draining.chunks(MAX_DRAINING_PER_DATAGRAM) {
            let mut outgoing = message(&shell, Vec::new(), Vec::new());
            outgoing.draining = chunk.to_vec();
            let group = shell.peers.borrow().group_peers();
            send(&socket, &group, vec![outgoing]).await;
        }
        let limits = shell.router.borrow_mut().take_limit_updates(now);
        if !servers.is_empty() || !limits.is_empty() {
            let group = shell.peers.borrow().group_peers();
            let outgoing = add_limits(&shell, messages(&shell, servers, work), limits);
            send(&socket, &group, outgoing).await;
        }
        sync_new_peers(&shell, &socket).await;
        if !suspects.is_empty() {
            // Callers may retry such a request on any node.
            let all = shell.peers.borrow().all_peers();
            send(&socket, &all, add_suspects(&shell, Vec::new(), &suspects)).await;
        }
    }
}

/// Adds limit updates to the first message; those that don't fit go into further
/// messages.
fn add_limits(
    shell: &Shell,
    mut messages: Vec<PeerMessage>,
    mut limits: Vec<LimitUpdate>,
) -> Vec<PeerMessage> {
    while limits.len() > MAX_LIMITS_PER_DATAGRAM {
        let mut outgoing = message(shell, Vec::new(), Vec::new());
        outgoing.limits = limits.split_off(limits.len() - MAX_LIMITS_PER_DATAGRAM);
        messages.push(outgoing);
    }
    if let Some(first) = messages.first_mut() {
        first.limits = limits;
    }
    messages
}

/// Sends the known server notices to nodes that just started, before the next
/// heartbeat: otherwise they would send to draining servers or exceed rate limits.
async fn sync_new_peers(shell: &Rc<Shell>, socket: &UdpSocket) {
    let pending_sync = shell.peers.borrow_mut().take_pending_sync();
    if pending_sync.is_empty() {
        return;
    }
    let mut outgoing = heartbeat_messages(shell, Vec::new(), Vec::new(), LimitScope::All);
    if let Some(first) = outgoing.first_mut() {
        // A part of the history would pass for all of it.
        let history = shell.router.borrow().retry_history(shell.now());
        first.retry_history =
            history.filter(|processes| processes.len() <= MAX_PROCESSES_PER_DATAGRAM);
    }
    send(socket, &pending_sync, outgoing).await;
}

/// Returns heartbeat messages, with the known server notices.
fn heartbeat_messages(
    shell: &Shell,
    servers: Vec<u32>,
    work: Vec<PeerWork>,
    limits: LimitScope,
) -> Vec<PeerMessage> {
    let mut outgoing = messages(shell, servers, work);
    if let Some(first) = outgoing.first_mut() {
        first.record = Some(shell.presence_record());
        // Repeated, since datagrams may be lost and nodes may have started meanwhile.
        let router = shell.router.borrow();
        first.draining = router
            .fleet()
            .draining_to_publish(MAX_DRAINING_PER_DATAGRAM);
        first.limits = router
            .fleet()
            .limit_updates(limits, MAX_LIMITS_PER_DATAGRAM, shell.now());
        first.retries = Some(router.own_retries(shell.now()));
        first.unreachable = Some(router.unreachable_service_ids());
    }
    outgoing
}

/// Sends heartbeats forever.
pub(crate) async fn send_heartbeats(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut beat = 0u32;
    loop {
        let now = shell.now();
        let (servers, work) = match beat % HEARTBEATS_PER_FULL_UPDATE {
            0 => shell.router.borrow().all_own_work(now),
            _ => (Vec::new(), Vec::new()),
        };
        let outgoing = heartbeat_messages(&shell, servers, work, LimitScope::Direct);
        let is_full = beat % HEARTBEATS_PER_FULL_UPDATE == 0;
        let suspects = shell
            .router
            .borrow()
            .quarantine()
            .updates_to_rebroadcast(is_full, now);
        let to = shell.peers.borrow_mut().next_heartbeat_targets();
        send(&socket, &to, add_suspects(&shell, outgoing, &suspects)).await;
        shell.peers.borrow_mut().schedule_repeated_sync();
        sync_new_peers(&shell, &socket).await;
        beat = beat.wrapping_add(1);
        expire_peers(&shell);
        let interval = shell.peers.borrow().heartbeat_interval();
        monoio::time::sleep(interval).await;
    }
}

/// Notifies all peers that this node is stopping.
pub(crate) async fn publish_stopping(shell: &Shell, socket: &UdpSocket) {
    debug_assert!(shell.draining.get().is_some());
    let mut outgoing = message(shell, Vec::new(), Vec::new());
    outgoing.record = Some(shell.presence_record());
    outgoing.retries = Some(shell.router.borrow().own_retries(shell.now()));
    outgoing.unreachable = Some(shell.router.borrow().unreachable_service_ids());
    let all = shell.peers.borrow().all_peers();
    send(socket, &all, vec![outgoing]).await;
}

/// Expires unreachable peers and updates the router's view of the nodes.
fn expire_peers(shell: &Rc<Shell>) {
    let now = shell.now();
    let (expired, time_to_expiry) = {
        let mut peers = shell.peers.borrow_mut();
        (peers.take_expired(now), peers.time_to_expiry())
    };
    for peer in expired {
        if let Some(name) = peer.name {
            let facts = format!("entry={name} silent_ms={}", time_to_expiry.as_millis());
            LogEvent::new(LogEventKind::PeerDead, facts).emit();
        }
        shell.step(Event::PeerExpired { peer: peer.number });
    }
    let alive = shell.peers.borrow().alive_count(now);
    shell.metrics.peers_alive.set(alive.into());
    update_node_count(shell);
}

/// Updates the router's node count and this node's group.
pub(crate) fn update_node_count(shell: &Rc<Shell>) {
    let servers = shell.router.borrow().largest_service_size();
    shell.peers.borrow_mut().set_largest_service(servers);
    let group = shell.peers.borrow_mut().update_group(shell.now());
    shell.step(Event::Group(group));
    let sharing = shell.peers.borrow().sharing_nodes(shell.now());
    if let Some(count) = sharing {
        shell.step(Event::NodeCount { count });
        let sharing = shell.peers.borrow().limit_sharing(shell.now());
        shell.step(Event::LimitSharing(sharing));
    }
}

/// Receives messages from peers forever.
pub(crate) async fn receive_messages(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    const RETRY_DELAY: Duration = Duration::from_millis(50);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (received, returned) = socket.recv_from(buf).await;
        buf = returned;
        let Ok((n, from)) = received else {
            // The error may be that of an earlier datagram to a closed port of a peer.
            monoio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match ciborium::from_reader::<PeerMessage, _>(&buf[..n]) {
            Ok(message) => handle_message(&shell, from, message),
            Err(e) => {
                let facts = format!("from={from} reason={e:?}");
                LogEvent::new(LogEventKind::PeerFrameInvalid, facts).emit();
            }
        }
    }
}

fn handle_message(shell: &Rc<Shell>, from: SocketAddr, message: PeerMessage) {
    if from == shell.settings.peer_addr {
        return;
    }
    let (boot, now) = (message.boot, shell.now());
    let store_response_age = message.store_response_age_ms.map(Duration::from_millis);
    let state = PeerState {
        ready: message.ready,
        store_up: message.store_up,
        store_responded_at: store_response_age.map(|age| now.before(age)),
        config_version: message.config_version,
        newest_server_change: message.newest_server_change,
    };
    let update = {
        let mut peers = shell.peers.borrow_mut();
        peers.receive(from, boot, message.record, state, now)
    };
    let Some(update) = update else {
        return;
    };
    let number = update.number;
    if update.is_new {
        shell.peers.borrow_mut().schedule_sync(from);
        shell.publish_wake.notify();
    }
    if let Some(name) = update.new_in_group {
        let facts = format!("entry={name} boot={boot}");
        LogEvent::new(LogEventKind::PeerReachable, facts).emit();
    }
    if update.restarted {
        shell.step(Event::PeerExpired { peer: number });
    }
    if let Some(unreachable_services) = message.unreachable {
        let status = PeerStatus {
            name: update.name.clone(),
            addr: from,
            is_in_group: update.in_same_group,
            accepts_requests: message.ready,
            config_version: message.config_version,
            unreachable_services,
            ttl: shell.peers.borrow().time_to_unreachable(),
        };
        shell.step(Event::PeerStatus {
            peer: number,
            status,
        });
    }
    if let Some(services) = message.retries.filter(|_| update.in_same_group) {
        shell.step(Event::PeerRetries {
            name: update.name.clone(),
            boot,
            services,
        });
    }
    if let Some(processes) = message.retry_history {
        shell.step(Event::RetryHistory { processes });
    }
    if !message.suspects.is_empty() {
        shell.step(Event::QuarantineUpdates {
            peer: number,
            updates: message
                .suspects
                .iter()
                .flat_map(SuspectUpdate::split)
                .collect(),
        });
    }
    if !message.draining.is_empty() {
        shell.step(Event::DrainingReported {
            servers: message.draining,
        });
    }
    if !message.limits.is_empty() {
        shell.step(Event::LimitUpdates {
            peer: number,
            name: update.name,
            is_in_group: update.in_same_group,
            updates: message.limits,
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
