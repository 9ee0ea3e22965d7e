//! WebSocket links between daemons, with authenticated frames (see `peer_auth`).
//! Links are unidirectional: each daemon sends on the links it opened and receives
//! on those opened by its peers.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use monoio::{
    io::IntoPollIo,
    net::{TcpListener, TcpStream},
};
use notchwalk_core::{LogEvent, LogEventKind, VmId};
use notchwalk_decide::Event;
use notchwalk_http::WaitKind;
use notchwalk_wire::{from_cbor, to_cbor, PeerMessage};
use serde::{de::DeserializeOwned, Serialize};
use tokio_tungstenite::{
    accept_async_with_config, client_async_with_config,
    tungstenite::{protocol::WebSocketConfig, Message},
    WebSocketStream,
};

use crate::{
    bundle_watch,
    limited_stream::{LimitedStream, ReadLimit},
    peer_auth::{self, Challenge, Hello, Proof, KEY_BYTES},
    peer_links::Outbox,
    shell::Shell,
};

/// Maximum size of a message, in bytes. Bundles are the largest messages.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Timeout of connecting and authenticating.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an incoming link may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of sending one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of concurrent incoming links that are authenticated.
const MAX_INCOMING_LINKS: usize = 1_024;
/// Maximum number of concurrent incoming connections that are not authenticated yet.
const MAX_HANDSHAKES: usize = 128;
/// Maximum number of bytes of a connection until it is authenticated.
const MAX_HANDSHAKE_BYTES: usize = 16 * 1024;
/// Size of the buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

type Socket = WebSocketStream<LimitedStream>;

/// Opens links to new peers and closes those to peers that are no longer listed.
pub fn sync_links(shell: &Rc<Shell>, peers: HashMap<VmId, SocketAddr>) {
    shell.links.retain(&peers);
    for (vm, addr) in peers {
        if let Some(outbox) = shell.links.open(vm, addr) {
            notchwalk_http::spawn(run_link(shell.clone(), addr, outbox));
        }
    }
}

/// Keeps one link connected, with backoff, until it is removed.
async fn run_link(shell: Rc<Shell>, addr: SocketAddr, mut outbox: Outbox) {
    const MIN_BACKOFF: Duration = Duration::from_millis(100);
    const MAX_BACKOFF: Duration = Duration::from_secs(2);
    let mut backoff = MIN_BACKOFF;
    loop {
        let opened = monoio::time::timeout(HANDSHAKE_TIMEOUT, open_link(&shell, addr)).await;
        if let Ok(Some((socket, session))) = opened {
            backoff = MIN_BACKOFF;
            if send_all(&shell, socket, session, &mut outbox).await {
                return;
            }
        }
        if outbox.clear() {
            return;
        }
        let jittered = backoff.mul_f64(rand::random_range(0.5..1.5));
        monoio::time::sleep(jittered).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

fn ws_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

async fn open_link(shell: &Shell, addr: SocketAddr) -> Option<(Socket, [u8; KEY_BYTES])> {
    let stream = TcpStream::connect_addr(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let io = LimitedStream::new(stream.into_poll_io().ok()?, ReadLimit::default());
    let url = format!("ws://{addr}/");
    let client = client_async_with_config(url, io, Some(ws_config())).await;
    let (mut socket, _) = client.ok()?;
    let hello = Hello {
        vm: shell.vm(),
        boot: shell.boot,
        nonce: rand::random(),
    };
    send(&mut socket, &hello).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    let session = peer_auth::session_key(shell.settings.peer_keys.first(), &hello, &challenge);
    send(&mut socket, &peer_auth::session_proof(&session)).await?;
    Some((socket, session))
}

async fn send<T: Serialize>(socket: &mut Socket, value: &T) -> Option<()> {
    let message = Message::Binary(to_cbor(value).into());
    socket.send(message).await.ok()
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Option<T> {
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(data) => return from_cbor(&data).ok(),
            Message::Ping(_) | Message::Pong(_) => continue,
            _ => return None,
        }
    }
}

/// Sends queued messages until the connection fails or the link is removed. Returns
/// whether the link is removed.
async fn send_all(
    shell: &Shell,
    mut socket: Socket,
    session: [u8; KEY_BYTES],
    outbox: &mut Outbox,
) -> bool {
    let mut sequence = 0;
    while let Some(message) = outbox.recv().await {
        let sealed = peer_auth::seal(&session, sequence, &to_cbor(&message));
        sequence += 1;
        shell.links.add_sent_bytes(sealed.len() as u64);
        let sending = socket.send(Message::Binary(sealed.into()));
        if !matches!(
            monoio::time::timeout(SEND_TIMEOUT, sending).await,
            Ok(Ok(()))
        ) {
            return false;
        }
    }
    true
}

/// Accepts links from peers.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    let server = shell.clients.add_server();
    let open_links = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            monoio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Some(handshake) = shell.clients.admit(server, MAX_HANDSHAKES).await else {
            continue;
        };
        let (shell, open_links) = (shell.clone(), open_links.clone());
        notchwalk_http::spawn(async move {
            let authenticate = authenticate(&shell, stream);
            let authenticated = handshake.wait(WaitKind::Request, HANDSHAKE_TIMEOUT, authenticate);
            let authenticated = authenticated.await;
            drop(handshake);
            let Ok(Some((socket, session, vm))) = authenticated else {
                LogEvent::new(LogEventKind::PeerRejected, format!("from={from}")).emit();
                return;
            };
            if open_links.get() >= MAX_INCOMING_LINKS {
                return;
            }
            open_links.set(open_links.get() + 1);
            receive_all(&shell, socket, session, vm).await;
            open_links.set(open_links.get() - 1);
        });
    }
}

