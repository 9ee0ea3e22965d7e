//! One task wakes another of the same thread.

use std::{cell::Cell, task::Poll};

use futures_util::task::AtomicWaker;

/// Wakes one waiting task; several raises before it runs count as one.
#[derive(Default)]
pub struct Wake {
    raised: Cell<bool>,
    waker: AtomicWaker,
}

impl Wake {
    /// Wakes the task that waits, or the next one that does.
    pub fn raise(&self) {
        self.raised.set(true);
        self.waker.wake();
    }

    /// Waits until it is raised.
    pub async fn wait(&self) {
        std::future::poll_fn(|cx| {
            self.waker.register(cx.waker());
            match self.raised.replace(false) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}
