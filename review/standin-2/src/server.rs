//! Servers of one service that can crash and come back.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{read_request, respond, Message, Reader},
    store::Store,
};

/// Heartbeats are this far apart; the entry of a silent server goes after three.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Answers one request. An error closes the connection.
pub type Handler = dyn Fn(&Arc<Server>, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    store: Store,
    is_up: AtomicBool,
    /// Counts the starts; the connections and the entry of an earlier one are not ours.
    start: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    handler: Arc<Handler>,
}

impl Server {
    pub fn start(store: &Store, service: &str, id: &str, handler: Arc<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().expect("a bound address"),
            store: store.clone(),
            is_up: AtomicBool::new(true),
            start: AtomicU64::new(1),
            connections: Mutex::default(),
            handler,
        });
        server.register();
        server.clone().listen(listener);
        server
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        std::thread::spawn(move || {
            while self.is_up() {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let server = self.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn register(&self) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let (service, addr) = (&self.service, self.addr);
        let record = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"ruwi","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":0,"born":{}}}"#,
            born.as_millis()
        );
        self.store.put("servers", &self.id, &record);
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(false);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().expect("no panic").push(kept);
        let mut reader = Reader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            if !self.is_up() {
                break;
            }
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!("X-Instance-Id: {}\r\n", self.id);
                let _ = respond(&mut writer, "421 Misdirected Request", &headers, "");
                continue;
            }
            if (self.handler)(&self, &request, &mut writer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// The head that answers a request, as signed by this server; the caller adds the framing.
    pub fn head(&self, request: &Message, status: &str) -> String {
        let id = request.header("x-attempt-id").unwrap_or("");
        format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: {}.1\r\n",
            self.id
        )
    }

    /// Crashes: all connections end and the port closes. The server is back after `down`, with
    /// nothing of before; its entry goes after three heartbeats of silence.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        let start = self.start.fetch_add(1, Ordering::SeqCst) + 1;
        for connection in self.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let (server, again) = (self.clone(), self.clone());
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            // It may be up again already.
            if !server.is_up() && server.start.load(Ordering::SeqCst) == start {
                server.store.remove("servers", &server.id);
            }
        });
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let Ok(listener) = TcpListener::bind(again.addr) else {
                return;
            };
            again.is_up.store(true, Ordering::SeqCst);
            again.register();
            again.listen(listener);
        });
    }
}
