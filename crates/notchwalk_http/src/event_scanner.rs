//! Finds the boundaries of server-sent events.

/// Follows a `text/event-stream` body byte by byte, with all line endings of the format: LF,
/// CRLF and CR.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    /// Whether the current line has bytes.
    in_line: bool,
    /// Whether the current event has a line that isn't a comment.
    in_event: bool,
    /// Whether the last line to end was blank.
    after_blank_line: bool,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// Whether the stream has a CRLF.
    uses_crlf: bool,
}

impl EventScanner {
    /// Scans the next bytes of the stream; returns the length of the prefix that ends with
    /// an event, 0 if none ends in them.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut end = 0;
        for (at, &byte) in bytes.iter().enumerate() {
            if self.scan_byte(byte) {
                end = at + 1;
            }
        }
        end
    }

    /// Returns whether the bytes scanned so far end inside an event. A comment is not part of
    /// an event.
    pub fn is_inside_event(&self) -> bool {
        self.in_event
    }

    /// Returns whether an event, or a blank line after it, ends with this byte.
    fn scan_byte(&mut self, byte: u8) -> bool {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => {
                self.uses_crlf = true;
                self.after_blank_line
            }
            b'\n' | b'\r' => {
                self.after_blank_line = !self.in_line;
                self.in_line = false;
                self.in_event &= !self.after_blank_line;
                // The LF of a CRLF belongs to the same line ending.
                self.after_blank_line && !(byte == b'\r' && self.uses_crlf)
            }
            _ => {
                let is_comment = !self.in_line && byte == b':';
                self.in_event |= !self.in_line && !is_comment;
                self.in_line = true;
                false
            }
        }
    }
}
