//! A malformed response head is an error, and a well-formed one ends where its body begins.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};

use http::Method;
use notchwalk_http::{BufferedResponse, Client, HttpError, OutgoingRequest};
use proptest::prelude::*;

/// Starts a server that sends these bytes in response to one request and closes the connection.
fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).expect("a request");
        stream.write_all(&bytes).expect("a write");
    });
    addr
}

fn receive(bytes: impl Into<Vec<u8>>) -> Result<BufferedResponse, HttpError> {
    let addr = serve_once(bytes.into());
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    runtime.block_on(async {
        let req = OutgoingRequest::new(Method::GET, "/");
        Client::new().stream(addr, req).await?.collect(10_000).await
    })
}

#[track_caller]
fn assert_rejected(bytes: impl Into<Vec<u8>>) {
    let bytes = bytes.into();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let received = receive(bytes).map(|response| (response.status, response.body));
    assert!(received.is_err(), "{text:?}: {received:?}");
}

#[track_caller]
fn assert_received(bytes: &str, status: u16, body: &str) {
    let response = receive(bytes).unwrap_or_else(|e| panic!("{bytes:?}: {e}"));
    let received = (response.status.as_u16(), &response.body[..]);
    assert_eq!(received, (status, body.as_bytes()), "{bytes:?}");
}

#[test]
fn malformed_statuses_are_rejected() {
    for status in ["000", "099", "001", "20", "2000", "2x0", "+20", " 200", ""] {
        assert_rejected(format!("HTTP/1.1 {status} X\r\nContent-Length: 1\r\n\r\na"));
    }
}

/// Returns whether a header name may hold this byte (`tchar` of RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

#[test]
fn bytes_that_no_header_name_may_hold_are_rejected() {
    let is_separator = |byte: u8| matches!(byte, b':' | b'\n');
    for byte in (0..=u8::MAX).filter(|&byte| !is_token_byte(byte) && !is_separator(byte)) {
        for name in [[byte, b'n', b'n'], [b'n', byte, b'n'], [b'n', b'n', byte]] {
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
            assert_rejected([&head[..], &name[..], b": 1\r\n\r\na"].concat());
        }
    }
}

#[test]
fn malformed_header_lines_are_rejected() {
    for line in [
        ": empty name",
        "no-colon",
        "Folded: a\r\n b",
        "Folded: a\r\n\tb",
        "Value: a\rb",
        "Value: a\0b",
        "Value: a\x7fb",
        "Content-Length : 1",
        "Content-Length: 1\r\nContent-Length: 1",
        "Content-Length: 1, 1",
        "Content-Length: +1",
        "Content-Length: -1",
        "Content-Length: 0x1",
        "Content-Length:",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
    ] {
        assert_rejected(format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\na"));
    }
}

#[test]
fn malformed_interim_response_is_rejected() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    for interim in ["HTTP/1.1 103 Early\r\nbad name: 1", "HTTP/1.1 1030 Early"] {
        assert_rejected(format!("{interim}\r\n\r\n{response}"));
    }
    assert_rejected(format!(
        "HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\nab{response}"
    ));
}

/// Guards against the loss of a body's first lines when lines of the head end with LF alone.
#[test]
fn head_that_ends_with_a_bare_line_feed_is_rejected() {
    for head in [
        "HTTP/1.1 200 OK\r\nA: b\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n\n",
        "HTTP/1.1 200 OK\r\nA: b\n\n",
        "HTTP/1.1 200 OK\nA: b\n\n",
        "HTTP/1.1 200 OK\n\n",
        "HTTP/1.1 200 OK\n\r\n",
    ] {
        for body in ["first", "first\r\n\r\nsecond", "a: b\r\n\r\nsecond"] {
            assert_rejected(format!("{head}{body}"));
        }
    }
}

#[test]
fn blank_lines_in_a_body_belong_to_it() {
    for body in [
        "\r\n\r\nsecond",
        "\n\nsecond",
        "first\r\n\r\nsecond",
        "\n\r\n",
    ] {
        assert_received(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"), 200, body);
        assert_received(
            &format!("HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n{body}"),
            200,
            body,
        );
    }
}

#[test]
fn blank_lines_before_a_response_are_skipped() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    for blank in ["\r\n", "\r\n\r\n", "\n"] {
        assert_received(&format!("{blank}{response}"), 200, "a");
    }
}

/// Guards against a body in another coding that passes as chunked.
#[test]
fn transfer_coding_other_than_chunked_is_rejected() {
    for codings in [
        "gzip",
        "chunked, gzip",
        "gzip, chunked",
        "chunked, chunked",
        "identity",
        "",
        "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding:",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {codings}\r\n");
        assert_rejected(format!("{head}\r\n1\r\na\r\n0\r\n\r\n"));
    }
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    assert_received(chunked, 200, "a");
}

/// Guards against a protocol switch that is skipped like an interim response.
#[test]
fn protocol_switch_that_was_not_requested_is_rejected() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    assert_rejected(switch);
    assert_rejected(format!("{switch}{response}"));
    for status in [100, 102, 103, 199] {
        assert_received(&format!("HTTP/1.1 {status} X\r\n\r\n{response}"), 200, "a");
    }
}

#[test]
fn statuses_outside_the_valid_range_are_rejected() {
    for status in [600, 666, 700, 999] {
        assert_rejected(format!("HTTP/1.1 {status} X\r\nContent-Length: 1\r\n\r\na"));
    }
    for status in [200, 299, 302, 418, 499, 500, 599] {
        let bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: 1\r\n\r\na");
        assert_received(&bytes, status, "a");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(66), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes that are dropped between a head and its body.
    #[test]
    fn body_is_whole_or_the_head_is_rejected_for_any_line_ends(
        status_end in "\r?\n",
        lines in prop::collection::vec("[A-C]: [a-c]{0,3}(\r\n|\n|\r)", 0..4),
        blank in "(\r\n|\n|\r)",
        body in "([a: ]|\r\n|\n|\r){0,12}",
    ) {
        let bytes = format!("HTTP/1.1 200 OK{status_end}{}{blank}{body}", lines.concat());
        if let Ok(response) = receive(bytes.clone()) {
            let (head, body) = bytes.split_once("\r\n\r\n").expect("the end of a head");
            prop_assert_eq!(&response.body[..], body.as_bytes(), "{:?}", bytes);
            prop_assert!(!head.contains("\n\n") && !head.contains("\n\r\n"), "{bytes:?}");
        }
    }
}
