//! Queues of messages for the outgoing links to peers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use local_sync::mpsc::unbounded;
use notchwalk_core::VmId;
use notchwalk_wire::PeerMessage;

/// Maximum number of messages queued for a peer. Further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 64;

struct Link {
    addr: SocketAddr,
    tx: unbounded::Tx<PeerMessage>,
    queued: Rc<Cell<usize>>,
}

/// The receiving half of a link's queue.
pub struct Outbox {
    rx: unbounded::Rx<PeerMessage>,
    queued: Rc<Cell<usize>>,
}

impl Outbox {
    /// Waits for the next message. Returns `None` once the link is removed.
    pub async fn recv(&mut self) -> Option<PeerMessage> {
        let message = self.rx.recv().await?;
        self.queued.set(self.queued.get() - 1);
        Some(message)
    }

    /// Drops all queued messages. Returns whether the link is removed.
    pub fn clear(&mut self) -> bool {
        loop {
            match self.rx.try_recv() {
                Ok(_) => self.queued.set(self.queued.get() - 1),
                Err(local_sync::mpsc::TryRecvError::Disconnected) => return true,
                Err(_) => return false,
            }
        }
    }
}

/// The outgoing links of this daemon.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<VmId, Link>>,
    sent_bytes: Cell<u64>,
}

impl PeerLinks {
    /// Queues a message for a peer. The message is dropped if there is no link or its
    /// queue is full.
    pub fn send(&self, to: VmId, message: PeerMessage) {
        let links = self.links.borrow();
        let Some(link) = links.get(&to) else {
            return;
        };
        if link.queued.get() < MAX_QUEUED_MESSAGES && link.tx.send(message).is_ok() {
            link.queued.set(link.queued.get() + 1);
        }
    }

    /// Removes links to peers that are no longer listed or have another address. The
    /// task of a removed link ends.
    pub fn retain(&self, peers: &HashMap<VmId, SocketAddr>) {
        let mut links = self.links.borrow_mut();
        links.retain(|vm, link| peers.get(vm) == Some(&link.addr));
    }

    /// Adds a link to a peer. Returns `None` if there is one already.
    pub fn open(&self, vm: VmId, addr: SocketAddr) -> Option<Outbox> {
        let mut links = self.links.borrow_mut();
        if links.contains_key(&vm) {
            return None;
        }
        let (tx, rx) = unbounded::channel();
        let queued = Rc::new(Cell::new(0));
        let outbox = Outbox {
            rx,
            queued: queued.clone(),
        };
        links.insert(vm, Link { addr, tx, queued });
        Some(outbox)
    }

    /// Adds to the bytes sent to peers.
    pub fn add_sent_bytes(&self, bytes: u64) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes);
    }

    /// Returns the bytes sent to peers since the daemon started.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }
}
