//! What all cases share: addresses, the record, the processes of the system, servers that
//! register, and the operator's configuration.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, call, respond, serve, Message, Outcome},
    store::Store,
};

pub const HOST: &str = "falaj.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANT: &str = "hule930";
/// How often a server writes its entry (`heartbeatMs` of the settings).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The surroundings of one run.
pub struct World {
    work_dir: PathBuf,
    record: Mutex<File>,
    started: Instant,
    net: (u8, u8),
    next_host: Mutex<u8>,
    children: Mutex<Vec<Child>>,
    arrivals: Mutex<Vec<Arrival>>,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub request: String,
}

impl World {
    pub fn new(work_dir: &Path, record: &Path) -> io::Result<Self> {
        let first = std::process::id() as u8;
        // A part of the loopback network in which nothing listens at the store's port.
        let nets = (0..=255u8).map(|n| (100 + n % 100, first.wrapping_add(n)));
        let is_free =
            |&(a, b): &(u8, u8)| TcpListener::bind((Ipv4Addr::new(127, a, b, 1), 8223)).is_ok();
        let net = nets
            .into_iter()
            .find(is_free)
            .ok_or(io::ErrorKind::AddrInUse)?;
        Ok(Self {
            work_dir: work_dir.to_owned(),
            record: Mutex::new(File::create(record)?),
            started: Instant::now(),
            net,
            next_host: Mutex::new(1),
            children: Mutex::default(),
            arrivals: Mutex::default(),
        })
    }

