//! Threads with a runtime of their own.

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    task::Poll,
    thread::JoinHandle,
    time::Duration,
};

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to its end on a new runtime of this thread.
///
/// # Panics
///
/// Panics if the runtime can't start.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

/// Lets the other tasks of this thread run once.
pub async fn yield_now() {
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

/// A thread that serves until it is dropped.
pub struct ServingThread {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ServingThread {
    /// Starts a thread; `start` spawns its tasks, which live until the thread
    /// is dropped.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't start.
    pub fn start<F, Fut>(name: &str, start: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()>,
    {
        const LOOK_EVERY: Duration = Duration::from_millis(20);
        let stop = Arc::new(AtomicBool::new(false));
        let flag = stop.clone();
        let body = move || {
            block_on(async move {
                start().await;
                while !flag.load(Ordering::Relaxed) {
                    monoio::time::sleep(LOOK_EVERY).await;
                }
                notchwalk_http::end_all().await;
            });
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body);
        Self {
            stop,
            thread: Some(thread.expect("a thread starts")),
        }
    }

    /// Ends the thread, as a crash of its processes would.
    pub fn kill(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.kill();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
