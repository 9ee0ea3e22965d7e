//! Splits a stream of server-sent events at event boundaries, so that only complete
//! events are delivered and a stream can be resumed after the last of them.

use bytes::{Bytes, BytesMut};
use notchwalk_http::EventScanner;

/// Maximum buffered bytes of an incomplete event; the bytes of a larger one are passed
/// through as they arrive, to bound memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    buf: BytesMut,
    last_id: Option<u64>,
    /// Whether a part of the current event was returned.
    passed_partial: bool,
    /// Whether the rest of an event of which a part was returned was dropped.
    lost_rest: bool,
}

impl EventSplitter {
    /// Appends bytes of the stream; returns the events that are now complete, empty if
    /// there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let end = match self.scanner.scan(bytes) {
            0 => 0,
            end => self.buf.len() + end,
        };
        self.buf.extend_from_slice(bytes);
        if end == 0 {
            if self.buf.len() > MAX_EVENT_BYTES {
                self.passed_partial = true;
                return self.buf.split().freeze();
            }
            return Bytes::new();
        }
        self.passed_partial = false;
        let events = self.buf.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an interrupted stream can be resumed without gaps or duplicates.
    pub fn is_resumable(&self) -> bool {
        !self.lost_rest
    }

    /// Drops an incomplete event whose rest will not arrive; returns its size in bytes.
    pub fn drop_partial(&mut self) -> usize {
        self.lost_rest |= std::mem::take(&mut self.passed_partial);
        self.scanner = EventScanner::default();
        self.buf.split().len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Returns the number in the last `id:` line.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|&byte| byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
