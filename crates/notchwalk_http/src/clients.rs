//! The connections and memory that the clients of a process occupy together.
//!
//! All servers of a process share a [`ClientTable`]. What a client makes the process hold (an
//! unfinished head, a body, a response that it has not read) is reserved there. When memory or
//! connections run out, clients that the process waits for give way, those that have kept it
//! waiting the longest first.

use std::{
    cell::RefCell,
    future::Future,
    pin::pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use slotmap::SlotMap;

use crate::{tasks::yield_now, HttpError};

/// How long the process has waited for bytes of a client before the client's memory may go to
/// others.
const MIN_REQUEST_STALL: Duration = Duration::from_millis(250);
/// How long a client has taken no bytes of a response before it may be disconnected.
const MIN_RESPONSE_STALL: Duration = Duration::from_secs(1);
/// Shortest time between two searches for stalled clients of which the first found too few.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Messages up to this size may use all memory, larger ones all but a part of it.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;
/// The part of the memory that is kept for small messages, as a divisor.
const SMALL_MESSAGE_SHARE: usize = 8;
/// How often the tasks of disconnected clients may run until what they held must be free.
const MAX_YIELDS: usize = 64;

slotmap::new_key_type! {
    /// Identifies a connected client.
    struct ClientKey;
}

/// Identifies a server of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerId(usize);

/// What the process waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitKind {
    /// Bytes of a request, or the start of the next one.
    Request,
    /// That the client reads a response.
    Response,
}

#[derive(Clone, Copy)]
struct Wait {
    kind: WaitKind,
    since: Instant,
}

impl Wait {
    fn is_stalled(&self, now: Instant) -> bool {
        let min = match self.kind {
            WaitKind::Request => MIN_REQUEST_STALL,
            WaitKind::Response => MIN_RESPONSE_STALL,
        };
        now.duration_since(self.since) >= min
    }

    /// Returns whether a new connection may replace that of the client.
    fn may_be_replaced(&self, now: Instant) -> bool {
        self.kind == WaitKind::Request || self.is_stalled(now)
    }
}

struct Client {
    server: ServerId,
    wait: Option<Wait>,
    reserved_bytes: usize,
    is_evicted: bool,
    waker: Option<Waker>,
}

/// A client that may be evicted for its memory.
struct StalledClient {
    key: ClientKey,
    since: Instant,
    bytes: usize,
}

struct Table {
    clients: SlotMap<ClientKey, Client>,
    /// The open connections of each server.
    open: Vec<usize>,
    max_bytes: usize,
    reserved_bytes: usize,
    /// The part of `reserved_bytes` that clients hold who were evicted.
    evicted_bytes: usize,
    evictions: u64,
    /// No stalled clients are looked for until then: the last search found too few.
    next_search_at: Option<Instant>,
}

impl Table {
    /// Returns whether a message that holds `held` bytes may hold `more`, if `used` are reserved.
    fn has_room(&self, used: usize, held: usize, more: usize) -> bool {
        let is_small = held.saturating_add(more) <= SMALL_MESSAGE_BYTES;
        let max = match is_small {
            true => self.max_bytes,
            false => self.max_bytes - self.max_bytes / SMALL_MESSAGE_SHARE,
        };
        used.saturating_add(more) <= max
    }

    /// Returns the client that has kept the process waiting the longest among those that `may`
    /// be evicted.
    fn longest_waiting(&self, may: impl Fn(&Client, Wait) -> bool) -> Option<ClientKey> {
        let waiting = self.clients.iter().filter_map(|(key, client)| {
            let wait = client.wait.filter(|_| !client.is_evicted)?;
            may(client, wait).then_some((wait.since, key))
        });
        waiting.min_by_key(|(since, _)| *since).map(|(_, key)| key)
    }

    fn evict(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_evicted = true;
        self.evicted_bytes += client.reserved_bytes;
        self.evictions += 1;
        if let Some(waker) = client.waker.take() {
            waker.wake();
        }
    }

    fn cancel_eviction(&mut self, key: ClientKey) {
        let evicted = self.clients.get_mut(key).filter(|client| client.is_evicted);
        if let Some(client) = evicted {
            client.is_evicted = false;
            self.evicted_bytes -= client.reserved_bytes;
        }
    }

