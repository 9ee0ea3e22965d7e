//! Non-blocking logging to standard output: lines are collected in a bounded buffer,
//! which the daemon flushes periodically. Lines that don't fit are dropped and counted.

use std::{
    io::{self, Write},
    sync::{Mutex, OnceLock, PoisonError},
};

use rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags};

/// Size of the buffer in bytes; covers bursts and a slow reader of standard output.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

static BUFFER: OnceLock<Mutex<Buffer>> = OnceLock::new();

fn buffer() -> &'static Mutex<Buffer> {
    BUFFER.get_or_init(Mutex::default)
}

struct Sink;

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = buffer().lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output: one line per event, with `key=value` pairs.
/// Switches standard output to non-blocking writes.
pub fn start_logging() {
    let stdout = io::stdout();
    if let Ok(flags) = fcntl_getfl(&stdout) {
        // If this fails, a slow reader can block a flush; no lines are lost.
        let _ = fcntl_setfl(&stdout, flags | OFlags::NONBLOCK);
    }
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Sink)))
        .format(|buf, record| writeln!(buf, "level={} {}", record.level(), record.args()))
        .init();
}

/// Writes buffered lines, as far as standard output accepts them without blocking.
pub fn flush() {
    let mut buffer = buffer().lock().unwrap_or_else(PoisonError::into_inner);
    if buffer.dropped > 0 && buffer.bytes.len() < MAX_BUFFERED_BYTES / 2 {
        let line = format!(
            "level=WARN NW1007 log lines were dropped count={}\n",
            buffer.dropped
        );
        buffer.bytes.extend_from_slice(line.as_bytes());
        buffer.dropped = 0;
    }
    if buffer.bytes.is_empty() {
        return;
    }
    match rustix::io::write(io::stdout(), &buffer.bytes) {
        Ok(written) => drop(buffer.bytes.drain(..written)),
        // Standard output would block: the lines stay buffered.
        Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => {}
        // Standard output is closed.
        Err(_) => buffer.bytes.clear(),
    }
    if buffer.bytes.is_empty() {
        buffer.bytes.shrink_to(8 * 1024);
    }
}