/// Feeds the messages of an authenticated link to the reducer.
async fn receive_all(shell: &Rc<Shell>, mut socket: Socket, session: [u8; KEY_BYTES], vm: VmId) {
    let mut sequence = 0;
    loop {
        let next = monoio::time::timeout(IDLE_TIMEOUT, socket.next()).await;
        let Ok(Some(Ok(message))) = next else {
            return;
        };
        let data = match message {
            Message::Binary(data) => data,
            Message::Ping(_) | Message::Pong(_) => continue,
            _ => return,
        };
        let payload = peer_auth::open(&session, sequence, &data);
        let message = payload.and_then(|p| from_cbor::<PeerMessage>(p).ok());
        let Some(message) = message else {
            LogEvent::new(LogEventKind::PeerFrameInvalid, format!("vm={}", vm.0)).emit();
            return;
        };
        sequence += 1;
        match message {
            PeerMessage::BundleRequest(version) => bundle_watch::send_if_newer(shell, vm, version),
            PeerMessage::BundleResponse(text) => bundle_watch::apply_received(shell, vm, &text),
            message => shell.step(Event::Peer { from: vm, message }),
        }
    }
}

/// Authenticates the connecting side. Returns its session key and VM.
async fn authenticate(shell: &Shell, stream: TcpStream) -> Option<(Socket, [u8; KEY_BYTES], VmId)> {
    stream.set_nodelay(true).ok()?;
    let limit = ReadLimit::new(MAX_HANDSHAKE_BYTES);
    let io = LimitedStream::new(stream.into_poll_io().ok()?, limit.clone());
    let mut socket = accept_async_with_config(io, Some(ws_config())).await.ok()?;
    let hello: Hello = receive(&mut socket).await?;
    let challenge = Challenge {
        nonce: rand::random(),
    };
    send(&mut socket, &challenge).await?;
    let proof: Proof = receive(&mut socket).await?;
    for key in shell.settings.peer_keys.all() {
        let session = peer_auth::session_key(*key, &hello, &challenge);
        if peer_auth::macs_equal(&peer_auth::session_proof(&session).mac, &proof.mac) {
            limit.remove();
            return Some((socket, session, hello.vm));
        }
    }
    None
}
