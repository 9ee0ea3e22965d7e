//! Threads that each run their own async runtime.

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

/// Runs a future to completion on a new runtime on this thread.
///
/// # Panics
///
/// Panics if the runtime can't be built.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder
        .build()
        .expect("failed to build the runtime")
        .block_on(future)
}

/// Yields once to the other tasks of this thread.
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

/// A thread that runs tasks until it is dropped.
pub struct ServingThread {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ServingThread {
    /// Starts a thread. `start` spawns its tasks, which run until the thread is stopped.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be spawned.
    pub fn start<F, Fut>(name: &str, start: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()>,
    {
        const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
        let stop = Arc::new(AtomicBool::new(false));
        let flag = stop.clone();
        let body = move || {
            block_on(async move {
                start().await;
                while !flag.load(Ordering::Relaxed) {
                    monoio::time::sleep(STOP_POLL_INTERVAL).await;
                }
                notchwalk_http::abort_all().await;
            });
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body);
        Self {
            stop,
            thread: Some(thread.expect("failed to spawn a thread")),
        }
    }

    /// Requests the thread to stop. Its tasks are aborted.
    pub fn request_stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
