//! A malformed request head is rejected, so that no byte belongs to two requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener as StdListener, TcpStream},
    rc::Rc,
};

use http::StatusCode;
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::prelude::*;

/// Responds with the body of the request.
struct EchoService;

impl Service for EchoService {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let Ok(body) = exchange.read_body(1_000).await else {
                return exchange.abort();
            };
            let path = exchange.path().to_owned();
            let text = format!("<{path} {}>", String::from_utf8_lossy(&body));
            exchange.respond_text(StatusCode::OK, &text).await;
        })
    }

    fn reject<'a>(&'a self, exchange: &'a mut Exchange, _: HttpError) -> LocalBoxFuture<'a, ()> {
        Box::pin(exchange.respond_text(StatusCode::BAD_REQUEST, ""))
    }
}

fn start_server() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("non-blocking");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        builder.build().expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            serve(listener, ServerLimits::default(), Rc::new(EchoService)).await;
        });
    });
    addr
}

/// Sends these bytes and then a second request; returns all responses.
fn send(addr: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let second = "GET /second HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // The server may close the connection after the first bytes.
    let _ = stream.write_all(format!("{bytes}{second}").as_bytes());
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut responses = Vec::new();
    let _ = stream.read_to_end(&mut responses);
    String::from_utf8_lossy(&responses).into_owned()
}

/// Guards against a request that reaches a handler with a part of the next one as its body.
#[test]
fn head_that_ends_with_a_bare_line_feed_is_rejected() {
    let addr = start_server();
    for head in [
        "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 13\n\r\n",
        "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 13\r\n\n",
        "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 13\n\n",
        "POST /first HTTP/1.1\nhost: a\ncontent-length: 13\n\n",
        "GET /first HTTP/1.1\n\n",
    ] {
        for body in ["thirteen byte", "ten\r\n\r\nbytes"] {
            let responses = send(addr, &format!("{head}{body}"));
            assert!(
                responses.starts_with("HTTP/1.1 400"),
                "{head:?}: {responses}"
            );
            assert!(!responses.contains('<'), "{head:?}: {responses}");
        }
    }
}

#[test]
fn transfer_coding_other_than_chunked_is_rejected() {
    let addr = start_server();
    for codings in [
        "gzip",
        "chunked, gzip",
        "chunked\r\ntransfer-encoding: gzip",
        "gzip\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding: chunked",
    ] {
        let head = format!("POST /first HTTP/1.1\r\nhost: a\r\ntransfer-encoding: {codings}");
        let responses = send(addr, &format!("{head}\r\n\r\n1\r\na\r\n0\r\n\r\n"));
        assert!(
            responses.starts_with("HTTP/1.1 400"),
            "{codings:?}: {responses}"
        );
        assert!(!responses.contains('<'), "{codings:?}: {responses}");
    }
}

#[test]
fn well_formed_requests_follow_each_other() {
    let addr = start_server();
    for first in [
        "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n\r\n\r\na",
        "POST /first HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\n\r\n\r\na\r\n0\r\n\r\n",
        "\r\nPOST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n\r\n\r\na\r\n",
    ] {
        let responses = send(addr, first);
        assert!(responses.contains("</first \r\n\r\na>"), "{first:?}: {responses}");
        assert!(responses.contains("</second >"), "{first:?}: {responses}");
    }
}

/// Guards against blank lines without end that occupy a connection past the limit of a head.
#[test]
fn blank_lines_without_end_are_rejected() {
    let addr = start_server();
    let responses = send(addr, &"\r\n".repeat(40_000));
    assert!(!responses.contains('<'), "{responses}");
}
