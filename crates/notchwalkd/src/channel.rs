//! Channel from the shell to the task that serves a caller; counts the bytes of unread tokens.

use std::{cell::Cell, rc::Rc};

use local_sync::mpsc::unbounded;
use notchwalk_decide::{Completion, Dispatch, Failure};

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

fn token_bytes(event: &CallerEvent) -> usize {
    match event {
        CallerEvent::Tokens(tokens) => tokens.iter().map(String::len).sum(),
        _ => 0,
    }
}

/// The sending half, held by the shell.
#[derive(Clone)]
pub struct CallerTx {
    tx: unbounded::Tx<CallerEvent>,
    unread_bytes: Rc<Cell<usize>>,
}

/// The receiving half, held by the task that serves the caller.
pub struct CallerRx {
    rx: unbounded::Rx<CallerEvent>,
    unread_bytes: Rc<Cell<usize>>,
}

/// Creates a channel.
pub fn caller_channel() -> (CallerTx, CallerRx) {
    let (tx, rx) = unbounded::channel();
    let unread_bytes = Rc::new(Cell::new(0));
    let tx = CallerTx {
        tx,
        unread_bytes: unread_bytes.clone(),
    };
    (tx, CallerRx { rx, unread_bytes })
}

impl CallerTx {
    /// Sends an event. The event is dropped if the task has ended.
    pub fn send(&self, event: CallerEvent) {
        self.unread_bytes
            .set(self.unread_bytes.get() + token_bytes(&event));
        let _ = self.tx.send(event);
    }

    /// Returns the bytes of tokens sent and not yet received.
    pub fn unread_bytes(&self) -> usize {
        self.unread_bytes.get()
    }
}

impl CallerRx {
    /// Waits for the next event. Returns `None` once the shell has dropped the request.
    pub async fn recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.recv().await?;
        self.unread_bytes
            .set(self.unread_bytes.get() - token_bytes(&event));
        Some(event)
    }

    /// Returns the next event if one is queued.
    pub fn try_recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.try_recv().ok()?;
        self.unread_bytes
            .set(self.unread_bytes.get() - token_bytes(&event));
        Some(event)
    }
}
