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
    ids: IdScanner,
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
                let partial = self.buf.split().freeze();
                self.scan_ids(&partial);
                return partial;
            }
            return Bytes::new();
        }
        self.passed_partial = false;
        let events = self.buf.split_to(end).freeze();
        self.scan_ids(&events);
        events
    }

    /// Follows the ids of events in bytes that are returned.
    fn scan_ids(&mut self, bytes: &[u8]) {
        self.last_id = self.ids.scan(bytes).or(self.last_id);
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
        self.ids = IdScanner::default();
        self.buf.split().len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Follows the `id` fields of a stream, with all line endings of the format: LF, CRLF and CR.
#[derive(Debug, Default)]
struct IdScanner {
    /// The start of the current line.
    line: Vec<u8>,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// The id of the current event.
    id: Option<u64>,
}

impl IdScanner {
    /// Maximum number of bytes of a line that are examined: a field with a number fits.
    const MAX_LINE_BYTES: usize = 64;

    /// Scans the next bytes of the stream; returns the id of the last event that ends in them.
    fn scan(&mut self, bytes: &[u8]) -> Option<u64> {
        let mut last_id = None;
        for line in bytes.split_inclusive(|&byte| is_line_end(byte)) {
            let (text, line_end) = match line.split_last() {
                Some((&byte, text)) if is_line_end(byte) => (text, Some(byte)),
                _ => (line, None),
            };
            let ends_crlf = line == b"\n" && self.after_cr;
            self.after_cr = line_end == Some(b'\r');
            if ends_crlf {
                continue;
            }
            let room = Self::MAX_LINE_BYTES.saturating_sub(self.line.len());
            self.line.extend_from_slice(&text[..text.len().min(room)]);
            if line_end.is_some() {
                last_id = self.end_line().or(last_id);
            }
        }
        last_id
    }

    /// Ends a line; returns the id of the event that ends with it.
    fn end_line(&mut self) -> Option<u64> {
        if self.line.is_empty() {
            return self.id.take();
        }
        if let Some(id) = self.line.strip_prefix(b"id:").and_then(number) {
            self.id = Some(id);
        }
        self.line.clear();
        None
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
