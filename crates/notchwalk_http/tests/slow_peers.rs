//! Heads and bodies that trickle in too slowly are refused.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener as StdListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use http::StatusCode;
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::prelude::*;

struct Echo;

impl Service for Echo {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let status = match exchange.body_bytes(1_000).await {
                Ok(_) => StatusCode::OK,
                Err(HttpError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
                Err(_) => StatusCode::BAD_REQUEST,
            };
            exchange.close_after();
            exchange.respond_text(status, "").await;
        })
    }

    fn refuse<'a>(&'a self, exchange: &'a mut Exchange, e: HttpError) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            assert!(matches!(e, HttpError::TimedOut), "{e}");
            exchange.respond_text(StatusCode::REQUEST_TIMEOUT, "").await;
        })
    }
}

/// Serves in a thread that ends with the test's process.
fn server() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("non-blocking");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        let limits = ServerLimits {
            head: Duration::from_millis(100),
            body_piece: Duration::from_millis(100),
            ..ServerLimits::default()
        };
        builder.build().expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            serve(listener, limits, Rc::new(Echo)).await;
        });
    });
    addr
}

#[test]
fn a_head_or_a_body_that_never_ends_is_refused() {
    let addr = server();
    for part in [
        "GET / HTTP/1.1\r\nx-slow: ",
        "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
    ] {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        stream.write_all(part.as_bytes()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    }
}
