//! Invalid requests and misbehaving callers: each gets a specific error, and
//! engine memory is released.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::OnceLock,
    time::{Duration, Instant},
};

use notchwalk_standin::{
    engine::EngineCounts,
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
};
use serde_json::Value;

struct Shared {
    fleet: std::sync::Mutex<Fleet>,
    node_addr: SocketAddr,
    operator_addr: SocketAddr,
}

/// Returns a small fleet that the tests of this file share.
fn shared() -> &'static Shared {
    static FLEET: OnceLock<Shared> = OnceLock::new();
    FLEET.get_or_init(|| {
        let workspaces = vec![WorkspaceSpec::new("desk", 1.0)];
        let config = FleetConfig::new(workspaces).with_sizes(1, 1, 1);
        let fleet = Fleet::start(config);
        let node_addr = fleet.caller_addrs()[0];
        let operator_addr = fleet.nodes[0]
            .as_ref()
            .expect("node is not running")
            .addresses
            .operator;
        Shared {
            fleet: std::sync::Mutex::new(fleet),
            node_addr,
            operator_addr,
        }
    })
}

fn connect() -> TcpStream {
    let stream = TcpStream::connect(shared().node_addr).expect("failed to connect to the node");
    let read_timeout = Some(Duration::from_secs(10));
    stream
        .set_read_timeout(read_timeout)
        .expect("failed to set the read timeout");
    stream
}

/// Sends raw bytes and returns the status and JSON body of the response. Reads until
/// the node closes the connection.
fn send_raw(raw: &str) -> (u16, Value) {
    let mut stream = connect();
    stream
        .write_all(raw.as_bytes())
        .expect("failed to send the request");
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    let status = response.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = response.split("\r\n\r\n").nth(1).unwrap_or("");
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    (status.unwrap_or(0), body)
}

fn post(path: &str, headers: &str, body: &str) -> (u16, Value) {
    let length = body.len();
    send_raw(&format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer key-of-desk\r\n{headers}content-length: {length}\r\n\r\n{body}"
    ))
}

fn error_fields(response: &(u16, Value)) -> (u16, &str, &str) {
    let error = &response.1["error"];
    let text = |key: &str| error[key].as_str().unwrap_or("");
    (response.0, text("code"), text("outcome"))
}

#[track_caller]
fn assert_refused(response: &(u16, Value), status: u16, expected: &str) {
    assert_eq!(
        error_fields(response),
        (status, expected, "not_run"),
        "{:?}",
        response.1
    );
}

#[test]
fn malformed_http_gets_status_400() {
    assert_refused(&send_raw("NONSENSE\r\n\r\n"), 400, "malformed_http");
}

/// Guards against request smuggling.
#[test]
fn conflicting_body_lengths_are_refused() {
    let raw = "POST /v1/completions HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n";
    assert_refused(&send_raw(raw), 400, "malformed_http");
    let raw = "POST /v1/completions HTTP/1.1\r\ncontent-length: 5\r\n\
               transfer-encoding: chunked\r\n\r\n";
    assert_refused(&send_raw(raw), 400, "malformed_http");
}

#[test]
fn oversized_headers_are_refused() {
    let filler = "x".repeat(40_000);
    let response = send_raw(&format!("GET /v1/models HTTP/1.1\r\nx-filler: {filler}"));
    assert_refused(&response, 431, "headers_too_large");
}

