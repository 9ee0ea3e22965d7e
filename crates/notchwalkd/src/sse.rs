//! Incremental parser of server-sent events.

/// Maximum size of an incomplete line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Buffers the chunks of a stream and splits them into data lines.
#[derive(Default)]
pub struct SseReader {
    buf: Vec<u8>,
    pos: usize,
}

impl SseReader {
    /// Appends a chunk. Returns `false` if the line left incomplete by earlier chunks
    /// exceeds the maximum size.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buf.drain(..self.pos);
        self.pos = 0;
        let pending = self.buf.len();
        self.buf.extend_from_slice(chunk);
        pending <= MAX_LINE_BYTES
    }

    /// Returns the next complete data line, without its `data:` prefix.
    pub fn next_data(&mut self) -> Option<&[u8]> {
        loop {
            let start = self.pos;
            let end = start + memchr::memchr(b'\n', &self.buf[start..])?;
            self.pos = end + 1;
            let line = &self.buf[start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                // Sliced again: the borrow checker rejects returning `data` from the loop.
                let from = end - (self.buf[start..end].len() - 5);
                let to = from + data.len();
                let data = &self.buf[from..to];
                return Some(data.strip_prefix(b" ").unwrap_or(data));
            }
        }
    }
}
