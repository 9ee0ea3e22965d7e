//! What the shell tells the task of a waiting caller, with a count of the
//! bytes not yet taken.

use std::{cell::Cell, rc::Rc};

use local_sync::mpsc::unbounded;
use notchwalk_decide::{Completion, Dispatch, Failure};

/// A message to a caller's task.
#[derive(Debug)]
pub enum CallerEvent {
    /// Tokens of the answer.
    Tokens(Vec<String>),
    /// Send the call to this server now (plain services only).
    Send(Dispatch),
    /// The stored outcome under this key is the answer.
    Stored(String),
    /// The request is over.
    Finish {
        /// How.
        result: Result<Completion, Failure>,
        /// Why the engine ended the answer: `stop` or `length`.
        reason: Option<String>,
    },
}

fn size(event: &CallerEvent) -> usize {
    match event {
        CallerEvent::Tokens(tokens) => tokens.iter().map(String::len).sum(),
        _ => 0,
    }
}

/// The shell's end.
#[derive(Clone)]
pub struct CallerTx {
    tx: unbounded::Tx<CallerEvent>,
    unread: Rc<Cell<usize>>,
}

/// The caller's end.
pub struct CallerRx {
    rx: unbounded::Rx<CallerEvent>,
    unread: Rc<Cell<usize>>,
}

/// Builds a channel.
pub fn caller_channel() -> (CallerTx, CallerRx) {
    let (tx, rx) = unbounded::channel();
    let unread = Rc::new(Cell::new(0));
    let tx = CallerTx {
        tx,
        unread: unread.clone(),
    };
    (tx, CallerRx { rx, unread })
}

impl CallerTx {
    /// Sends a message; one to a task that is gone is dropped.
    pub fn send(&self, event: CallerEvent) {
        self.unread.set(self.unread.get() + size(&event));
        let _ = self.tx.send(event);
    }

    /// Returns the bytes not yet taken.
    pub fn unread(&self) -> usize {
        self.unread.get()
    }
}

impl CallerRx {
    /// Waits for the next message; `None` when the shell forgot the request.
    pub async fn recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.recv().await?;
        self.unread.set(self.unread.get() - size(&event));
        Some(event)
    }

    /// Takes a message if one is there.
    pub fn try_recv(&mut self) -> Option<CallerEvent> {
        let event = self.rx.try_recv().ok()?;
        self.unread.set(self.unread.get() - size(&event));
        Some(event)
    }
}
