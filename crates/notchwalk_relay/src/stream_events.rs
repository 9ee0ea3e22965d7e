//! Cuts a stream of server-sent events at the ends of events, so that only
//! whole events are delivered and a stream can be resumed after the last one.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Bytes kept of an event that is not whole; more are passed on as they come,
/// so that memory stays bounded.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<u64>,
    oversized: bool,
}

impl EventSplitter {
    /// Takes bytes of the stream; returns the whole events that are complete
    /// now, empty if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buf) else {
            if self.buf.len() > MAX_EVENT_BYTES {
                self.oversized = true;
                return self.buf.split().freeze();
            }
            return Bytes::new();
        };
        let events = self.buf.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether a stream that breaks off now can be resumed without a gap
    /// or a repeat.
    pub fn is_resumable(&self) -> bool {
        !self.oversized
    }

    /// Drops the beginning of an event whose rest will not come.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Takes what follows after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let lf = memmem::rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = memmem::rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the number in the last `id:` line.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|&byte| byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