    /// Writes a line to the record, with the time in seconds since the start.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().expect("no thread panics with the lock");
        let _ = writeln!(record, "{at:8.3} {text}");
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }

    pub fn new_ip(&self) -> Ipv4Addr {
        let mut next = self
            .next_host
            .lock()
            .expect("no thread panics with the lock");
        let host = *next;
        *next += 1;
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn listen(&self, port: u16) -> io::Result<TcpListener> {
        TcpListener::bind((self.new_ip(), port))
    }

    /// Starts the program of the deploy file with the settings that the platform fills in.
    pub fn start_entry(
        self: &Arc<Self>,
        node: &str,
        zone: &str,
        store: &Store,
    ) -> io::Result<Entry> {
        let ip = self.new_ip();
        let addr = |port| SocketAddr::from((ip, port));
        let values = [
            ("node", node.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", addr(8227).to_string()),
            ("listen.ready", addr(8220).to_string()),
            ("listen.directory", addr(8224).to_string()),
            ("portRange.0", "7340".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("limits.maxFds", "4200".to_owned()),
            ("provider.address", store.addr.to_string()),
            ("bounds.budgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "100".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
        ];
        let mut settings = fs::read_to_string("platform/settings.ini")?;
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let file = self.work_dir.join(format!("{node}.ini"));
        fs::write(&file, settings)?;
        let log = File::create(self.work_dir.join(format!("{node}.log")))?;
        let child = Command::new("target/release/notchwalk-entry")
            .env_clear()
            .env("NOTCHWALK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid = child.id();
        let pids = self.work_dir.join("pids");
        writeln!(
            File::options().create(true).append(true).open(pids)?,
            "{pid}"
        )?;
        self.children
            .lock()
            .expect("no thread panics with the lock")
            .push(child);
        self.note(&format!("machine {node} starts at {}", addr(8227)));
        let entry = Entry {
            node: node.to_owned(),
            pid,
            front: addr(8227),
            ready: addr(8220),
            world: self.clone(),
        };
        for _ in 0..100 {
            if entry.is_ready() {
                return Ok(entry);
            }
            sleep_ms(100);
        }
        Err(io::Error::other(format!(
            "{node} is not ready after ten seconds"
        )))
    }

    /// Kills the processes that are still running.
    pub fn end(&self) {
        for child in self
            .children
            .lock()
            .expect("no thread panics with the lock")
            .iter_mut()
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(self.work_dir.join("pids"));
    }
}

/// A machine of the system.
#[derive(Clone)]
pub struct Entry {
    pub node: String,
    pid: u32,
    pub front: SocketAddr,
    ready: SocketAddr,
    world: Arc<World>,
}

impl Entry {
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_secs(1));
        answer.and_then(|answer| answer.status()) == Some(200)
    }

    pub fn signal(&self, name: &str) {
        self.world.note(&format!("{name} to {}", self.node));
        let command = format!("kill -{name} {}", self.pid);
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Sends a client's request on a new connection and returns how it ended.
    pub fn request(&self, request: &ClientRequest) -> Ending {
        self.connect().request(request)
    }

    /// Opens a connection that is kept for several requests.
    pub fn connect(&self) -> Connection {
        Connection {
            entry: self.clone(),
            reader: http::connect(self.front),
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = self.world.children.lock();
        let children = children.as_mut().expect("no thread panics with the lock");
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// A client's connection to a machine.
pub struct Connection {
    entry: Entry,
    reader: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn request(&mut self, request: &ClientRequest) -> Ending {
        let ClientRequest {
            id,
            method,
            path,
            headers,
            deadline_ms,
        } = request;
        let body = match method.as_str() {
            "POST" => "x".repeat(600),
            _ => String::new(),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent_at = Instant::now();
        let (world, node) = (&self.entry.world, &self.entry.node);
        world.note(&format!("client sends {id} ({method} {path}) to {node}"));
        let timeout = Duration::from_millis(deadline_ms + 1_000);
        let reader = self.reader.as_mut();
        let outcome = reader.and_then(|reader| http::exchange(reader, &text, timeout).ok());
        let outcome = outcome.unwrap_or(Outcome::NoAnswer);
        let held = sent_at.elapsed();
        let text = match &outcome {
            Outcome::Answered(answer) => {
                let status = answer.status().unwrap_or(0);
                let end = if answer.whole { "whole" } else { "cut off" };
                format!("{status}, {end}")
            }
            Outcome::Closed => "closed without an answer".to_owned(),
            Outcome::Reset => "reset without an answer".to_owned(),
            Outcome::NoAnswer => "no connection, or given up".to_owned(),
        };
        let answer = match &outcome {
            Outcome::Answered(answer) => Some(answer),
            _ => None,
        };
        let whole = answer.is_some_and(|answer| answer.whole);
        let says_leaving = answer.is_some_and(|a| a.header("server-leaving").is_some());
        let mark = if says_leaving { ", Server-Leaving" } else { "" };
        let held_s = held.as_secs_f64();
        world.note(&format!(
            "client gets for {id} after {held_s:.3} s: {text}{mark}"
        ));
        Ending {
            closed: matches!(outcome, Outcome::Closed),
            cut: matches!(outcome, Outcome::Closed | Outcome::Reset),
            whole,
            held,
            says_leaving,
        }
    }
}

/// A request of a client, without the headers that all have.
pub struct ClientRequest {
    pub id: String,
    pub method: String,
    pub path: String,
    pub headers: String,
    pub deadline_ms: u64,
}

impl ClientRequest {
    /// A call of the plain service.
    pub fn call(id: String, method: &str, path: &str) -> Self {
        Self {
            id,
            method: method.to_owned(),
            path: path.to_owned(),
            headers: String::new(),
            deadline_ms: 3_000,
        }
    }

    /// A prompt with a shared part of 40 tokens.
    pub fn prompt(id: String, path: &str, tokens: (u32, u32), deadline_ms: u64) -> Self {
        let headers = format!(
            "X-Model: m\r\nX-Token-Counts: {},{}\r\nX-Prompt-Prefix: 5c1e07a2:40,{:x}:{}\r\n",
            tokens.0,
            tokens.1,
            id.bytes().fold(7u32, |sum, byte| sum
                .wrapping_mul(31)
                .wrapping_add(byte.into())),
            tokens.0 - 40
        );
        Self {
            id,
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers,
            deadline_ms,
        }
    }
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Whether the machine closed the connection without an answer, having read all of the
    /// request: with unread bytes, a close resets.
    pub closed: bool,
    /// Whether the machine closed or reset the connection without an answer.
    pub cut: bool,
    pub whole: bool,
    pub held: Duration,
    /// Whether the answer says that its server leaves.
    pub says_leaving: bool,
}

/// What a server says of itself to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    Ready,
    /// It leaves without saying `draining`: its entry goes, and it keeps serving.
    Left,
}

/// A server of a service.
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    slots: u32,
    born: u64,
    presence: Mutex<Presence>,
    world: Arc<World>,
}

impl Server {
    /// Starts a server. `run` answers the requests for it; it returns whether the connection
    /// stays open.
    pub fn start<R>(
        world: &Arc<World>,
        store: &Store,
        service: &str,
        slots: u32,
        run: R,
    ) -> io::Result<Arc<Self>>
    where
        R: Fn(&Server, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = world.listen(8080)?;
        let addr = listener.local_addr()?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let server = Arc::new(Self {
            id: format!("i-{}", addr.to_string().replace(['.', ':'], "")),
            service: service.to_owned(),
            addr,
            slots,
            born: born as u64,
            presence: Mutex::new(Presence::Ready),
            world: world.clone(),
        });
        let served = server.clone();
        serve(listener, move |request, stream| {
            served.answer(request, stream, &run)
        });
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || beating.beat(&store));
        Ok(server)
    }

    pub fn presence(&self) -> Presence {
        *self
            .presence
            .lock()
            .expect("no thread panics with the lock")
    }

    pub fn set_presence(&self, presence: Presence) {
        self.world
            .note(&format!("server {}: {presence:?}", self.id));
        *self
            .presence
            .lock()
            .expect("no thread panics with the lock") = presence;
    }

    /// Writes the entry, or drops it again, with each heartbeat and at once when the server
    /// begins to leave.
    fn beat(&self, store: &Store) {
        let mut last = None;
        let mut next = Instant::now();
        loop {
            let presence = self.presence();
            if last != Some(presence) || Instant::now() >= next {
                next = Instant::now() + HEARTBEAT;
                let taken = match presence {
                    Presence::Ready => store.put("servers", &self.id, &self.entry()),
                    Presence::Left => store.remove("servers", &self.id),
                };
                let is_away = if taken { "" } else { ", but is away" };
                self.world.note(&format!(
                    "{} tells the store: {presence:?}{is_away}",
                    self.id
                ));
                last = Some(presence);
            }
            sleep_ms(20);
        }
    }

    fn entry(&self) -> String {
        entry(&self.service, &self.addr.to_string(), self.slots, self.born)
    }

    fn answer(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        run: &impl Fn(&Server, &Message, &mut TcpStream) -> io::Result<bool>,
    ) -> io::Result<bool> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        let id = request.header("x-attempt-id").unwrap_or(request.target());
        self.world.note(&format!("{id} reaches server {}", self.id));
        let arrival = Arrival {
            server: self.id.clone(),
            request: id.to_owned(),
        };
        let arrivals = self.world.arrivals.lock();
        arrivals
            .expect("no thread panics with the lock")
            .push(arrival);
        run(self, request, stream)
    }

    /// The headers of this server's answers to a request.
    pub fn answer_headers(&self, request: &Message) -> String {
        let id = request.header("x-attempt-id").unwrap_or("");
        let leaving = match self.presence() {
            Presence::Left => "Server-Leaving: 1\r\n",
            _ => "",
        };
        format!(
            "X-Attempt-Id: {id}\r\nX-Response-Stamp: 3e1b.{}.{id}\r\n{leaving}",
            self.id
        )
    }

    /// Answers with a stream of events, one each `gap_ms`.
    pub fn stream_events(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        events: u32,
        gap_ms: u64,
    ) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            self.answer_headers(request)
        );
        stream.write_all(head.as_bytes())?;
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        for id in after.unwrap_or(0) + 1..=events {
            let event = format!("id: {id}\ndata: {}\n\n", "t".repeat(60));
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            sleep_ms(gap_ms);
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Returns an entry of the table of servers.
pub fn entry(service: &str, address: &str, slots: u32, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"ruwi","version":"v1",
        "slots":{slots},"state":"ready","coldLeftMs":0,"stage":"both",
        "models":[{{"name":"m","version":1,"adapters":[]}}],"seq":0,"born":{born}}}"#
    )
}

/// The operator's configuration: two kinds of prompts on engines, one of calls.
pub fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, limits: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}",
            "service":"{service}","priority":1,"public":false,"sticky":false,{limits}}}"#
        )
    };
    let routes = [
        route(
            "kit-query",
            "streaming",
            "lampwise",
            r#""timeoutMs":10000,"goalMs":300,"gapAimMs":250,"maxAttempts":2,"resumable":true"#,
        ),
        route(
            "season-review",
            "streaming",
            "lampwise",
            r#""timeoutMs":15000,"goalMs":3000,"gapAimMs":1000,"maxAttempts":2,"resumable":true"#,
        ),
        route(
            "hold-place",
            "non_idempotent",
            "bookdesk",
            r#""timeoutMs":1500,"goalMs":300,"maxAttempts":1"#,
        ),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[
        {{"name":"lampwise","healthPath":"/health","maxConns":424,"protocol":"h1","tls":false,
        "engine":{{"slots":16,"kvCapacity":315000,"stride":51,"step_ms":0.85,
        "per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,
        "chunk":2048,"report_lag_ms":200.0,"hopMs":0.05}}}},
        {{"name":"bookdesk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}},
        "tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}
