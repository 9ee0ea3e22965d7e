//! Log lines on standard output that never block the process: they are
//! collected in a bounded buffer and written by the daemon's tick. What does
//! not fit is counted and the count logged.

use std::{
    io::{self, Write},
    sync::{Mutex, OnceLock, PoisonError},
};

use rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags};

/// Bytes of log lines that wait to be written at most. A tick's worth at 100
/// requests a second is under 4 KiB; the rest is for a reader that is slow.
const MAX_WAITING_BYTES: usize = 128 * 1024;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

static WAITING: OnceLock<Mutex<Waiting>> = OnceLock::new();

fn waiting() -> &'static Mutex<Waiting> {
    WAITING.get_or_init(Mutex::default)
}

struct Sink;

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = waiting().lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output: one line an event, `key=value` pairs.
/// Standard output is switched to non-blocking writes.
pub fn start_logging() {
    let stdout = io::stdout();
    if let Ok(flags) = fcntl_getfl(&stdout) {
        // If that fails, a slow reader can block a tick; nothing is lost.
        let _ = fcntl_setfl(&stdout, flags | OFlags::NONBLOCK);
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Sink)))
        .format(|buf, record| writeln!(buf, "level={} {}", record.level(), record.args()))
        .init();
}

/// Writes what waits, as far as standard output takes it now.
pub fn flush() {
    let mut waiting = waiting().lock().unwrap_or_else(PoisonError::into_inner);
    if waiting.dropped > 0 && waiting.bytes.len() < MAX_WAITING_BYTES / 2 {
        let line = format!(
            "level=WARN NW1007 log lines were dropped count={}\n",
            waiting.dropped
        );
        waiting.bytes.extend_from_slice(line.as_bytes());
        waiting.dropped = 0;
    }
    if waiting.bytes.is_empty() {
        return;
    }
    match rustix::io::write(io::stdout(), &waiting.bytes) {
        Ok(written) => drop(waiting.bytes.drain(..written)),
        // A reader that is slow: the lines wait, within their bound.
        Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => {}
        // Nobody reads any more; there is nowhere to say so.
        Err(_) => waiting.bytes.clear(),
    }
    if waiting.bytes.is_empty() {
        waiting.bytes.shrink_to(8 * 1024);
    }
}