#[test]
fn oversized_body_is_refused_before_it_is_sent() {
    let raw = "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer key-of-desk\r\n\
               content-length: 99999999999\r\n\r\n";
    let started = Instant::now();
    assert_refused(&send_raw(raw), 413, "body_too_large");
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn malformed_json_and_invalid_types_have_distinct_errors() {
    let response = post("/v1/completions", "", "{\"model\":");
    assert_refused(&response, 400, "malformed_json");
    let body = r#"{"model":"lampwise","prompt":"x","max_tokens":"many"}"#;
    assert_refused(&post("/v1/completions", "", body), 400, "invalid_parameter");
    let body = r#"{"model":"lampwise","prompt":[],"max_tokens":1}"#;
    assert_refused(&post("/v1/completions", "", body), 400, "invalid_parameter");
}

#[test]
fn unknown_and_unsupported_parameters_have_distinct_errors() {
    let body = r#"{"model":"lampwise","prompt":"x","max_token":3}"#;
    let response = post("/v1/completions", "", body);
    assert_refused(&response, 400, "unknown_parameter");
    assert_eq!(response.1["error"]["param"], "max_token");
    let body = r#"{"model":"lampwise","prompt":"x","n":3}"#;
    assert_refused(
        &post("/v1/completions", "", body),
        400,
        "unsupported_parameter",
    );
}

#[test]
fn unknown_models_adapters_and_versions_are_refused() {
    for (model, expected) in [
        ("other", "model_not_found"),
        ("lampwise:other", "adapter_not_found"),
        ("lampwise@v9", "version_not_found"),
    ] {
        let body = format!(r#"{{"model":"{model}","prompt":"x"}}"#);
        assert_refused(&post("/v1/completions", "", &body), 404, expected);
    }
}

#[test]
fn missing_and_unknown_api_keys_are_refused() {
    let raw = "GET /v1/models HTTP/1.1\r\nconnection: close\r\n\r\n";
    assert_refused(&send_raw(raw), 401, "invalid_api_key");
    let raw = "GET /v1/models HTTP/1.1\r\nconnection: close\r\nauthorization: Bearer no\r\n\r\n";
    assert_refused(&send_raw(raw), 401, "invalid_api_key");
}

#[test]
fn invalid_priority_header_is_refused() {
    let body = r#"{"model":"lampwise","prompt":"x"}"#;
    let response = post("/v1/completions", "x-notchwalk-priority: urgent\r\n", body);
    assert_refused(&response, 400, "invalid_header");
}

#[test]
fn requests_exceeding_the_context_length_are_refused() {
    let body = r#"{"model":"lampwise","prompt":"x","max_tokens":4000000}"#;
    let response = post("/v1/completions", "", body);
    assert_refused(&response, 400, "context_length_exceeded");
}

#[test]
fn unknown_paths_methods_and_services_are_refused() {
    assert_refused(&post("/v1/nothing", "", ""), 404, "not_found");
    assert_refused(&post("/v1/models", "", ""), 405, "method_not_allowed");
    assert_refused(
        &post("/v1/services/other/x", "", ""),
        404,
        "service_not_found",
    );
}

#[test]
fn caller_disconnect_releases_engine_memory() {
    let body = r#"{"model":"lampwise","prompt":"gone soon","max_tokens":100000,"stream":true}"#;
    let mut stream = connect();
    let raw = format!(
        "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer key-of-desk\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(raw.as_bytes())
        .expect("failed to send the request");
    let mut buf = [0; 512];
    let n = stream
        .read(&mut buf)
        .expect("failed to read the start of the response");
    assert!(n > 0);
    drop(stream);
    let fleet = shared().fleet.lock().expect("the mutex is poisoned");
    let started = Instant::now();
    loop {
        let counts: EngineCounts = fleet.engine_counts(0);
        if counts.used_tokens == 0 {
            return;
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{counts:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn idle_connections_do_not_block_requests() {
    const IDLE: usize = 2_000;
    let idle: Vec<_> = (0..IDLE).map(|_| connect()).collect();
    let body = r#"{"model":"lampwise","prompt":"x","max_tokens":2}"#;
    let response = post("/v1/completions", "", body);
    assert_eq!(response.0, 200);
    drop(idle);
}

#[test]
fn stalled_caller_is_disconnected_and_engine_memory_is_released() {
    // Not the shared fleet, because the response fills the engine.
    let mut config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)])
        .with_sizes(1, 1, 0)
        .with_time_scale(500.0);
    config.capacity_tokens = 1_000_000;
    let fleet = Fleet::start(config);
    // Longer than the node's buffer for a slow caller and the socket buffers.
    let body = r#"{"model":"lampwise","prompt":"slow","max_tokens":900000,"stream":true}"#;
    let raw = format!(
        "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer key-of-desk\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream =
        TcpStream::connect(fleet.caller_addrs()[0]).expect("failed to connect to the node");
    stream
        .write_all(raw.as_bytes())
        .expect("failed to send the request");
    wait_until(&fleet, "the response did not start within 60 s", |counts| {
        counts.generated_tokens > 0
    });
    wait_until(
        &fleet,
        "the engine did not release its memory within 60 s",
        |counts| counts.used_tokens == 0,
    );
    let generated = fleet.engine_counts(0).generated_tokens;
    assert!(generated < 900_000, "the whole response was generated");
    drop(stream);
}

fn wait_until(fleet: &Fleet, error: &str, condition: impl Fn(&EngineCounts) -> bool) {
    let started = Instant::now();
    while !condition(&fleet.engine_counts(0)) {
        assert!(started.elapsed() < Duration::from_secs(60), "{error}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn service_request_bodies_are_streamed() {
    const BYTES: usize = 8 << 20;
    let mut stream = connect();
    let head = "PUT /v1/services/bookdesk/plots/7 HTTP/1.1\r\nconnection: close\r\n\
                authorization: Bearer key-of-desk\r\ntransfer-encoding: chunked\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .expect("failed to send the request");
    let chunk = vec![b'x'; 64 * 1024];
    for _ in 0..BYTES / chunk.len() {
        stream
            .write_all(format!("{:x}\r\n", chunk.len()).as_bytes())
            .expect("failed to send the request");
        stream
            .write_all(&chunk)
            .expect("failed to send the request");
        stream
            .write_all(b"\r\n")
            .expect("failed to send the request");
    }
    stream
        .write_all(b"0\r\n\r\n")
        .expect("failed to send the request");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("failed to read the response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        response.contains(&format!("\"body_bytes\":{BYTES}")),
        "{response}"
    );
}

#[test]
fn invalid_peer_connections_are_closed() {
    let fleet = shared().fleet.lock().expect("the mutex is poisoned");
    let peer_addr = fleet.nodes[0]
        .as_ref()
        .expect("node is not running")
        .addresses
        .peer;
    drop(fleet);
    let upgrade = "GET / HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
                   sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-version: 13\r\n\r\n";
    // An empty binary frame, then one whose length exceeds its payload.
    let frames = [
        0x82, 0x80, 0, 0, 0, 0, 0x82, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff,
    ];
    for bytes in [
        b"garbage\r\n\r\n".to_vec(),
        [upgrade.as_bytes(), &frames].concat(),
    ] {
        let mut stream = TcpStream::connect(peer_addr).expect("failed to connect to the node");
        let read_timeout = Some(Duration::from_secs(10));
        stream
            .set_read_timeout(read_timeout)
            .expect("failed to set the read timeout");
        stream
            .write_all(&bytes)
            .expect("failed to send the request");
        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response);
        assert!(
            ended.is_ok() || !response.is_empty(),
            "the node must close the connection"
        );
    }
    let response = post(
        "/v1/completions",
        "",
        r#"{"model":"lampwise","prompt":"x","max_tokens":2}"#,
    );
    assert_eq!(response.0, 200);
}

#[test]
fn operator_endpoints_respond() {
    for (path, expected) in [
        ("/healthz", "ok"),
        ("/readyz", "ready"),
        ("/metrics", "notchwalk_open_requests"),
        ("/dump", "\"bundle_version\":1"),
    ] {
        let mut stream =
            TcpStream::connect(shared().operator_addr).expect("failed to connect to the node");
        let raw = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n");
        stream
            .write_all(raw.as_bytes())
            .expect("failed to send the request");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("failed to read the response");
        assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
        assert!(response.contains(expected), "{path}: {response}");
    }
}
