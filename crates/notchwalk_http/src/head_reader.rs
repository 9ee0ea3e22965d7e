//! Splits message heads off a read buffer, decodes them and checks the status of responses.

use bytes::{Buf, BytesMut};
use http::StatusCode;
use memchr::memchr_iter;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;

use crate::HttpError;

const CR: u8 = b'\r';
const LF: u8 = b'\n';
const CRLF: &[u8] = b"\r\n";

/// Removes the blank lines before a message; returns their size in bytes.
pub(crate) fn skip_blank_lines(buf: &mut BytesMut) -> usize {
    let mut skipped = 0;
    loop {
        let line_end = match &buf[..] {
            [LF, ..] => 1,
            [CR, LF, ..] => 2,
            _ => return skipped,
        };
        buf.advance(line_end);
        skipped += line_end;
    }
}

/// Splits the head at the start of `buf` off and decodes it; `None` if it is incomplete.
///
/// # Errors
///
/// Fails on malformed heads.
pub(crate) fn take_head<D>(
    decoder: &mut D,
    buf: &mut BytesMut,
) -> Result<Option<D::Item>, HttpError>
where
    D: Decoder<Error = DecodeError>,
{
    let Some(length) = head_length(buf)? else {
        return Ok(None);
    };
    let mut head = buf.split_to(length);
    match decoder.decode(&mut head) {
        Ok(Decoded::Some(decoded)) => Ok(Some(decoded)),
        Ok(_) => Err(HttpError::Head("incomplete".to_owned())),
        Err(e) => Err(HttpError::Head(e.to_string())),
    }
}

/// Returns the size of the head at the start of `buf`, with the blank line that ends it.
///
/// # Errors
///
/// Fails if the head ends with a bare line feed: the decoder would drop the bytes from there up to
/// the next pair of CRLFs, which belong to the body.
fn head_length(buf: &[u8]) -> Result<Option<usize>, HttpError> {
    for line_feed in memchr_iter(LF, buf) {
        let (line, next_line) = buf.split_at(line_feed + 1);
        if next_line.starts_with(CRLF) && line.ends_with(CRLF) {
            return Ok(Some(line.len() + CRLF.len()));
        }
        if next_line.starts_with(CRLF) || next_line.starts_with(&[LF]) {
            return Err(HttpError::Head("ends with a bare line feed".to_owned()));
        }
    }
    Ok(None)
}

/// Returns whether a response with this status is the final one to its request.
///
/// # Errors
///
/// Fails on statuses outside the range of valid ones (RFC 9110, section 15), and on a protocol
/// switch: bytes of another protocol follow, which no request here asks for.
pub(crate) fn is_final(status: StatusCode) -> Result<bool, HttpError> {
    match status.as_u16() {
        101 => Err(HttpError::Head("unrequested protocol switch".to_owned())),
        100..=199 => Ok(false),
        200..=599 => Ok(true),
        code => Err(HttpError::Head(format!("invalid status {code}"))),
    }
}
