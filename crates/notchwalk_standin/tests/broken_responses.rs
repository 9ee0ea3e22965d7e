//! Bytes of a plain service that are not a complete response never reach a caller of the daemon
//! as one.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    service::ServiceFault,
};

/// Larger than the send and receive buffers of a connection.
const UPLOAD_BYTES: usize = 8 << 20;

/// Starts a fleet whose service sends this text as its response to every call.
fn start_fleet(response: &str) -> Fleet {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(1, 1, 1);
    let fleet = Fleet::start(config);
    let fault = ServiceFault {
        raw_response: Some(response.to_owned()),
        ..ServiceFault::default()
    };
    fleet.set_service_fault(0, fault);
    fleet
}

/// Sends a call with a body; returns all bytes of the response.
fn call(fleet: &Fleet, method: &str, framing: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.caller_addrs()[0]).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    let head = format!(
        "{method} /v1/services/bookdesk/updates HTTP/1.1\r\nconnection: close\r\n\
         authorization: Bearer key-of-desk\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a write");
    // The node may respond before it has read the body.
    let _ = stream.write_all(body);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether the response is a success that is complete by its framing.
fn is_complete_success(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("http/1.1 2") && is_complete
}

#[test]
fn event_stream_of_a_service_cut_within_an_event_is_not_framed_as_complete() {
    let fleet = start_fleet(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n\
         data: first\n\ndata: sec",
    );
    let response = call(&fleet, "GET", "", b"");
    assert!(response.contains("data: first\n\n"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn unframed_response_cut_during_the_upload_is_not_complete() {
    let fleet = start_fleet("HTTP/1.1 200 OK\r\n\r\npart of the body");
    let length = format!("content-length: {UPLOAD_BYTES}\r\n");
    let body = vec![b'x'; UPLOAD_BYTES];
    for (framing, body) in [
        (length.as_str(), &body[..]),
        ("content-length: 500000\r\n", &body[..500_000]),
    ] {
        let response = call(&fleet, "PUT", framing, body);
        assert!(!is_complete_success(&response), "{framing}: {response}");
    }
}

#[test]
fn malformed_response_of_a_service_is_not_delivered() {
    let body = "content-length: 15\r\n\r\nfrom the server";
    let coded = "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n\
                 f\r\nfrom the server\r\n0\r\n\r\n";
    for response in [
        format!("HTTP/1.1 000 Odd\r\n{body}"),
        format!("HTTP/1.1 600 Odd\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nx odd: 1\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nx\x01odd: 1\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nx-odd : 1\r\n{body}"),
        "HTTP/1.1 200 OK\r\nx-odd: 1\n\r\nfirst\r\n\r\nfrom the server".to_owned(),
        "HTTP/1.1 200 OK\r\nx-odd: 1\r\n\nfirst\r\n\r\nfrom the server".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{coded}"),
        format!("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n{body}"),
    ] {
        // A new fleet, since a server that fails repeatedly gets no further calls.
        let fleet = start_fleet(&response);
        let received = call(&fleet, "POST", "content-length: 4\r\n", b"body");
        let text = format!("{response:?}: {received}");
        assert!(received.starts_with("HTTP/1.1 502"), "{text}");
        assert!(!received.contains("from the server"), "{text}");
        assert!(!received.to_lowercase().contains("odd"), "{text}");
    }
}

#[test]
fn well_formed_response_of_a_service_is_delivered() {
    let fleet = start_fleet("HTTP/1.1 200 OK\r\n\r\nall of it");
    let received = call(&fleet, "GET", "", b"");
    assert!(is_complete_success(&received), "{received}");
    assert!(received.contains("all of it"), "{received}");
}
