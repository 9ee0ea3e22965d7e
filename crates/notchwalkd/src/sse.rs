//! Reading server-sent events from pieces of a stream.

use bytes::BytesMut;

/// The longest line kept while its end has not come, in bytes.
const MAX_LINE: usize = 1 << 20;

/// Collects pieces and gives back the data lines.
#[derive(Default)]
pub struct SseReader {
    buf: BytesMut,
}

impl SseReader {
    /// Adds a piece. Returns `false` if a line is too long to be right.
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.buf.extend_from_slice(piece);
        self.buf.len() <= MAX_LINE + piece.len()
    }

    /// Takes the next whole data line.
    pub fn next_data(&mut self) -> Option<BytesMut> {
        loop {
            let end = self.buf.iter().position(|b| *b == b'\n')?;
            let mut line = self.buf.split_to(end + 1);
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.starts_with(b"data:") {
                let start = if line.get(5) == Some(&b' ') { 6 } else { 5 };
                return Some(line.split_off(start));
            }
        }
    }
}
