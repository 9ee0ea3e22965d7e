//! A body that ends with its connection is complete only if the connection did not fail.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    sync::mpsc,
    time::Duration,
};

use http::Method;
use notchwalk_http::{BufferedResponse, Client, HttpError, OutgoingRequest};

/// Starts a server that reads a part of one request, responds without a length, closes its half
/// of the connection if `closes_half`, and then all of it. Tells when it has done so.
fn serve_once(closes_half: bool) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tx, closed) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 20];
        stream.read_exact(&mut buf).expect("a request");
        let response = b"HTTP/1.1 200 OK\r\n\r\npart";
        stream.write_all(response).expect("a write");
        if closes_half {
            stream.shutdown(Shutdown::Write).expect("closed");
        }
        drop(stream);
        tx.send(()).expect("the test waits");
    });
    (addr, closed)
}

/// Sends a request with a body of this size; reads the body of the response once the server has
/// closed the connection.
fn send(body_bytes: usize, closes_half: bool) -> Result<BufferedResponse, HttpError> {
    let (addr, closed) = serve_once(closes_half);
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    runtime.block_on(async {
        let req = OutgoingRequest::new(Method::POST, "/").with_body(vec![b'x'; body_bytes]);
        let response = Client::new().stream(addr, req).await?;
        closed.recv().expect("closed");
        response.collect(1_000).await
    })
}

/// Guards against a part of a body that passes as complete because the reset came after the end
/// of the peer's half.
#[test]
fn unframed_body_is_truncated_by_a_reset_before_the_request_was_read() {
    for body_bytes in [1_000, 300_000, 1_000_000, 8_000_000] {
        for closes_half in [false, true] {
            let received = send(body_bytes, closes_half).map(|response| response.body);
            assert!(
                received.is_err(),
                "{body_bytes} {closes_half}: {received:?}"
            );
        }
    }
}

/// Guards against a part of a body that passes as complete while the reset is on its way.
#[test]
fn unframed_body_is_truncated_by_a_reset_shortly_after_the_end_of_the_stream() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0; 20]).expect("a request");
        let response = b"HTTP/1.1 200 OK\r\n\r\npart";
        stream.write_all(response).expect("a write");
        stream.shutdown(Shutdown::Write).expect("closed");
        std::thread::sleep(Duration::from_millis(50));
    });
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    let received = runtime.block_on(async {
        let req = OutgoingRequest::new(Method::POST, "/").with_body(vec![b'x'; 100_000]);
        let client = Client::new().with_reset_timeout(Duration::from_secs(2));
        client.stream(addr, req).await?.collect(1_000).await
    });
    let received = received.map(|response| response.body);
    assert!(received.is_err(), "{received:?}");
}
