//! Framing and decoding of message bodies.

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

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

/// Maximum length of the line with a chunk's size, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 1_024;

/// Decoder state of a chunked body.
#[derive(Default)]
pub struct ChunkedBody {
    decoder: ChunkedBodyDecoder,
    /// Whether the size of the current chunk was read.
    in_chunk: bool,
}

impl ChunkedBody {
    /// Splits the next chunk off `buf`; `None` if more bytes are needed, and an empty chunk at
    /// the end of the body.
    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        // The decoder reads the line with the size from its start each time.
        let start = buf.get(..MAX_CHUNK_SIZE_LINE_BYTES);
        let is_too_long = |start: &[u8]| !start.contains(&b'\r');
        if !self.in_chunk && start.is_some_and(is_too_long) {
            return Err(HttpError::Framing);
        }
        let before = buf.len();
        let decoded = self.decoder.decode(buf).map_err(|_| HttpError::Framing)?;
        let Decoded::Some(chunk) = decoded else {
            self.in_chunk |= buf.len() < before;
            return Ok(None);
        };
        self.in_chunk = false;
        Ok(Some(chunk.unwrap_or_default()))
    }
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
        let chunked = match headers.get(header::TRANSFER_ENCODING) {
            None => false,
            Some(coding) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => true,
            Some(_) => return Err(HttpError::Framing),
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
