//! The platform's store: rows, their changes, and conditional writes of one row.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

use crate::http::{read_request, respond, Message, Reader};

struct Row {
    /// Base64; `None` once the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    /// Whether this address gives no answers.
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        Self::listen(Arc::default(), Instant::now())
    }

    /// Opens a further address of the same store, which can fall silent by itself.
    pub fn other_address(&self) -> Self {
        Self::listen(self.state.clone(), self.started)
    }

    /// Stops or resumes the answers at this address.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    fn listen(state: Arc<(Mutex<State>, Condvar)>, started: Instant) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("a bound address"),
            state,
            started,
            is_silent: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of the operator's or a server's.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.ver += 1;
        let ver = state.ver;
        let row = (table.to_owned(), key.to_owned());
        state.rows.insert(row, Row { value, ver });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            // Once an answer is lost on a connection, that connection says nothing further.
            while self.is_silent.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(50));
                if !self.is_silent.load(Ordering::SeqCst) {
                    return;
                }
            }
            if respond(
                &mut writer,
                status,
                "Content-Type: application/json\r\n",
                &body,
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().split('?').next().unwrap_or("");
        let table = request.query("table").unwrap_or("").to_owned();
        match path {
            "/rows-get" => ("200 OK", self.page(&table, 0, false)),
            "/rows-feed" => {
                let after = request.query("afterRev").and_then(|v| v.parse().ok());
                let wait = request.query("waitMs").and_then(|v| v.parse().ok());
                let after = after.unwrap_or(0);
                self.wait_for_change(&table, after, Duration::from_millis(wait.unwrap_or(0)));
                ("200 OK", self.page(&table, after, true))
            }
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn wait_for_change(&self, table: &str, after: u64, wait: Duration) {
        let (state, changed) = &*self.state;
        let state = state.lock().expect("no panic");
        let is_unchanged = |state: &mut State| {
            let mut rows = state.rows.iter();
            !rows.any(|((t, _), row)| t == table && row.ver > after)
        };
        drop(changed.wait_timeout_while(state, wait, is_unchanged));
    }

    /// Returns the rows of a table, or its changes after a version, in order.
    fn page(&self, table: &str, after: u64, changes: bool) -> String {
        let state = self.state.0.lock().expect("no panic");
        let rows = state
            .rows
            .iter()
            .filter(|((t, _), row)| t == table && row.ver > after);
        let mut rows: Vec<_> = rows
            .filter(|(_, row)| changes || row.value.is_some())
            .collect();
        if changes {
            rows.sort_by_key(|(_, row)| row.ver);
        }
        let rows = rows.iter().map(|((_, key), row)| {
            let value = match &row.value {
                Some(value) => format!(r#""value":"{value}""#),
                None => r#""tombstone":true"#.to_owned(),
            };
            format!(
                r#"{{"table":"{table}","part":"","key":"{key}",{value},"ver":{}}}"#,
                row.ver
            )
        });
        let rows: Vec<String> = rows.collect();
        let (ver, now) = (state.ver, self.started.elapsed().as_millis());
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"morePages":false,"ver":{ver},"nowMs":{now}}}"#)
    }

    /// The nodes write or remove one row in a call, at most under the condition that it is not
    /// there.
    fn transact(&self, tx: &str) -> (&'static str, String) {
        let field = |name: &str| {
            Some(
                tx.split_once(&format!(r#""{name}":""#))?
                    .1
                    .split('"')
                    .next()?,
            )
        };
        let (Some(table), Some(key)) = (field("table"), field("key")) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let row = (table.to_owned(), key.to_owned());
        let is_there = {
            let state = self.state.0.lock().expect("no panic");
            state.rows.get(&row).is_some_and(|row| row.value.is_some())
        };
        if is_there && tx.contains(r#""ver":0"#) {
            return (
                "412 Precondition Failed",
                r#"{"rows":[],"ver":0}"#.to_owned(),
            );
        }
        self.set(table, key, field("value").map(str::to_owned));
        ("200 OK", r#"{"ver":1}"#.to_owned())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |n, &byte| n << 8 | u32::from(byte));
        let number = number << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63].into()),
                false => text.push('='),
            }
        }
    }
    text
}
