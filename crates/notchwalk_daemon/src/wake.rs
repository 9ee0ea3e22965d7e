//! Notification between tasks of one thread.

use std::{cell::Cell, task::Poll};

use futures_util::task::AtomicWaker;

/// Wakes one waiting task; notifications before it runs are merged.
#[derive(Default)]
pub struct Wake {
    notified: Cell<bool>,
    waker: AtomicWaker,
}

impl Wake {
    /// Wakes the waiting task, or the next one that waits.
    pub fn notify(&self) {
        self.notified.set(true);
        self.waker.wake();
    }

    /// Waits for a notification.
    pub async fn wait(&self) {
        std::future::poll_fn(|cx| {
            self.waker.register(cx.waker());
            match self.notified.replace(false) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}
