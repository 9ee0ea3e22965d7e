//! End-to-end completions: a caller's prompt is sent through a real node to a
//! stand-in engine, and the streamed response is checked.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use notchwalk_http::Client;
use notchwalk_standin::{
    caller::{self, Call, CallEnd, CallResult},
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    service::ServiceFault,
    thread::block_on,
    workload::prompt_text,
};

fn start_fleet(nodes: usize, engines: usize) -> Fleet {
    let workspaces = vec![WorkspaceSpec::new("desk", 1.0)];
    let config = FleetConfig::new(workspaces)
        .with_sizes(nodes, engines, 0)
        .with_time_scale(20.0);
    Fleet::start(config)
}

fn run_completion(fleet: &Fleet, tokens: u64, max_tokens: u32) -> CallResult {
    let call = Call {
        node: fleet.caller_addrs()[0],
        key: fleet.key(0).to_owned(),
        model: fleet.config.bundle.model.clone(),
        prompt: prompt_text(42, tokens),
        max_tokens,
        stop: Vec::new(),
        timeout: Duration::from_secs(60),
    };
    block_on(caller::call(&Client::new(), &call))
}

#[test]
fn streamed_completion_is_complete() {
    let fleet = start_fleet(1, 1);
    let result = run_completion(&fleet, 1_000, 50);
    assert_eq!(result.end, CallEnd::Complete);
    assert_eq!(result.tokens, 50);
}

#[test]
fn prompt_exceeding_twice_the_engine_memory_is_completed() {
    let fleet = start_fleet(2, 4);
    let result = run_completion(&fleet, 1_000_000, 10);
    assert_eq!(result.end, CallEnd::Complete);
}

#[test]
fn event_stream_of_a_service_cut_within_an_event_is_not_framed_as_complete() {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(1, 1, 1);
    let fleet = Fleet::start(config);
    let fault = ServiceFault {
        truncate_streams: true,
        ..ServiceFault::default()
    };
    fleet.set_service_fault(0, fault);
    let mut stream = TcpStream::connect(fleet.caller_addrs()[0]).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    let req = "GET /v1/services/bookdesk/updates HTTP/1.1\r\nconnection: close\r\n\
               authorization: Bearer key-of-desk\r\n\r\n";
    stream.write_all(req.as_bytes()).expect("a write");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.contains("data: first\n\n"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}
