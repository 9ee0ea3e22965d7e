//! Responses without a body consist of their head, so that the next one follows it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener as StdListener, TcpStream},
    rc::Rc,
};

use http::{HeaderMap, StatusCode};
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::{encode_chunk, prelude::*};

/// Streams a response with the status that the path names.
struct StreamService;

impl Service for StreamService {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let status = exchange.path()[1..].parse().expect("a number");
            let status = StatusCode::from_u16(status).expect("a status");
            let headers = HeaderMap::new();
            let started = exchange.start_stream(status, headers, b"first").await;
            started.expect("started");
            let mut chunk = Vec::new();
            encode_chunk(&mut chunk, b"second");
            exchange.write_chunks(&chunk).await.expect("written");
            exchange.finish_stream().await.expect("finished");
        })
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
            serve(listener, ServerLimits::default(), Rc::new(StreamService)).await;
        });
    });
    addr
}

/// Guards against bytes that belong to no response before the next one.
#[test]
fn next_response_follows_the_head_of_a_response_without_a_body() {
    let addr = start_server();
    for first in ["GET /204", "GET /304", "HEAD /200"] {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        let requests = format!(
            "{first} HTTP/1.1\r\nhost: a\r\n\r\nGET /200 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(requests.as_bytes()).expect("sent");
        let mut responses = String::new();
        stream.read_to_string(&mut responses).expect("responses");
        let (head, rest) = responses.split_once("\r\n\r\n").expect("a head");
        let is_bodiless = first.starts_with("GET");
        assert!(!is_bodiless || !head.contains("chunked"), "{responses}");
        assert!(rest.starts_with("HTTP/1.1 200"), "{first}: {responses}");
        assert!(
            rest.ends_with("5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"),
            "{responses}"
        );
    }
}
