//! Requests that are open when a daemon drains.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
};

/// Guards against a daemon that exits before it has responded to a request that it still reads.
#[test]
fn request_that_arrives_slowly_gets_a_response_before_the_daemon_exits() {
    let workspaces = vec![WorkspaceSpec::new("desk", 1.0)];
    let fleet = Fleet::start(FleetConfig::new(workspaces).with_sizes(1, 1, 1));
    let body = r#"{"model": "lampwise", "prompt": "How many?", "max_tokens": 5}"#;
    let (first, rest) = body.split_at(20);
    let mut stream = TcpStream::connect(fleet.caller_addrs()[0]).expect("a connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer key-of-desk\r\ncontent-length: {}\r\n\r\n{first}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let node = fleet.nodes[0].as_ref().expect("the node runs");
    node.drain();
    // Longer than callers may use a list of nodes.
    std::thread::sleep(Duration::from_millis(3_500));
    stream.write_all(rest.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("\"not_run\""), "{response}");
}
