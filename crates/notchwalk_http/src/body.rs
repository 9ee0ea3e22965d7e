//! Framing and decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};
use http::{header, HeaderMap};

use crate::HttpError;

/// How the end of a message body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length; bodies of messages that have none count as empty.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, which does not tell a complete body from a truncated one.
    UntilClose,
}

/// Maximum length of the line with a chunk's size and extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
const CRLF: &[u8] = b"\r\n";

/// Decoder state of a chunked body. Chunks are passed on in the pieces in which they arrive, so
/// that a large chunk needs no larger buffer than a small one.
#[derive(Default)]
pub enum ChunkedBody {
    /// Before the line with the size of the next chunk.
    #[default]
    Size,
    /// Inside a chunk of which this many bytes remain.
    Data(u64),
    /// After the data of a chunk.
    DataEnd,
    /// After the last chunk. Trailers are rejected.
    Trailers,
}

impl ChunkedBody {
    /// Splits the next piece of a chunk off `buf`; `None` if more bytes are needed, and an
    /// empty piece at the end of the body.
    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self {
                Self::Size => {
                    let Some(size) = take_chunk_size(buf)? else {
                        return Ok(None);
                    };
                    *self = match size {
                        0 => Self::Trailers,
                        size => Self::Data(size),
                    };
                }
                Self::Data(_) if buf.is_empty() => return Ok(None),
                Self::Data(remaining) => {
                    let n = (*remaining).min(buf.len() as u64);
                    *remaining -= n;
                    if *remaining == 0 {
                        *self = Self::DataEnd;
                    }
                    return Ok(Some(buf.split_to(n as usize).freeze()));
                }
                Self::DataEnd if !take_crlf(buf)? => return Ok(None),
                Self::DataEnd => *self = Self::Size,
                Self::Trailers => return Ok(take_crlf(buf)?.then(Bytes::new)),
            }
        }
    }
}

/// Removes the line with a chunk's size from `buf`; `None` if it is incomplete. Extensions are
/// ignored.
fn take_chunk_size(buf: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    let line = &buf[..buf.len().min(MAX_CHUNK_LINE_BYTES)];
    let starts_with_digit = line.first().is_none_or(u8::is_ascii_hexdigit);
    let parsed = httparse::parse_chunk_size(line).map_err(|_| HttpError::Framing)?;
    match parsed {
        _ if !starts_with_digit => Err(HttpError::Framing),
        httparse::Status::Complete((length, _)) if line[..length - 1].contains(&b'\n') => {
            Err(HttpError::Framing)
        }
        httparse::Status::Complete((length, size)) => {
            buf.advance(length);
            Ok(Some(size))
        }
        httparse::Status::Partial if line.len() == MAX_CHUNK_LINE_BYTES => Err(HttpError::Framing),
        httparse::Status::Partial => Ok(None),
    }
}

/// Removes a line end from `buf`; returns whether it was complete.
fn take_crlf(buf: &mut BytesMut) -> Result<bool, HttpError> {
    let n = buf.len().min(CRLF.len());
    if buf[..n] != CRLF[..n] {
        return Err(HttpError::Framing);
    }
    if n < CRLF.len() {
        return Ok(false);
    }
    buf.advance(n);
    Ok(true)
}

/// Decoder state of one message body.
#[derive(Default)]
pub enum BodyReader {
    /// The body was read completely, or the message has none.
    #[default]
    Done,
    /// The number of bytes that remain, from `Content-Length`.
    Fixed(u64),
    /// Chunked transfer coding.
    Chunked(ChunkedBody),
    /// The body ends when the connection is closed.
    UntilClose,
}

impl BodyReader {
    /// Determines the framing of a request body from the headers.
    ///
    /// # Errors
    ///
    /// Rejects contradictory or malformed framing, which would allow request smuggling.
    pub fn for_request(headers: &HeaderMap) -> Result<Self, HttpError> {
        Ok(Self::from_headers(headers)?.unwrap_or_default())
    }

    /// Determines the framing of a response body from the status and headers.
    ///
    /// # Errors
    ///
    /// Rejects contradictory or malformed framing.
    pub fn for_response(status: http::StatusCode, headers: &HeaderMap) -> Result<Self, HttpError> {
        if !may_have_body(status) {
            return Ok(Self::Done);
        }
        Ok(Self::from_headers(headers)?.unwrap_or(Self::UntilClose))
    }

    fn from_headers(headers: &HeaderMap) -> Result<Option<Self>, HttpError> {
        // A message may list its codings in several headers.
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let chunked = match (codings.next(), codings.next()) {
            (None, _) => false,
            (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => true,
            _ => return Err(HttpError::Framing),
        };
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        let Some(length) = lengths.next() else {
            return Ok(chunked.then(|| Self::Chunked(ChunkedBody::default())));
        };
        if chunked || lengths.next().is_some() {
            return Err(HttpError::Framing);
        }
        let text = length.to_str().map_err(|_| HttpError::Framing)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HttpError::Framing);
        }
        match text.parse().map_err(|_| HttpError::Framing)? {
            0 => Ok(Some(Self::Done)),
            remaining => Ok(Some(Self::Fixed(remaining))),
        }
    }

    /// Returns how the end of the body is marked. Call this before the body is read.
    pub fn framing(&self) -> BodyFraming {
        match self {
            Self::Done | Self::Fixed(_) => BodyFraming::Length,
            Self::Chunked(_) => BodyFraming::Chunked,
            Self::UntilClose => BodyFraming::UntilClose,
        }
    }

    /// Returns the number of bytes that remain, if `Content-Length` declares the length.
    pub fn remaining_length(&self) -> Option<u64> {
        match self {
            Self::Fixed(remaining) => Some(*remaining),
            _ => None,
        }
    }

    /// Returns whether the body was read completely.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Splits the next piece off `buf`. Returns `None` if more bytes are needed, and an
    /// empty piece at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails on malformed chunked coding.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        match self {
            Self::Done => Ok(Some(Bytes::new())),
            Self::UntilClose if buf.is_empty() => Ok(None),
            Self::UntilClose => Ok(Some(buf.split().freeze())),
            Self::Fixed(_) if buf.is_empty() => Ok(None),
            Self::Fixed(remaining) => {
                let n = (*remaining).min(buf.len() as u64);
                *remaining -= n;
                if *remaining == 0 {
                    *self = Self::Done;
                }
                Ok(Some(buf.split_to(n as usize).freeze()))
            }
            Self::Chunked(body) => {
                let chunk = body.decode(buf)?;
                if chunk.as_ref().is_some_and(Bytes::is_empty) {
                    *self = Self::Done;
                }
                Ok(chunk)
            }
        }
    }
}

/// Returns whether a response with this status may have a body.
pub(crate) fn may_have_body(status: http::StatusCode) -> bool {
    !status.is_informational()
        && status != http::StatusCode::NO_CONTENT
        && status != http::StatusCode::NOT_MODIFIED
}
