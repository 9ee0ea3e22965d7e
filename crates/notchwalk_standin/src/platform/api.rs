//! The HTTP API of the stand-in platform.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::net::TcpListener;
use notchwalk_http::{serve, Exchange, LocalBoxFuture, ServerLimits, Service};
use notchwalk_wire::{TableRead, TableReadAnswer, TableTransaction, VmRecord};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use super::table::Table;

/// The largest body, in bytes.
const MAX_BODY: usize = 64 << 20;

/// How a stand-in platform behaves.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfig {
    /// Writes of the table a second.
    pub writes_per_s: f64,
    /// How long an answer takes.
    pub latency: Duration,
    /// How old the VM list is when it is given.
    pub list_lag: Duration,
    /// Bytes a second that the weight store allows.
    pub weight_bytes_per_s: f64,
    /// The seed of its random numbers.
    pub seed: u64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            writes_per_s: 300.0,
            latency: Duration::from_millis(2),
            list_lag: Duration::from_millis(500),
            weight_bytes_per_s: 1e9,
            seed: 1,
        }
    }
}

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFault {
    /// Nothing is answered; connections are closed.
    pub down: bool,
    /// Table and objects don't answer, but the VM list does.
    pub store_down: bool,
    /// Every answer takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The part of writes that take effect but whose answer is lost, 0 to 1.
    pub lose_answers: f64,
}

/// Counts of a stand-in platform, for tests and benches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions that changed something.
    pub writes: u64,
    /// Answers that were lost on request.
    pub lost_answers: u64,
}

struct State {
    config: PlatformConfig,
    table: RefCell<Table>,
    objects: RefCell<HashMap<String, Bytes>>,
    vms: RefCell<VecDeque<(Instant, Vec<VmRecord>)>>,
    fault: Cell<PlatformFault>,
    next_write: Cell<Instant>,
    next_weight: Cell<Instant>,
    lost: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

struct Api {
    state: Rc<State>,
}

/// Starts a stand-in platform on a listener.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve_platform(
    listener: std::net::TcpListener,
    config: PlatformConfig,
    vms: Vec<VmRecord>,
) -> std::io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let now = Instant::now();
    let state = State {
        config,
        table: RefCell::default(),
        objects: RefCell::default(),
        vms: RefCell::new(VecDeque::from([(now, vms)])),
        fault: Cell::default(),
        next_write: Cell::new(now),
        next_weight: Cell::new(now),
        lost: Cell::new(0),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(config.seed)),
    };
    let service: Rc<dyn Service> = Rc::new(Api {
        state: Rc::new(state),
    });
    notchwalk_http::spawn(serve(listener, ServerLimits::default(), service));
    Ok(addr)
}

impl State {
    /// Waits for the table's next free write.
    async fn take_write(&self) {
        let now = Instant::now();
        let at = self.next_write.get().max(now);
        let pause = Duration::from_secs_f64(1.0 / self.config.writes_per_s);
        self.next_write.set(at + pause);
        if at > now {
            monoio::time::sleep(at - now).await;
        }
    }

    fn loses_answer(&self) -> bool {
        let part = self.fault.get().lose_answers;
        let loses = part > 0.0 && self.rng.borrow_mut().random_bool(part.min(1.0));
        if loses {
            self.lost.set(self.lost.get() + 1);
        }
        loses
    }

    /// Returns the VM list as it was a moment ago.
    fn lagging_vms(&self) -> Vec<VmRecord> {
        let mut vms = self.vms.borrow_mut();
        while vms.len() > 1 && vms[1].0.elapsed() >= self.config.list_lag {
            vms.pop_front();
        }
        vms.front().map_or_else(Vec::new, |(_, list)| list.clone())
    }

    fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            writes: self.table.borrow().writes,
            lost_answers: self.lost.get(),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

impl Api {
    async fn route(&self, exchange: &mut Exchange) {
        let state = &self.state;
        let Ok(body) = exchange.body_bytes(MAX_BODY).await else {
            return exchange.abort();
        };
        let path = exchange.path().to_owned();
        let method = exchange.head.method.clone();
        if path.starts_with("/standin/") {
            return self.control(exchange, &path, &body).await;
        }
        let fault = state.fault.get();
        let is_store = path.starts_with("/table/") || path.starts_with("/objects/");
        if fault.down || (fault.store_down && is_store) {
            return exchange.abort();
        }
        monoio::time::sleep(state.config.latency + Duration::from_millis(fault.slow_ms)).await;
        let found = match (&method, path.as_str()) {
            (&Method::POST, "/table/transaction") => self.transact(exchange, &body).await,
            (&Method::POST, "/table/read") => self.read(exchange, &body).await,
            (&Method::GET, "/vms") => {
                exchange
                    .respond_json(StatusCode::OK, &state.lagging_vms())
                    .await;
                true
            }
            (&Method::POST, "/weights/reserve") => self.reserve(exchange).await,
            _ => self.object(exchange, &method, &path, body).await,
        };
        if !found {
            exchange
                .respond_text(StatusCode::NOT_FOUND, "not found\n")
                .await;
        }
    }

    async fn transact(&self, exchange: &mut Exchange, body: &Bytes) -> bool {
        let Some(tx) = parse::<TableTransaction>(body) else {
            return false;
        };
        self.state.take_write().await;
        if self.state.fault.get().down {
            exchange.abort();
            return true;
        }
        let answer = self.state.table.borrow_mut().transact(&tx);
        if self.state.loses_answer() {
            exchange.abort();
            return true;
        }
        exchange.respond_json(StatusCode::OK, &answer).await;
        true
    }

    async fn read(&self, exchange: &mut Exchange, body: &Bytes) -> bool {
        let Some(read) = parse::<TableRead>(body) else {
            return false;
        };
        let rows = {
            let table = self.state.table.borrow();
            read.keys.iter().map(|key| table.get(key)).collect()
        };
        exchange
            .respond_json(StatusCode::OK, &TableReadAnswer { rows })
            .await;
        true
    }

    async fn reserve(&self, exchange: &mut Exchange) -> bool {
        let query = exchange.head.uri.query().unwrap_or("");
        let bytes = query
            .strip_prefix("bytes=")
            .and_then(|n| n.parse::<f64>().ok());
        let Some(bytes) = bytes else {
            return false;
        };
        let now = Instant::now();
        let at = self.state.next_weight.get().max(now);
        let took = Duration::from_secs_f64(bytes / self.state.config.weight_bytes_per_s);
        self.state.next_weight.set(at + took);
        let wait = serde_json::json!({ "wait_s": (at - now).as_secs_f64() });
        exchange.respond_json(StatusCode::OK, &wait).await;
        true
    }

    async fn object(
        &self,
        exchange: &mut Exchange,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> bool {
        let Some(key) = path.strip_prefix("/objects/") else {
            return false;
        };
        if *method == Method::PUT {
            self.state.objects.borrow_mut().insert(key.to_owned(), body);
            exchange.respond_text(StatusCode::OK, "stored\n").await;
            return true;
        }
        let object = self.state.objects.borrow().get(key).cloned();
        let Some(object) = object else {
            return false;
        };
        exchange
            .respond(StatusCode::OK, http::HeaderMap::new(), &object)
            .await;
        true
    }

    async fn control(&self, exchange: &mut Exchange, path: &str, body: &Bytes) {
        let done = match path {
            "/standin/fault" => parse(body).map(|fault| self.state.fault.set(fault)),
            "/standin/vms" => parse::<Vec<VmRecord>>(body)
                .map(|vms| self.state.vms.borrow_mut().push_back((Instant::now(), vms))),
            "/standin/counts" => {
                return exchange
                    .respond_json(StatusCode::OK, &self.state.counts())
                    .await;
            }
            _ => None,
        };
        let status = done.map_or(StatusCode::BAD_REQUEST, |()| StatusCode::OK);
        exchange.respond_text(status, "").await;
    }
}

impl Service for Api {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }
}
