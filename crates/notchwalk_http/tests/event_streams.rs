//! Event streams that end inside an event are truncated, whatever their framing says.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};

use http::Method;
use notchwalk_http::{Client, HttpError, OutgoingRequest};

const UNFRAMED: &str = "Content-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n";

/// Starts a server that answers one request with this head and these pieces and closes
/// the connection.
fn serve_once(headers: &str, pieces: &[&str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
    let pieces: Vec<String> = pieces.iter().map(|piece| (*piece).to_owned()).collect();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).expect("a request");
        stream.write_all(head.as_bytes()).expect("a write");
        for piece in pieces {
            stream.write_all(piece.as_bytes()).expect("a write");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    addr
}

/// Reads the body piece by piece; returns it with the result of the last read.
fn read_body(headers: &str, pieces: &[&str]) -> (String, Result<(), HttpError>) {
    let addr = serve_once(headers, pieces);
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    runtime.block_on(async {
        let req = OutgoingRequest::new(Method::GET, "/");
        let mut response = Client::new().stream(addr, req).await.expect("a response");
        let mut body = String::new();
        loop {
            match response.next().await {
                Ok(Some(piece)) => body += std::str::from_utf8(&piece).expect("text"),
                Ok(None) => return (body, Ok(())),
                Err(e) => return (body, Err(e)),
            }
        }
    })
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[test]
fn unframed_event_stream_that_ends_inside_an_event_is_truncated() {
    for tail in [
        "id: 2\ndata: b",
        "id: 2\ndata: b\n",
        "id",
        "data: b\r\n",
        "data: b\r",
    ] {
        let (body, end) = read_body(UNFRAMED, &["id: 1\ndata: a\n\n", tail]);
        assert!(end.is_err(), "{body:?} passed as complete");
    }
}

#[test]
fn unframed_event_stream_without_an_event_is_truncated() {
    let (_, end) = read_body(UNFRAMED, &[]);
    assert!(end.is_err());
}

#[test]
fn chunked_event_stream_that_ends_inside_an_event_is_truncated() {
    let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let pieces = [
        chunk("data: a\n\n"),
        chunk("data: b"),
        "0\r\n\r\n".to_owned(),
    ];
    let (body, end) = read_body(headers, &pieces.each_ref().map(String::as_str));
    assert!(end.is_err(), "{body:?} passed as complete");
}

#[test]
fn complete_event_streams_pass_in_all_line_endings() {
    for pieces in [
        &["data: a\n\n", "data: b\n\n"][..],
        &["data: a\r\n\r\ndata: b\r\n\r\n"],
        &["data: a\r\rdata: b\r\r"],
        &["data: a\n", "\n"],
        &["data: a\r\n", "\r", "\n"],
        &["data: a\r\n\r", "\n"],
        &["data: a\n\r\n"],
        &["data: a\r\n\n"],
        &["data: a\n\n", "\n"],
        &["data: a\n\n", ": a comment\n"],
        &["data: a\n\n", ": a comm"],
    ] {
        let (body, end) = read_body(UNFRAMED, pieces);
        assert!(end.is_ok(), "{pieces:?} counts as truncated");
        assert_eq!(body, pieces.concat());
    }
}

#[test]
fn other_unframed_bodies_end_with_their_connection() {
    let (body, end) = read_body("Content-Type: application/json\r\n", &["{\"a\":", "1}"]);
    assert!(end.is_ok());
    assert_eq!(body, "{\"a\":1}");
}
