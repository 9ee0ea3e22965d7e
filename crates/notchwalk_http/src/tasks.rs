//! Tasks of a thread that can be ended together.
//!
//! A runtime that ends does not drop the tasks that wait: a timer of a task
//! keeps the task alive, and with it its sockets. Threads that end before their
//! process does therefore start tasks with [`spawn`] and end with [`end_all`].

use std::{cell::RefCell, future::Future, time::Duration};

use futures_util::future::{AbortHandle, Abortable};
use slotmap::{DefaultKey, SlotMap};

thread_local! {
    static TASKS: RefCell<SlotMap<DefaultKey, AbortHandle>> = RefCell::default();
}

/// Starts a task on this thread's runtime.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    let (handle, registration) = AbortHandle::new_pair();
    let key = TASKS.with_borrow_mut(|tasks| tasks.insert(handle));
    monoio::spawn(async move {
        // The only error says that the task was ended, which is wanted.
        let _ = Abortable::new(task, registration).await;
        TASKS.with_borrow_mut(|tasks| tasks.remove(key));
    });
}

/// Ends all tasks of this thread that were started with [`spawn`], and waits
/// until they are dropped. Tasks that they start meanwhile are ended as well.
pub async fn end_all() {
    /// Long enough for the other tasks to run; the runtime's own future can't
    /// yield to them without a timer.
    const LOOK_EVERY: Duration = Duration::from_millis(1);
    while !TASKS.with_borrow(SlotMap::is_empty) {
        TASKS.with_borrow(|tasks| tasks.values().for_each(AbortHandle::abort));
        monoio::time::sleep(LOOK_EVERY).await;
    }
}
