//! How the body of a message is framed, and its decoding.

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::HttpError;

/// The state of reading one message's body.
#[derive(Default)]
pub enum BodyReader {
    /// The body is at its end, or there is none.
    #[default]
    Done,
    /// So many bytes are still to come.
    Fixed(u64),
    /// Chunks follow until an empty one.
    Chunked(ChunkedBodyDecoder),
    /// The body ends with the connection.
    UntilClose,
}

impl BodyReader {
    /// Reads the framing of a request from its headers.
    ///
    /// # Errors
    ///
    /// Refuses contradictory or unreadable framing, which could hide a second
    /// request.
    pub fn for_request(headers: &HeaderMap) -> Result<Self, HttpError> {
        Ok(Self::from_headers(headers)?.unwrap_or_default())
    }

    /// Reads the framing of a response from its headers and status.
    ///
    /// # Errors
    ///
    /// Refuses contradictory or unreadable framing.
    pub fn for_response(status: http::StatusCode, headers: &HeaderMap) -> Result<Self, HttpError> {
        let bodiless = status.is_informational()
            || status == http::StatusCode::NO_CONTENT
            || status == http::StatusCode::NOT_MODIFIED;
        if bodiless {
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
            return Ok(chunked.then(|| Self::Chunked(ChunkedBodyDecoder::default())));
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
            left => Ok(Some(Self::Fixed(left))),
        }
    }

    /// Returns the declared length still to come, if one was declared.
    pub fn declared(&self) -> Option<u64> {
        match self {
            Self::Fixed(left) => Some(*left),
            _ => None,
        }
    }

    /// Tells whether the whole body was read.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
    }

    /// Takes the next piece out of `buf`; `None` asks for more bytes. An empty
    /// piece marks the end.
    ///
    /// # Errors
    ///
    /// Fails on malformed chunk framing.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        match self {
            Self::Done => Ok(Some(Bytes::new())),
            Self::UntilClose if buf.is_empty() => Ok(None),
            Self::UntilClose => Ok(Some(buf.split().freeze())),
            Self::Fixed(_) if buf.is_empty() => Ok(None),
            Self::Fixed(left) => {
                let n = (*left).min(buf.len() as u64);
                *left -= n;
                if *left == 0 {
                    *self = Self::Done;
                }
                Ok(Some(buf.split_to(n as usize).freeze()))
            }
            Self::Chunked(decoder) => match decoder.decode(buf) {
                Ok(Decoded::Some(Some(piece))) => Ok(Some(piece)),
                Ok(Decoded::Some(None)) => {
                    *self = Self::Done;
                    Ok(Some(Bytes::new()))
                }
                Ok(_) => Ok(None),
                Err(_) => Err(HttpError::Framing),
            },
        }
    }
}
