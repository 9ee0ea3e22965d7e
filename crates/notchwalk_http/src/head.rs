//! Encoding of message heads and chunks.

use std::io::Write;

use http::{header, HeaderMap, Method, StatusCode};

use crate::body::may_have_body;

/// The last chunk of a chunked body.
pub const CHUNK_END: &[u8] = b"0\r\n\r\n";

/// Encodes a response head. `length` is the size of the body in bytes, `None` for a chunked
/// body.
pub fn encode_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    length: Option<usize>,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    let reason = status.canonical_reason().unwrap_or("");
    let _ = write!(buf, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    if may_have_body(status) {
        finish_head(&mut buf, headers, length);
        return buf;
    }
    append_headers(&mut buf, headers);
    buf.extend_from_slice(b"\r\n");
    buf
}

/// Encodes a request head; `length` as in [`encode_response_head`].
pub fn encode_request_head(
    method: &Method,
    path: &str,
    host: &str,
    headers: &HeaderMap,
    length: Option<usize>,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    let _ = write!(buf, "{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    finish_head(&mut buf, headers, length);
    buf
}

/// Appends the headers, the framing header and the empty line that ends a head.
fn finish_head(buf: &mut Vec<u8>, headers: &HeaderMap, length: Option<usize>) {
    append_headers(buf, headers);
    match length {
        Some(n) => {
            let _ = write!(buf, "content-length: {n}\r\n\r\n");
        }
        None => buf.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n"),
    }
}

/// Appends the headers but for those that frame the body.
fn append_headers(buf: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        if *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
}

/// Appends `data` to `buf` as one chunk. Empty data adds nothing, since an empty chunk
/// ends the body.
pub fn encode_chunk(buf: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let _ = write!(buf, "{:x}\r\n", data.len());
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\r\n");
}
