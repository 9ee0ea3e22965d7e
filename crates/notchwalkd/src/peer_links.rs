//! The messages that wait for links to other daemons.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use local_sync::mpsc::unbounded;
use notchwalk_core::VmId;
use notchwalk_wire::PeerMessage;

/// Messages that wait for a peer at the most; later ones are dropped.
const MAX_WAITING: usize = 64;

struct Link {
    addr: SocketAddr,
    tx: unbounded::Tx<PeerMessage>,
    waiting: Rc<Cell<usize>>,
}

/// The receiving end of a link's messages.
pub struct Outbox {
    rx: unbounded::Rx<PeerMessage>,
    waiting: Rc<Cell<usize>>,
}

impl Outbox {
    /// Waits for the next message; `None` when the link is to end.
    pub async fn next(&mut self) -> Option<PeerMessage> {
        let message = self.rx.recv().await?;
        self.waiting.set(self.waiting.get() - 1);
        Some(message)
    }

    /// Drops what waited while there was no link; tells whether the link is
    /// to end.
    pub fn clear(&mut self) -> bool {
        loop {
            match self.rx.try_recv() {
                Ok(_) => self.waiting.set(self.waiting.get() - 1),
                Err(local_sync::mpsc::TryRecvError::Disconnected) => return true,
                Err(_) => return false,
            }
        }
    }
}

/// The links this daemon opened.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<VmId, Link>>,
    sent_bytes: Cell<u64>,
}

impl PeerLinks {
    /// Sends a message, unless too many wait already.
    pub fn send(&self, to: VmId, message: PeerMessage) {
        let links = self.links.borrow();
        let Some(link) = links.get(&to) else {
            return;
        };
        if link.waiting.get() < MAX_WAITING && link.tx.send(message).is_ok() {
            link.waiting.set(link.waiting.get() + 1);
        }
    }

    /// Forgets links to peers that are not listed, or moved: each ends.
    pub fn retain(&self, peers: &HashMap<VmId, SocketAddr>) {
        let mut links = self.links.borrow_mut();
        links.retain(|vm, link| peers.get(vm) == Some(&link.addr));
    }

    /// Makes room for a link to a peer; `None` if there is one.
    pub fn open(&self, vm: VmId, addr: SocketAddr) -> Option<Outbox> {
        let mut links = self.links.borrow_mut();
        if links.contains_key(&vm) {
            return None;
        }
        let (tx, rx) = unbounded::channel();
        let waiting = Rc::new(Cell::new(0));
        let outbox = Outbox {
            rx,
            waiting: waiting.clone(),
        };
        links.insert(vm, Link { addr, tx, waiting });
        Some(outbox)
    }

    /// Counts bytes sent to a peer.
    pub fn note_sent(&self, bytes: u64) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes);
    }

    /// Returns the bytes sent to peers since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }
}