    /// Evicts stalled clients until a message of `requester` that holds `held` bytes may hold
    /// `more`. Evicts none and returns `false` if that would not suffice.
    fn evict_for(&mut self, requester: ClientKey, held: usize, more: usize) -> bool {
        let now = Instant::now();
        let mut used = self.reserved_bytes - self.evicted_bytes;
        if self.has_room(used, held, more) {
            return true;
        }
        if self.next_search_at.is_some_and(|at| now < at) {
            return false;
        }
        let mut stalled = self.stalled_clients(requester, now);
        let stalled_bytes: usize = stalled.iter().map(|client| client.bytes).sum();
        if !self.has_room(used - stalled_bytes, held, more) {
            self.next_search_at = Some(now + SEARCH_INTERVAL);
            return false;
        }
        stalled.sort_unstable_by_key(|client| client.since);
        for client in stalled {
            if self.has_room(used, held, more) {
                break;
            }
            used -= client.bytes;
            self.evict(client.key);
        }
        true
    }

    /// Returns the clients besides `requester` that hold memory and have stalled.
    fn stalled_clients(&self, requester: ClientKey, now: Instant) -> Vec<StalledClient> {
        let clients = self.clients.iter().filter_map(|(key, client)| {
            let wait = client.wait.filter(|wait| wait.is_stalled(now))?;
            let is_other = key != requester && !client.is_evicted;
            (is_other && client.reserved_bytes > 0).then_some(StalledClient {
                key,
                since: wait.since,
                bytes: client.reserved_bytes,
            })
        });
        clients.collect()
    }

    /// Evicts the client of a server that has kept it waiting the longest; returns whether there
    /// was one.
    fn evict_for_connection(&mut self, server: ServerId) -> bool {
        let now = Instant::now();
        let may_be_replaced =
            |client: &Client, wait: Wait| client.server == server && wait.may_be_replaced(now);
        let Some(key) = self.longest_waiting(may_be_replaced) else {
            return false;
        };
        self.evict(key);
        true
    }

    fn release(&mut self, key: ClientKey, bytes: usize) {
        self.reserved_bytes -= bytes;
        if let Some(client) = self.clients.get_mut(key) {
            client.reserved_bytes -= bytes;
            if client.is_evicted {
                self.evicted_bytes -= bytes;
            }
        }
    }

    fn remove(&mut self, key: ClientKey) {
        if let Some(client) = self.clients.remove(key) {
            self.open[client.server.0] -= 1;
            if client.is_evicted {
                self.evicted_bytes -= client.reserved_bytes;
            }
        }
    }
}

/// The clients of a process; clones share the table.
#[derive(Clone)]
pub struct ClientTable(Rc<RefCell<Table>>);

impl ClientTable {
    /// Creates a table whose clients' messages may occupy `max_bytes` together.
    pub fn new(max_bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(Table {
            clients: SlotMap::with_key(),
            open: Vec::new(),
            max_bytes,
            reserved_bytes: 0,
            evicted_bytes: 0,
            evictions: 0,
            next_search_at: None,
        })))
    }

    /// Creates a table that does not limit the memory of its clients.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Sets how many bytes messages may occupy; at least enough for one of `largest_message`
    /// bytes.
    pub fn set_max_bytes(&self, max_bytes: usize, largest_message: usize) {
        // The buffer of a message is larger than the message by at most a small one.
        let largest = largest_message.saturating_add(SMALL_MESSAGE_BYTES);
        let for_largest = largest.saturating_add(largest / (SMALL_MESSAGE_SHARE - 1) + 1);
        self.0.borrow_mut().max_bytes = max_bytes.max(for_largest);
    }

    /// Returns the bytes that messages occupy.
    pub fn reserved_bytes(&self) -> usize {
        self.0.borrow().reserved_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.0.borrow().clients.len()
    }

    /// Returns how many clients were disconnected in favour of others.
    pub fn evictions(&self) -> u64 {
        self.0.borrow().evictions
    }

    /// Adds a server, whose connections count separately.
    pub fn add_server(&self) -> ServerId {
        let mut table = self.0.borrow_mut();
        table.open.push(0);
        ServerId(table.open.len() - 1)
    }

    /// Admits a connection to a server that may have `max` connections. When they are all open,
    /// one that waits for its client is closed in its favour; `None` if there is none.
    pub async fn admit(&self, server: ServerId, max: usize) -> Option<ClientSlot> {
        for _ in 0..MAX_YIELDS {
            if self.0.borrow().open[server.0] < max {
                return Some(self.open(server));
            }
            if !self.0.borrow_mut().evict_for_connection(server) {
                return None;
            }
            yield_now().await;
        }
        None
    }

    fn open(&self, server: ServerId) -> ClientSlot {
        let mut table = self.0.borrow_mut();
        table.open[server.0] += 1;
        let key = table.clients.insert(Client {
            server,
            wait: None,
            reserved_bytes: 0,
            is_evicted: false,
            waker: None,
        });
        ClientSlot(Rc::new(OpenClient {
            table: self.clone(),
            key,
        }))
    }
}

struct OpenClient {
    table: ClientTable,
    key: ClientKey,
}

