//! Reading server-sent events from pieces of a stream.

/// The longest line kept while its end has not come, in bytes.
const MAX_LINE: usize = 1 << 20;

/// Collects pieces and gives back the data lines.
#[derive(Default)]
pub struct SseReader {
    buf: Vec<u8>,
    at: usize,
}

impl SseReader {
    /// Adds a piece. Returns `false` if a line is too long to be right.
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.buf.drain(..self.at);
        self.at = 0;
        let unfinished = self.buf.len();
        self.buf.extend_from_slice(piece);
        unfinished <= MAX_LINE
    }

    /// Takes the next whole data line.
    pub fn next_data(&mut self) -> Option<&[u8]> {
        loop {
            let start = self.at;
            let end = start + memchr::memchr(b'\n', &self.buf[start..])?;
            self.at = end + 1;
            let line = &self.buf[start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                // Borrowed anew, since the loop holds the first borrow.
                let from = end - (self.buf[start..end].len() - 5);
                let to = from + data.len();
                let data = &self.buf[from..to];
                return Some(data.strip_prefix(b" ").unwrap_or(data));
            }
        }
    }
}
