//! Links between daemons: WebSocket, with every frame sealed (see
//! `peer_proof`). Each daemon sends on the links it opened and listens on
//! those the others opened.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use monoio::{
    io::IntoPollIo,
    net::{tcp::stream_poll::TcpStreamPoll, TcpListener, TcpStream},
};
use notchwalk_core::{LogEvent, LogEventKind, VmId};
use notchwalk_decide::Event;
use notchwalk_wire::{from_cbor, to_cbor, PeerMessage};
use serde::{de::DeserializeOwned, Serialize};
use tokio_tungstenite::{
    accept_async_with_config, client_async_with_config,
    tungstenite::{protocol::WebSocketConfig, Message},
    WebSocketStream,
};

use crate::{
    bundle_watch,
    peer_links::Outbox,
    peer_proof::{self, Challenge, Hello, Proof, PROOF_BYTES},
    shell::Shell,
};

/// The largest message; a bundle offered to a peer is the largest.
const MAX_MESSAGE: usize = 32 << 20;
/// How long connecting and proving may take.
const PROVE_WITHIN: Duration = Duration::from_secs(3);
/// How long a link may be silent before it is closed.
const SILENCE: Duration = Duration::from_secs(30);
/// How long one frame may take to send.
const SEND_WITHIN: Duration = Duration::from_secs(3);
/// Links that others may open at the same time.
const MAX_INCOMING: usize = 1_024;

type Socket = WebSocketStream<TcpStreamPoll>;

/// Opens links to new peers and drops those to peers that are no longer
/// listed.
pub fn keep_links(shell: &Rc<Shell>, peers: HashMap<VmId, SocketAddr>) {
    shell.links.retain(&peers);
    for (vm, addr) in peers {
        if let Some(outbox) = shell.links.open(vm, addr) {
            notchwalk_http::spawn(keep_link(shell.clone(), addr, outbox));
        }
    }
}

/// Keeps one link open until its sender is dropped.
async fn keep_link(shell: Rc<Shell>, addr: SocketAddr, mut outbox: Outbox) {
    const FIRST_PAUSE: Duration = Duration::from_millis(100);
    const MAX_PAUSE: Duration = Duration::from_secs(2);
    let mut pause = FIRST_PAUSE;
    loop {
        let opened = monoio::time::timeout(PROVE_WITHIN, open_link(&shell, addr)).await;
        if let Ok(Some((socket, session))) = opened {
            pause = FIRST_PAUSE;
            if send_all(&shell, socket, session, &mut outbox).await {
                return;
            }
        }
        if outbox.clear() {
            return;
        }
        let jittered = pause.mul_f64(rand::random_range(0.5..1.5));
        monoio::time::sleep(jittered).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

fn ws_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

async fn open_link(shell: &Shell, addr: SocketAddr) -> Option<(Socket, [u8; PROOF_BYTES])> {
    let stream = TcpStream::connect_addr(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let io = stream.into_poll_io().ok()?;
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
    let session = peer_proof::session_key(shell.settings.peer_keys.first(), &hello, &challenge);
    send(&mut socket, &peer_proof::proof_of(&session)).await?;
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

/// Sends until the link breaks or its sender is dropped; tells whether it was
/// dropped.
async fn send_all(
    shell: &Shell,
    mut socket: Socket,
    session: [u8; PROOF_BYTES],
    outbox: &mut Outbox,
) -> bool {
    let mut n = 0;
    while let Some(message) = outbox.next().await {
        let sealed = peer_proof::seal(&session, n, &to_cbor(&message));
        n += 1;
        shell.links.note_sent(sealed.len() as u64);
        let sending = socket.send(Message::Binary(sealed.into()));
        if !matches!(
            monoio::time::timeout(SEND_WITHIN, sending).await,
            Ok(Ok(()))
        ) {
            return false;
        }
    }
    true
}

/// Accepts the links that others open.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            monoio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= MAX_INCOMING {
            continue;
        }
        open.set(open.get() + 1);
        let (shell, open) = (shell.clone(), open.clone());
        notchwalk_http::spawn(async move {
            serve_link(&shell, stream, from).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_link(shell: &Rc<Shell>, stream: TcpStream, from: SocketAddr) {
    let proved = monoio::time::timeout(PROVE_WITHIN, prove(shell, stream)).await;
    let Ok(Some((mut socket, session, vm))) = proved else {
        LogEvent::new(LogEventKind::PeerRejected, format!("from={from}")).emit();
        return;
    };
    let mut n = 0;
    loop {
        let next = monoio::time::timeout(SILENCE, socket.next()).await;
        let Ok(Some(Ok(message))) = next else {
            return;
        };
        let data = match message {
            Message::Binary(data) => data,
            Message::Ping(_) | Message::Pong(_) => continue,
            _ => return,
        };
        let payload = peer_proof::open(&session, n, &data);
        let message = payload.and_then(|p| from_cbor::<PeerMessage>(p).ok());
        let Some(message) = message else {
            LogEvent::new(LogEventKind::PeerGarbage, format!("vm={}", vm.0)).emit();
            return;
        };
        n += 1;
        match message {
            PeerMessage::BundleAsk(have) => bundle_watch::offer(shell, vm, have),
            PeerMessage::BundleOffer(text) => bundle_watch::take_offer(shell, vm, &text),
            message => shell.step(Event::Peer { from: vm, message }),
        }
    }
}

/// Lets the other side prove itself.
async fn prove(shell: &Shell, stream: TcpStream) -> Option<(Socket, [u8; PROOF_BYTES], VmId)> {
    stream.set_nodelay(true).ok()?;
    let io = stream.into_poll_io().ok()?;
    let mut socket = accept_async_with_config(io, Some(ws_config())).await.ok()?;
    let hello: Hello = receive(&mut socket).await?;
    let challenge = Challenge {
        nonce: rand::random(),
    };
    send(&mut socket, &challenge).await?;
    let proof: Proof = receive(&mut socket).await?;
    for key in shell.settings.peer_keys.all() {
        let session = peer_proof::session_key(*key, &hello, &challenge);
        if peer_proof::same(&peer_proof::proof_of(&session).mac, &proof.mac) {
            return Some((socket, session, hello.vm));
        }
    }
    None
}
