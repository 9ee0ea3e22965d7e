//! HTTP API of the stand-in platform.

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
use notchwalk_wire::{TableRead, TableReadResponse, TableTransaction, VmRecord};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use super::table::Table;

const MAX_BODY_BYTES: usize = 64 << 20;

/// Configuration of a stand-in platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfig {
    /// Maximum table writes per second.
    pub writes_per_s: f64,
    /// Response latency.
    pub latency: Duration,
    /// Delay of updates to the VM list.
    pub list_lag: Duration,
    /// Bandwidth of the weight store, in bytes per second.
    pub weight_bytes_per_s: f64,
    /// Seed of the random number generator.
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

/// Faults injected into the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFault {
    /// All connections are closed without a response.
    pub down: bool,
    /// Table and object requests fail; the VM list is still served.
    pub store_down: bool,
    /// Additional latency, in milliseconds.
    pub slow_ms: u64,
    /// Fraction (0 to 1) of writes that are applied but whose response is dropped.
    #[serde(rename = "lose_answers")]
    pub response_loss_ratio: f64,
}

/// Counters of a stand-in platform, for tests and benches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions that changed the table.
    pub writes: u64,
    /// Responses dropped by [`PlatformFault::response_loss_ratio`].
    #[serde(rename = "lost_answers")]
    pub dropped_responses: u64,
}

struct State {
    config: PlatformConfig,
    table: RefCell<Table>,
    objects: RefCell<HashMap<String, Bytes>>,
    vms: RefCell<VecDeque<(Instant, Vec<VmRecord>)>>,
    fault: Cell<PlatformFault>,
    next_write_at: Cell<Instant>,
    next_weight_transfer_at: Cell<Instant>,
    dropped_responses: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

struct Api {
    state: Rc<State>,
}

/// Starts a stand-in platform on a listener.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
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
        next_write_at: Cell::new(now),
        next_weight_transfer_at: Cell::new(now),
        dropped_responses: Cell::new(0),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(config.seed)),
    };
    let service: Rc<dyn Service> = Rc::new(Api {
        state: Rc::new(state),
    });
    notchwalk_http::spawn(serve(listener, ServerLimits::default(), service));
    Ok(addr)
}

impl State {
    /// Waits for the next write permitted by the write rate limit.
    async fn acquire_write(&self) {
        let now = Instant::now();
        let at = self.next_write_at.get().max(now);
        let interval = Duration::from_secs_f64(1.0 / self.config.writes_per_s);
        self.next_write_at.set(at + interval);
        if at > now {
            monoio::time::sleep(at - now).await;
        }
    }

    fn should_drop_response(&self) -> bool {
        let fraction = self.fault.get().response_loss_ratio;
        let dropped = fraction > 0.0 && self.rng.borrow_mut().random_bool(fraction.min(1.0));
        if dropped {
            self.dropped_responses.set(self.dropped_responses.get() + 1);
        }
        dropped
    }

    /// Returns the VM list as of `list_lag` ago.
    fn delayed_vms(&self) -> Vec<VmRecord> {
        let mut vms = self.vms.borrow_mut();
        while vms.len() > 1 && vms[1].0.elapsed() >= self.config.list_lag {
            vms.pop_front();
        }
        vms.front().map_or_else(Vec::new, |(_, list)| list.clone())
    }

    fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            writes: self.table.borrow().writes,
            dropped_responses: self.dropped_responses.get(),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

impl Api {
    async fn route(&self, exchange: &mut Exchange) {
        let state = &self.state;
        let Ok(body) = exchange.read_body(MAX_BODY_BYTES).await else {
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
        let handled = match (&method, path.as_str()) {
            (&Method::POST, "/table/transaction") => self.transact(exchange, &body).await,
            (&Method::POST, "/table/read") => self.read(exchange, &body).await,
            (&Method::GET, "/vms") => {
                exchange
                    .respond_json(StatusCode::OK, &state.delayed_vms())
                    .await;
                true
            }
            (&Method::POST, "/weights/reserve") => self.reserve_weight_bandwidth(exchange).await,
            _ => self.object(exchange, &method, &path, body).await,
        };
        if !handled {
            exchange
                .respond_text(StatusCode::NOT_FOUND, "not found\n")
                .await;
        }
    }

    async fn transact(&self, exchange: &mut Exchange, body: &Bytes) -> bool {
        let Some(tx) = parse::<TableTransaction>(body) else {
            return false;
        };
        self.state.acquire_write().await;
        if self.state.fault.get().down {
            exchange.abort();
            return true;
        }
        let response = self.state.table.borrow_mut().transact(&tx);
        if self.state.should_drop_response() {
            exchange.abort();
            return true;
        }
        exchange.respond_json(StatusCode::OK, &response).await;
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
            .respond_json(StatusCode::OK, &TableReadResponse { rows })
            .await;
        true
    }

    async fn reserve_weight_bandwidth(&self, exchange: &mut Exchange) -> bool {
        let query = exchange.head.uri.query().unwrap_or("");
        let bytes = query
            .strip_prefix("bytes=")
            .and_then(|n| n.parse::<f64>().ok());
        let Some(bytes) = bytes else {
            return false;
        };
        let now = Instant::now();
        let at = self.state.next_weight_transfer_at.get().max(now);
        let duration = Duration::from_secs_f64(bytes / self.state.config.weight_bytes_per_s);
        self.state.next_weight_transfer_at.set(at + duration);
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
        let applied = match path {
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
        let status = applied.map_or(StatusCode::BAD_REQUEST, |()| StatusCode::OK);
        exchange.respond_text(status, "").await;
    }
}

impl Service for Api {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }
}
