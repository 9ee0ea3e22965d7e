//! A daemon as a process of its own, and clients that exceed its limits, stop in the middle of a
//! message or never read. After each crowd the process lives, its memory and descriptors stayed
//! within those of its machine, and an ordinary request is answered.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use notchwalk_standin::{
    crowd::{ClientScript, Crowd, ProcessWatch},
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
};

/// Memory that a daemon may take, in bytes.
const MACHINE_MEMORY_BYTES: u64 = 256_000_000;
/// Descriptors that a daemon may take.
const MACHINE_DESCRIPTORS: usize = 1_000;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Limits of the daemon in these tests.
const LIMITS: &str = "max_body_bytes = 4194304\nmax_connections = 300\n";
const MAX_ATTEMPTS: usize = 10;
const CLIENTS: usize = 90;
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

struct Machine {
    fleet: Fleet,
    watch: ProcessWatch,
    /// Keeps other crowds off the test machine.
    _turn: MutexGuard<'static, ()>,
}

fn request_head(method_and_path: &str, headers: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-desk\r\n\
         x-notchwalk-timeout-ms: 60000\r\n{headers}\r\n"
    )
}

fn completion_head(headers: &str) -> String {
    request_head("POST /v1/completions", headers)
}

/// Returns a complete request for a completion with this body.
fn completion(body: &str) -> String {
    completion_head(&format!("content-length: {}\r\n", body.len())) + body
}

impl Machine {
    fn start() -> Self {
        Self::start_with(LIMITS, |config| config)
    }

