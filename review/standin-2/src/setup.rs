//! A small deployment: one service of model servers, one tenant, one route.

use std::{
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_response_head, Message, Reader},
    node::Node,
    server::{Handler, Server},
    store::Store,
};

pub const KEY: &str = "key-of-hule930";

/// The configuration of the operator, with the figures of `falaj-ops`.
pub fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"ask","host":"a.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"goalMs":300,"priority":1,"service":"lampwise","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250}}],"services":[{{"name":"lampwise","healthPath":"/health","maxConns":424,"engine":{{"slots":16,"kvCapacity":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"hopMs":0.05}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What a case needs of its surroundings.
pub struct Case {
    /// Settings and logs of the nodes.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    record: Mutex<File>,
    started: Instant,
}

impl Case {
    pub fn new(folder: &Path, record: &Path) -> io::Result<Self> {
        Ok(Self {
            folder: folder.to_owned(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            record: Mutex::new(File::create(record)?),
            started: Instant::now(),
        })
    }

    /// Writes a line into record.txt, with the seconds since the start.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().expect("no panic");
        let _ = writeln!(record, "{at:7.3} {}", line.as_ref());
    }

    /// Writes the result to the record and to standard output.
    pub fn result(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }
}

pub struct Deployment {
    pub servers: Vec<Arc<Server>>,
    pub nodes: Vec<Node>,
}

impl Deployment {
    pub fn start(
        case: &Case,
        config: &str,
        servers: usize,
        nodes: usize,
        handler: Arc<Handler>,
    ) -> Result<Self, String> {
        let store = Store::start();
        store.put("op", "config", config);
        let servers = (1..=servers)
            .map(|n| Server::start(&store, "lampwise", &format!("i-{n}"), handler.clone()))
            .collect();
        let nodes: Result<Vec<Node>, String> = (1..=nodes)
            .map(|n| Node::start(&case.folder, &format!("front-ruwi-{n}"), "ruwi", store.addr))
            .collect();
        let deployment = Self {
            servers,
            nodes: nodes?,
        };
        // Longer than a node takes to read the store and to meet its peers.
        std::thread::sleep(Duration::from_secs(4));
        Ok(deployment)
    }
}

/// A caller's connection, which is kept for further requests.
pub struct Caller {
    reader: Reader,
    writer: TcpStream,
}

impl Caller {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect(addr)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Self {
            reader: Reader::new(writer.try_clone()?),
            writer,
        })
    }

    /// Sends a call that must run once at most.
    pub fn send_call(&mut self, id: &str) -> io::Result<()> {
        let request = format!(
            "POST /hold/2f HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        self.writer.write_all(request.as_bytes())
    }

    pub fn send(&mut self, id: &str, parts: &str, headers: &str, body: &str) -> io::Result<()> {
        let request = format!(
            "POST /ask/2f HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Counts: 1460,800\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 10000\r\n\
             Authorization: Bearer {KEY}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.writer.write_all(request.as_bytes())
    }

    /// Reads the head of the answer. An error of kind `InvalidData` means bytes that are no
    /// answer.
    pub fn read_head(&mut self) -> io::Result<Message> {
        read_response_head(&mut self.reader)
    }

    pub fn read_body(
        &mut self,
        head: &Message,
        piece: impl FnMut(&[u8]) -> io::Result<()>,
    ) -> io::Result<()> {
        read_body(&mut self.reader, head, piece)
    }
}
