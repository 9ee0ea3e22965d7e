//! The platform's store: rows in tables, with long polls for changes.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::http::{respond, serve, Message};

type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Default)]
struct State {
    /// Values in base64, and the version of their last change; removed rows have no value.
    rows: Rows,
    version: u64,
    era: u64,
    away: bool,
    copy: Option<(Rows, u64)>,
}

/// A handle to the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
    started: Instant,
}

impl Store {
    pub fn start(listener: TcpListener) -> io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            addr: listener.local_addr()?,
            started: Instant::now(),
        };
        let served = store.clone();
        serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a row as the operator or a server does; unchanged rows keep their version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        self.set(table, key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> bool {
        self.set(table, key, None)
    }

    /// Returns whether the store took the write.
    fn set(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.lock();
        if state.away {
            return false;
        }
        let row = (table.to_owned(), key.to_owned());
        let known = state.rows.get(&row).and_then(|(value, _)| value.clone());
        if known != value {
            state.version += 1;
            let version = state.version;
            state.rows.insert(row, (value, version));
            self.state.1.notify_all();
        }
        true
    }

    /// Keeps a copy of all rows.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = Some((state.rows.clone(), state.version));
    }

    /// Is away for `pause`, and comes back from the copy.
    pub fn restore(&self, pause: Duration) {
        self.lock().away = true;
        self.state.1.notify_all();
        std::thread::sleep(pause);
        let mut state = self.lock();
        if let Some((rows, version)) = state.copy.take() {
            (state.rows, state.version) = (rows, version);
        }
        state.era += 1;
        state.away = false;
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let target = request.target().to_owned();
        if self.lock().away {
            return Ok(false);
        }
        let (status, body) = match target.split('?').next().unwrap_or("") {
            "/rows-get" => self.get(request),
            "/rows-feed" => match self.feed(request) {
                Some(answer) => answer,
                None => return Ok(false),
            },
            "/rows-tx" => self.transaction(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let headers = format!(
            "Content-Type: application/json\r\nStore-Era: {}\r\n",
            self.lock().era
        );
        respond(stream, status, &headers, body.as_bytes())?;
        Ok(true)
    }

    fn page(&self, state: &State, rows: &[String]) -> String {
        let (rows, version) = (rows.join(","), state.version);
        let now_ms = self.started.elapsed().as_millis();
        format!(r#"{{"rows":[{rows}],"morePages":false,"ver":{version},"nowMs":{now_ms}}}"#)
    }

    fn get(&self, request: &Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let state = self.lock();
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), (value, _))| *of == table && *key >= from && value.is_some());
        let rows: Vec<String> = rows.map(row_text).collect();
        ("200 OK", self.page(&state, &rows))
    }

    /// Waits for changes; `None` if the store goes away meanwhile.
    fn feed(&self, request: &Message) -> Option<(&'static str, String)> {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("afterRev").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            if after > state.version {
                return Some(("410 Gone", self.page(&state, &[])));
            }
            let rows = state.rows.iter();
            let mut rows: Vec<_> = rows
                .filter(|((of, _), (_, version))| *of == table && *version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (_, version))| *version);
                let rows: Vec<String> = rows.into_iter().map(row_text).collect();
                return Some(("200 OK", self.page(&state, &rows)));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, String) {
        let body = String::from_utf8_lossy(body);
        let row = |entry: &str| (text(entry, "table"), text(entry, "key"));
        let mut state = self.lock();
        let holds = entries(&body, "expectedRev").iter().all(|entry| {
            let known = state.rows.get(&row(entry));
            let version = known.filter(|(value, _)| value.is_some());
            version.map_or(0, |(_, version)| *version) == number(entry, "ver")
        });
        if !holds {
            return ("412 Precondition Failed", self.page(&state, &[]));
        }
        state.version += 1;
        let version = state.version;
        for entry in entries(&body, "writes") {
            let value = Some(text(entry, "value"));
            state.rows.insert(row(entry), (value, version));
        }
        for entry in entries(&body, "remove") {
            state.rows.insert(row(entry), (None, version));
        }
        self.state.1.notify_all();
        ("200 OK", self.page(&state, &[]))
    }
}

fn row_text(
    ((table, key), (value, version)): (&(String, String), &(Option<String>, u64)),
) -> String {
    let (text, is_gone) = (value.as_deref().unwrap_or(""), value.is_none());
    format!(
        r#"{{"table":"{table}","part":"","key":"{key}","value":"{text}","ver":{version},"tombstone":{is_gone}}}"#
    )
}

// A transaction holds lists of flat objects, whose texts need no escapes: keys and base64.

/// Returns the objects of a list.
fn entries<'a>(body: &'a str, list: &str) -> Vec<&'a str> {
    let found = body.split_once(&format!("\"{list}\":["));
    let found = found.and_then(|(_, rest)| rest.split_once(']'));
    let objects = found.map_or("", |(objects, _)| objects).split('}');
    objects.filter(|object| object.contains('{')).collect()
}

/// Returns a text field; empty if it is missing.
fn text(entry: &str, name: &str) -> String {
    let found = entry.split_once(&format!("\"{name}\":\""));
    let found = found.and_then(|(_, rest)| rest.split_once('"'));
    found.map_or("", |(text, _)| text).to_owned()
}

/// Returns a numeric field; 0 if it is missing.
fn number(entry: &str, name: &str) -> u64 {
    let found = entry.split_once(&format!("\"{name}\":"));
    let digits = found
        .map_or("", |(_, rest)| rest)
        .split(|c: char| !c.is_ascii_digit());
    digits
        .take(1)
        .find_map(|digits| digits.parse().ok())
        .unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .fold(0u32, |number, &byte| number << 8 | u32::from(byte));
        let number = number << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            text.push(match digit <= chunk.len() {
                true => char::from(DIGITS[index as usize]),
                false => '=',
            });
        }
    }
    text
}
