//! Clients that exceed limits or stop in the middle of a message, and a watch over the process
//! that they connect to.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a client connects again after the process closed its connection.
const MAX_RECONNECTS: u32 = 2;
/// A client whose connection takes no bytes for so long stops sending.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause of the sending thread when no connection takes bytes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct ClientScript {
    /// Sent first.
    pub prefix: Vec<u8>,
    /// Sent over and over after the prefix.
    pub repeated: Vec<u8>,
    /// Number of bytes after which the client stops, with its connection open.
    pub total_bytes: usize,
    /// Whether the client reads what the process sends.
    pub reads: bool,
    /// Number of bytes after which the client waits for a response, if it does.
    pub response_after: Option<usize>,
}

impl ClientScript {
    /// Creates a script that sends `message` and stops.
    pub fn new(message: impl Into<Vec<u8>>) -> Self {
        let prefix = message.into();
        Self {
            total_bytes: prefix.len(),
            prefix,
            repeated: Vec::new(),
            reads: true,
            response_after: None,
        }
    }

    /// Waits for a response, then sends `message` as well.
    pub fn then(mut self, message: &[u8]) -> Self {
        self.response_after = Some(self.prefix.len());
        self.prefix.extend_from_slice(message);
        self.total_bytes = self.prefix.len();
        self
    }

    /// Sends `bytes` over and over after the message, `total` bytes in all.
    pub fn with_repeated(mut self, bytes: impl Into<Vec<u8>>, total: usize) -> Self {
        self.repeated = bytes.into();
        self.total_bytes = self.prefix.len() + total;
        self
    }

    /// Leaves everything that the process sends unread.
    pub fn without_reading(mut self) -> Self {
        self.reads = false;
        self
    }

    /// Returns bytes to send after the first `sent`; empty at the end, and while the client
    /// waits for a response.
    fn next(&self, sent: usize, has_response: bool) -> &[u8] {
        if let Some(pause) = self.response_after.filter(|_| !has_response) {
            return &self.prefix[sent..pause];
        }
        let rest = match sent.checked_sub(self.prefix.len()) {
            None => &self.prefix[sent..],
            Some(_) if self.repeated.is_empty() => &[],
            Some(n) => &self.repeated[n % self.repeated.len()..],
        };
        &rest[..rest.len().min(self.total_bytes - sent)]
    }
}

enum Progress {
    Advanced,
    Blocked,
    Closed,
}

struct CrowdClient {
    stream: Option<TcpStream>,
    sent: usize,
    has_response: bool,
    reconnects: u32,
    advanced_at: Instant,
}

impl CrowdClient {
    fn connect(addr: SocketAddr) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    fn new(addr: SocketAddr) -> Self {
        Self {
            stream: Self::connect(addr),
            sent: 0,
            has_response: false,
            reconnects: 0,
            advanced_at: Instant::now(),
        }
    }

    /// Reads what the process sent; returns whether the connection is open.
    fn read(stream: &mut TcpStream, has_response: &mut bool) -> bool {
        let mut buf = [0; 16 * 1024];
        loop {
            match stream.read(&mut buf) {
                Ok(0) => return false,
                Ok(_) => *has_response = true,
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
    }

    fn advance(&mut self, script: &ClientScript) -> Progress {
        let Some(stream) = &mut self.stream else {
            return Progress::Closed;
        };
        if script.reads && !Self::read(stream, &mut self.has_response) {
            return Progress::Closed;
        }
        match stream.write(script.next(self.sent, self.has_response)) {
            Ok(0) => Progress::Blocked,
            Ok(n) => {
                self.sent += n;
                self.advanced_at = Instant::now();
                Progress::Advanced
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Progress::Blocked,
            Err(_) => Progress::Closed,
        }
    }

    /// Sends more; returns whether the client has more to do.
    fn run(&mut self, addr: SocketAddr, script: &ClientScript) -> bool {
        if self.sent == script.total_bytes {
            return false;
        }
        match self.advance(script) {
            Progress::Advanced => true,
            Progress::Blocked => self.advanced_at.elapsed() < BLOCKED_TIMEOUT,
            Progress::Closed if self.reconnects < MAX_RECONNECTS => {
                self.reconnects += 1;
                self.sent = 0;
                self.has_response = false;
                self.advanced_at = Instant::now();
                self.stream = Self::connect(addr);
                true
            }
            Progress::Closed => false,
        }
    }
}

/// Clients that send the same to one address. They stay connected until the crowd is dropped.
pub struct Crowd {
    addr: SocketAddr,
    script: Arc<ClientScript>,
    clients: Vec<CrowdClient>,
}

impl Crowd {
    /// Connects clients.
    pub fn connect(addr: SocketAddr, clients: usize, script: ClientScript) -> Self {
        Self {
            addr,
            script: Arc::new(script),
            clients: (0..clients).map(|_| CrowdClient::new(addr)).collect(),
        }
    }

    /// Sends until every client has sent everything, is blocked or was disconnected repeatedly,
    /// and waits until the process has taken what was sent.
    pub fn send(&mut self, watch: &mut ProcessWatch) {
        const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);
        let (addr, script) = (self.addr, self.script.clone());
        let mut observed_at = Instant::now();
        loop {
            if observed_at.elapsed() >= OBSERVE_INTERVAL {
                watch.observe();
                observed_at = Instant::now();
            }
            let mut before = 0;
            let mut after = 0;
            let mut busy = false;
            for client in &mut self.clients {
                before += client.sent;
                busy |= client.run(addr, &script);
                after += client.sent;
            }
            if !busy {
                return watch.settle();
            }
            if before == after {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }
}

/// Reads the resources of a process from `/proc`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessWatch {
    id: u32,
    max_descriptors: usize,
}

impl ProcessWatch {
    /// Watches the process `id`.
    pub fn new(id: u32) -> Self {
        Self {
            id,
            max_descriptors: 0,
        }
    }

    /// Returns the number of open descriptors; [`Self::max_descriptors`] returns the highest
    /// number returned so far.
    pub fn observe(&mut self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.id));
        let open = open.map_or(0, Iterator::count);
        self.max_descriptors = self.max_descriptors.max(open);
        open
    }

    /// Waits until the process has taken what was sent to it: its memory and descriptors no
    /// longer change.
    pub fn settle(&mut self) {
        const INTERVAL: Duration = Duration::from_millis(100);
        const MAX_INTERVALS: u32 = 100;
        /// Number of intervals without a change.
        const QUIET_INTERVALS: u32 = 4;
        const MEMORY_STEP_BYTES: u64 = 1 << 20;
        let mut last = None;
        let mut quiet = 0;
        for _ in 0..MAX_INTERVALS {
            std::thread::sleep(INTERVAL);
            let descriptors = self.observe();
            let state = (
                descriptors,
                self.memory().map(|bytes| bytes / MEMORY_STEP_BYTES),
            );
            quiet = if last == Some(state) { quiet + 1 } else { 0 };
            if quiet == QUIET_INTERVALS {
                return;
            }
            last = Some(state);
        }
    }

    /// Returns the highest number of open descriptors observed.
    pub fn max_descriptors(&self) -> usize {
        self.max_descriptors
    }

    /// Returns the peak of the resident memory in bytes; `None` if the process has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        self.status_bytes("VmHWM:")
    }

    /// Returns the resident memory in bytes; `None` if the process has ended.
    pub fn memory(&self) -> Option<u64> {
        self.status_bytes("VmRSS:")
    }

    fn status_bytes(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id)).ok()?;
        let value = status.lines().find_map(|line| line.strip_prefix(field))?;
        let kib: u64 = value.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kib * 1024)
    }
}