    fn start_with(limits: &str, adjust: impl FnOnce(FleetConfig) -> FleetConfig) -> Self {
        static TURN: Mutex<()> = Mutex::new(());
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)])
            .with_sizes(1, 1, 1)
            .with_node_program(env!("CARGO_BIN_EXE_notchwalk-standin"))
            .with_node_limits(limits);
        let fleet = Fleet::start(adjust(config));
        let node = fleet.nodes[0].as_ref().expect("node is not running");
        let id = node.process_id().expect("the node is a process");
        Self {
            watch: ProcessWatch::new(id),
            fleet,
            _turn: turn,
        }
    }

    fn caller(&self) -> SocketAddr {
        self.fleet.caller_addrs()[0]
    }

    fn operator(&self) -> SocketAddr {
        self.addresses().operator
    }

    fn peer(&self) -> SocketAddr {
        self.addresses().peer
    }

    fn addresses(&self) -> notchwalkd::BoundAddresses {
        let node = self.fleet.nodes[0].as_ref();
        node.expect("node is not running").addresses
    }

    fn crowd(&mut self, addr: SocketAddr, clients: usize, script: ClientScript) -> Crowd {
        let mut crowd = Crowd::connect(addr, clients, script);
        crowd.send(&mut self.watch);
        crowd
    }

    #[track_caller]
    fn assert_withstands(&mut self, addr: SocketAddr, clients: usize, script: ClientScript) {
        let crowd = self.crowd(addr, clients, script);
        self.assert_within_bounds();
        self.assert_request_is_answered();
        drop(crowd);
        self.assert_request_is_answered();
        self.assert_within_bounds();
    }

    #[track_caller]
    fn assert_within_bounds(&mut self) {
        self.watch.observe();
        let peak = self.watch.peak_memory().expect("the process ended");
        let descriptors = self.watch.max_descriptors();
        println!("peak memory {peak}, descriptors {descriptors}");
        assert!(
            peak <= MACHINE_MEMORY_BYTES,
            "{peak} bytes of memory, the machine has {MACHINE_MEMORY_BYTES}"
        );
        assert!(
            descriptors <= MACHINE_DESCRIPTORS,
            "{descriptors} descriptors, the machine has {MACHINE_DESCRIPTORS}"
        );
    }

    /// Sends an ordinary request, and again while it is refused or its connection is closed.
    #[track_caller]
    fn assert_request_is_answered(&self) {
        let body = r#"{"model":"lampwise","prompt":"x","max_tokens":2}"#;
        let mut ends = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.send(&completion(body)) {
                Some(response) if response.starts_with("HTTP/1.1 200") => return,
                end => ends.push(end),
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        panic!("an ordinary request was not answered: {ends:?}");
    }

    /// Sends a request and returns the start of the response.
    fn send(&self, request: &str) -> Option<String> {
        let timeout = Duration::from_secs(10);
        let mut stream = TcpStream::connect_timeout(&self.caller(), timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let mut buf = [0; 4_096];
        let n = stream.read(&mut buf).ok()?;
        Some(String::from_utf8_lossy(&buf[..n]).into_owned())
    }
}

fn unfinished_chunks(head: &str, chunk_bytes: usize, body_bytes: usize) -> ClientScript {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let total = chunk.len() * (body_bytes / chunk_bytes);
    let block = chunk.repeat((64 << 10) / chunk_bytes);
    ClientScript::new(head).with_repeated(block, total)
}

fn one_unfinished_chunk(head: &str, body_bytes: usize) -> ClientScript {
    let head = format!("{head}{body_bytes:x}\r\n");
    ClientScript::new(head).with_repeated(vec![b'x'; 64 << 10], body_bytes - 1)
}

#[test]
fn bodies_in_one_chunk_that_stop_short_stay_within_memory() {
    let mut machine = Machine::start();
    let script = one_unfinished_chunk(&completion_head(CHUNKED), MAX_BODY_BYTES);
    machine.assert_withstands(machine.caller(), CLIENTS, script);
}

#[test]
fn bodies_in_large_chunks_that_stop_short_stay_within_memory() {
    let mut machine = Machine::start();
    let script = unfinished_chunks(&completion_head(CHUNKED), 64 << 10, MAX_BODY_BYTES);
    machine.assert_withstands(machine.caller(), CLIENTS, script);
}

#[test]
fn bodies_in_small_chunks_that_stop_short_stay_within_memory() {
    let mut machine = Machine::start();
    let script = unfinished_chunks(&completion_head(CHUNKED), 16, MAX_BODY_BYTES);
    machine.assert_withstands(machine.caller(), CLIENTS, script);
}

#[test]
fn bodies_with_a_length_that_stop_short_stay_within_memory() {
    let mut machine = Machine::start();
    let head = completion_head(&format!("content-length: {MAX_BODY_BYTES}\r\n"));
    let script = ClientScript::new(head).with_repeated(vec![b'x'; 64 << 10], MAX_BODY_BYTES - 1);
    machine.assert_withstands(machine.caller(), CLIENTS, script);
}

#[test]
fn bodies_far_over_the_limit_stay_within_memory() {
    let mut machine = Machine::start();
    let sent = 4 * MAX_BODY_BYTES;
    let announced = completion_head("content-length: 4294967296\r\n");
    let large_chunk = completion_head(CHUNKED) + "100000000\r\n";
    for head in [announced, large_chunk] {
        let script = ClientScript::new(head).with_repeated(vec![b'x'; 64 << 10], sent);
        machine.assert_withstands(machine.caller(), CLIENTS, script);
    }
    let endless = unfinished_chunks(&completion_head(CHUNKED), 64 << 10, sent);
    machine.assert_withstands(machine.caller(), CLIENTS, endless);
}

#[test]
fn crowds_in_turn_stay_within_memory() {
    let mut machine = Machine::start();
    let head = completion_head(CHUNKED);
    for script in [
        one_unfinished_chunk(&head, MAX_BODY_BYTES),
        unfinished_chunks(&head, 64 << 10, MAX_BODY_BYTES),
        unfinished_chunks(&head, 16, MAX_BODY_BYTES),
        one_unfinished_chunk(&head, MAX_BODY_BYTES),
    ] {
        drop(machine.crowd(machine.caller(), CLIENTS, script));
        machine.assert_request_is_answered();
        machine.assert_within_bounds();
    }
}

#[test]
fn bodies_of_service_calls_stay_within_memory() {
    /// Just under the size of a body that is buffered for a call.
    const BODY_BYTES: usize = 1_000_000;
    const MANY_CLIENTS: usize = 290;
    let mut machine = Machine::start();
    let streamed = request_head("PUT /v1/services/bookdesk/plots/7", CHUNKED);
    let buffered = request_head(
        "PUT /v1/services/bookdesk/plots/7",
        &format!("idempotency-key: one\r\n{CHUNKED}"),
    );
    for head in [streamed, buffered] {
        let script = one_unfinished_chunk(&head, BODY_BYTES);
        machine.assert_withstands(machine.caller(), MANY_CLIENTS, script);
    }
}

/// Guards against bodies that are read and buffered only to keep a connection open.
#[test]
fn bodies_that_no_handler_reads_stay_within_memory() {
    const DISCARDED_BYTES: usize = 250 << 10;
    const MANY_CLIENTS: usize = 890;
    let mut machine = Machine::start_with("max_connections = 900\n", |config| config);
    for (addr, path) in [
        (machine.caller(), "GET /v1/entries"),
        (machine.operator(), "GET /metrics"),
    ] {
        let script = one_unfinished_chunk(&request_head(path, CHUNKED), DISCARDED_BYTES);
        machine.assert_withstands(addr, MANY_CLIENTS, script);
    }
}

/// Guards against parameters whose decoded form is many times as large as the body.
#[test]
fn nested_parameters_of_waiting_requests_stay_within_memory() {
    const CLIENTS: usize = 20;
    let mut machine = Machine::start_with(LIMITS, |mut config| {
        config.slots = 1;
        config.time_scale = 0.2;
        config
    });
    let start = r#"{"model":"lampwise","prompt":"x","max_tokens":2000,"logit_bias":["#;
    let end = "[]]}";
    let elements = (MAX_BODY_BYTES - start.len() - end.len()) / 3;
    let body = format!("{start}{}{end}", "[],".repeat(elements));
    let script = ClientScript::new(completion(&body));
    let crowd = machine.crowd(machine.caller(), CLIENTS, script);
    machine.assert_within_bounds();
    drop(crowd);
    machine.assert_request_is_answered();
    machine.assert_within_bounds();
}

#[test]
fn unread_streams_stay_within_memory() {
    const CLIENTS: usize = 60;
    let mut machine = Machine::start_with(LIMITS, |config| config.with_time_scale(500.0));
    let body = r#"{"model":"lampwise","prompt":"x","max_tokens":300000,"stream":true}"#;
    let script = ClientScript::new(completion(body)).without_reading();
    let mut crowd = machine.crowd(machine.caller(), CLIENTS, script);
    // The responses are generated in the meantime.
    for _ in 0..5 {
        crowd.send(&mut machine.watch);
        machine.assert_within_bounds();
    }
    drop(crowd);
    machine.assert_request_is_answered();
    machine.assert_within_bounds();
}

/// Guards against large messages from connections that have not authenticated.
#[test]
fn messages_of_unauthenticated_peers_stay_within_memory() {
    const MESSAGE_BYTES: usize = 30 << 20;
    const CLIENTS: usize = 20;
    let mut machine = Machine::start();
    let upgrade = "GET / HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
                   sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-version: 13\r\n\r\n";
    // A binary frame with a length of 64 bits and a mask of zeros.
    let mut frame_head = vec![0x82, 0xff];
    frame_head.extend_from_slice(&(MESSAGE_BYTES as u64).to_be_bytes());
    frame_head.extend_from_slice(&[0; 4]);
    let script = ClientScript::new(upgrade)
        .then(&frame_head)
        .with_repeated(vec![b'x'; 64 << 10], MESSAGE_BYTES - 1);
    machine.assert_withstands(machine.peer(), CLIENTS, script);
}

#[test]
fn unfinished_heads_stay_within_memory() {
    const CLIENTS: usize = 4_500;
    const HEAD_BYTES: usize = 32_000;
    let mut machine = Machine::start_with("", |config| config);
    let start = "GET /v1/models HTTP/1.1\r\nx-long: ";
    let script =
        ClientScript::new(start).with_repeated(vec![b'x'; 16 << 10], HEAD_BYTES - start.len());
    let crowd = machine.crowd(machine.caller(), CLIENTS, script);
    let peak = machine.watch.peak_memory().expect("the process ended");
    assert!(peak <= MACHINE_MEMORY_BYTES, "{peak} bytes of memory");
    machine.assert_request_is_answered();
    drop(crowd);
    machine.assert_request_is_answered();
}

/// Guards against callers whose connections are closed unread while idle ones stay open.
#[test]
fn idle_connections_give_way_to_requests() {
    const CLIENTS: usize = 500;
    let mut machine = Machine::start();
    for message in ["", "GET /v1/models HTTP/1.1\r\nx-long: "] {
        let addrs = [machine.peer(), machine.operator(), machine.caller()];
        let crowds = addrs.map(|addr| machine.crowd(addr, CLIENTS, ClientScript::new(message)));
        machine.assert_within_bounds();
        machine.assert_request_is_answered();
        drop(crowds);
        machine.assert_request_is_answered();
        machine.assert_within_bounds();
    }
}
