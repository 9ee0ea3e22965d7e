//! Channel from the shell to the task that serves a caller; bounds the memory of unread tokens.

use std::{cell::RefCell, rc::Rc};

use local_sync::mpsc::unbounded;
use notchwalk_decide::{Completion, Dispatch, Failure};
use notchwalk_http::Reservation;

/// An event for a caller's task.
#[derive(Debug)]
pub enum CallerEvent {
    /// The next tokens of the response.
    Tokens(Vec<String>),
    /// The call is to be sent to a server (plain services only).
    Send(Dispatch),
    /// The response is the outcome stored under this table key.
    Stored(String),
    /// The request has completed or failed.
    Finish {
        result: Result<Completion, Failure>,
        /// The engine's finish reason: `stop` or `length`.
        reason: Option<String>,
    },
}

/// Returns the bytes of text in an event, and what they occupy in memory.
fn token_bytes(event: &CallerEvent) -> (usize, usize) {
    /// Smallest block of the allocator, in bytes.
    const MIN_ALLOCATION_BYTES: usize = 32;
    let CallerEvent::Tokens(tokens) = event else {
        return (0, 0);
    };
    let text = tokens.iter().map(String::len).sum();
    let allocated = tokens
        .iter()
        .map(|token| token.len().max(MIN_ALLOCATION_BYTES));
    let memory = allocated.sum::<usize>() + tokens.len() * size_of::<String>();
    (text, memory)
}

/// The tokens that were sent and not yet received.
struct Unread {
    text_bytes: usize,
    memory_bytes: usize,
    /// The memory for clients that is reserved for them.
    memory: Reservation,
}

impl Unread {
    fn add(&mut self, event: &CallerEvent) {
        let (text, memory) = token_bytes(event);
        self.text_bytes += text;
        self.memory_bytes += memory;
    }

    fn remove(&mut self, event: &CallerEvent) {
        let (text, memory) = token_bytes(event);
        self.text_bytes -= text;
        self.memory_bytes -= memory;
        self.memory.shrink_to(self.memory_bytes);
    }
}

/// The sending half, held by the shell.
#[derive(Clone)]
pub struct CallerTx {
    tx: unbounded::Tx<CallerEvent>,
    unread: Rc<RefCell<Unread>>,
}

/// The receiving half, held by the task that serves the caller.
pub struct CallerRx {
    rx: unbounded::Rx<CallerEvent>,
    unread: Rc<RefCell<Unread>>,
}

/// Creates a channel whose unread tokens are reserved in `memory`.
pub fn caller_channel(memory: Reservation) -> (CallerTx, CallerRx) {
    let (tx, rx) = unbounded::channel();
    let unread = Rc::new(RefCell::new(Unread {
        text_bytes: 0,
        memory_bytes: 0,
        memory,
    }));
    let tx = CallerTx {
        tx,
        unread: unread.clone(),
    };
    (tx, CallerRx { rx, unread })
}

impl CallerTx {
    /// Sends an event. The event is dropped if the task has ended.
    pub fn send(&self, event: CallerEvent) {
        self.unread.borrow_mut().add(&event);
        let _ = self.tx.send(event);
    }

    /// Returns whether the unread tokens have at most `max_bytes` and there is memory for them.
    pub fn is_within(&self, max_bytes: usize) -> bool {
        /// Callers that are this little behind don't pay for others.
        const MIN_UNREAD_BYTES: usize = 64 * 1024;
        let mut unread = self.unread.borrow_mut();
        let memory_bytes = unread.memory_bytes;
        let has_memory = unread.memory.grow_or_evict_to(memory_bytes);
        unread.text_bytes <= max_bytes && (has_memory || memory_bytes <= MIN_UNREAD_BYTES)
    }
}

impl CallerRx {
    /// Waits for the next event. Returns `None` once the shell has dropped the request.
    pub async fn recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.recv().await?;
        self.unread.borrow_mut().remove(&event);
        Some(event)
    }

    /// Returns the next event if one is queued.
    pub fn try_recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.try_recv().ok()?;
        self.unread.borrow_mut().remove(&event);
        Some(event)
    }
}
