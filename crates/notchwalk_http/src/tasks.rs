//! Tasks of a thread that can be aborted together.
//!
//! A monoio runtime does not drop pending tasks when it ends: a timer keeps its task alive
//! and the sockets of the task open. Threads that end before their process therefore start
//! tasks with [`spawn`] and call [`abort_all`] at the end.

use std::{cell::RefCell, future::Future, task::Poll, time::Duration};

use futures_util::future::{AbortHandle, Abortable};
use slotmap::{DefaultKey, SlotMap};

thread_local! {
    static TASKS: RefCell<SlotMap<DefaultKey, AbortHandle>> = RefCell::default();
}

/// Spawns a task on the runtime of this thread.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    let (handle, registration) = AbortHandle::new_pair();
    let key = TASKS.with_borrow_mut(|tasks| tasks.insert(handle));
    monoio::spawn(async move {
        // The only possible error is that the task was aborted.
        let _ = Abortable::new(task, registration).await;
        TASKS.with_borrow_mut(|tasks| tasks.remove(key));
    });
}

/// Aborts all tasks of this thread that were started with [`spawn`], including those that
/// they start in the meantime, and waits until they are dropped.
pub async fn abort_all() {
    /// Interval at which this checks whether all tasks were dropped. Only a timer lets the
    /// other tasks run while the future passed to `block_on` waits.
    const POLL_INTERVAL: Duration = Duration::from_millis(1);
    while !TASKS.with_borrow(SlotMap::is_empty) {
        TASKS.with_borrow(|tasks| tasks.values().for_each(AbortHandle::abort));
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lets the other tasks of this thread run.
pub(crate) async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