impl Drop for OpenClient {
    fn drop(&mut self) {
        self.table.0.borrow_mut().remove(self.key);
    }
}

/// A connected client; clones refer to the same one.
#[derive(Clone)]
pub struct ClientSlot(Rc<OpenClient>);

impl ClientSlot {
    /// Returns whether the client must give way to others.
    pub fn is_evicted(&self) -> bool {
        let table = self.0.table.0.borrow();
        table
            .clients
            .get(self.0.key)
            .is_none_or(|client| client.is_evicted)
    }

    fn set_wait(&self, wait: Option<Wait>) {
        let mut table = self.0.table.0.borrow_mut();
        if let Some(client) = table.clients.get_mut(self.0.key) {
            client.wait = wait;
        }
    }

    fn cancel_eviction(&self) {
        self.0.table.0.borrow_mut().cancel_eviction(self.0.key);
    }

    fn poll_evicted(&self, cx: &Context<'_>) -> Poll<()> {
        let mut table = self.0.table.0.borrow_mut();
        match table.clients.get_mut(self.0.key) {
            Some(client) if !client.is_evicted => {
                client.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    /// Waits for the client, until `timeout` or until it must give way to others.
    ///
    /// # Errors
    ///
    /// Fails in these two cases.
    pub async fn wait<T>(
        &self,
        kind: WaitKind,
        timeout: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, HttpError> {
        let _guard = WaitGuard::new(self, kind);
        let mut future = pin!(monoio::time::timeout(timeout, future));
        std::future::poll_fn(|cx| match future.as_mut().poll(cx) {
            Poll::Ready(Ok(result)) => {
                if kind == WaitKind::Request {
                    // What the client sent just now must not be lost.
                    self.cancel_eviction();
                }
                Poll::Ready(Ok(result))
            }
            Poll::Ready(Err(_)) => Poll::Ready(Err(HttpError::TimedOut)),
            Poll::Pending => self.poll_evicted(cx).map(|()| Err(HttpError::Overloaded)),
        })
        .await
    }

    /// Returns an empty reservation of this client.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            table: self.0.table.clone(),
            client: self.0.key,
            bytes: 0,
        }
    }
}

/// Marks a client as waited for until dropped.
struct WaitGuard<'a>(&'a ClientSlot);

impl<'a> WaitGuard<'a> {
    fn new(slot: &'a ClientSlot, kind: WaitKind) -> Self {
        let since = Instant::now();
        slot.set_wait(Some(Wait { kind, since }));
        Self(slot)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set_wait(None);
    }
}

/// Memory that a message of a client occupies; released when dropped.
pub struct Reservation {
    table: ClientTable,
    client: ClientKey,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to at least `bytes` if there is room; returns whether there was.
    pub(crate) fn try_grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let mut table = self.table.0.borrow_mut();
        if more > 0 && !table.has_room(table.reserved_bytes, self.bytes, more) {
            return false;
        }
        table.reserved_bytes += more;
        if let Some(client) = table.clients.get_mut(self.client) {
            client.reserved_bytes += more;
            if client.is_evicted {
                table.evicted_bytes += more;
            }
        }
        self.bytes += more;
        true
    }

    /// Grows to at least `bytes`; stalled clients give way if there is no room.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough room even so.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), HttpError> {
        if self.try_grow_to(bytes) {
            return Ok(());
        }
        if !self.evict_for(bytes.saturating_sub(self.bytes)) {
            return Err(HttpError::Overloaded);
        }
        for _ in 0..MAX_YIELDS {
            yield_now().await;
            if self.try_grow_to(bytes) {
                return Ok(());
            }
        }
        Err(HttpError::Overloaded)
    }

    /// Grows to at least `bytes` if there is room. Otherwise stalled clients give way, so that
    /// there may be room later. Returns whether there was.
    pub fn grow_or_evict_to(&mut self, bytes: usize) -> bool {
        let has_room = self.try_grow_to(bytes);
        if !has_room {
            self.evict_for(bytes - self.bytes);
        }
        has_room
    }

    /// Grows to at least `bytes`; waits until there is room. Stalled clients give way.
    pub async fn wait_to_grow_to(&mut self, bytes: usize) {
        const RETRY_INTERVAL: Duration = Duration::from_millis(20);
        while self.grow_to(bytes).await.is_err() {
            monoio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn evict_for(&self, more: usize) -> bool {
        let mut table = self.table.0.borrow_mut();
        table.evict_for(self.client, self.bytes, more)
    }

    /// Shrinks to `bytes` if more are reserved.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus > 0 {
            self.bytes -= surplus;
            self.table.0.borrow_mut().release(self.client, surplus);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
