//! Requests whose head or body arrives too slowly are rejected.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener as StdListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use http::StatusCode;
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::prelude::*;

struct StatusService;

impl Service for StatusService {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let status = match exchange.read_body(1_000).await {
                Ok(_) => StatusCode::OK,
                Err(HttpError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
                Err(_) => StatusCode::BAD_REQUEST,
            };
            exchange.close_after();
            exchange.respond_text(status, "").await;
        })
    }

    fn reject<'a>(&'a self, exchange: &'a mut Exchange, e: HttpError) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            assert!(matches!(e, HttpError::TimedOut), "{e}");
            exchange.respond_text(StatusCode::REQUEST_TIMEOUT, "").await;
        })
    }
}

/// Starts a server in a thread that runs until the test process exits.
fn start_server() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("non-blocking");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        let limits = ServerLimits {
            head_timeout: Duration::from_millis(100),
            body_read_timeout: Duration::from_millis(100),
            ..ServerLimits::default()
        };
        builder.build().expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            serve(listener, limits, Rc::new(StatusService)).await;
        });
    });
    addr
}

#[test]
fn incomplete_head_or_body_is_rejected_after_timeout() {
    let addr = start_server();
    for incomplete in [
        "GET / HTTP/1.1\r\nx-slow: ",
        "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
    ] {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.write_all(incomplete.as_bytes()).expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    }
}

/// Guards against a response that a reset discards because the rest of the body is not read.
#[test]
fn response_sent_before_a_long_body_is_read_reaches_the_caller() {
    let addr = start_server();
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let body = vec![b'x'; 4 << 20];
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&body).expect("the body was not taken");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}
