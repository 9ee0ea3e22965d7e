//! A stand-in plain service. It counts the runs of each booking, so that a
//! call that ran twice shows.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::StatusCode;
use monoio::net::TcpListener;
use notchwalk_http::{serve, Exchange, LocalBoxFuture, ServerLimits, Service};
use serde::{Deserialize, Serialize};

/// The largest body, in bytes.
const MAX_BODY: usize = 64 << 20;

/// What is wrong with a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFault {
    /// Each call takes this long, in milliseconds.
    pub slow_ms: u64,
    /// Connections are closed before anything is run.
    pub dead: bool,
    /// Calls run, but every nth answer is lost.
    pub lose_every: u64,
}

/// How often each call ran: by the `x-call` header, or by path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRuns {
    /// Runs by call.
    pub runs: HashMap<String, u64>,
}

#[derive(Default)]
struct State {
    name: String,
    runs: RefCell<ServiceRuns>,
    fault: Cell<ServiceFault>,
    total: Cell<u64>,
}

struct Api(Rc<State>);

/// Starts a stand-in service on a listener.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve_service(listener: std::net::TcpListener, name: &str) -> std::io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let state = State {
        name: name.to_owned(),
        ..State::default()
    };
    let service: Rc<dyn Service> = Rc::new(Api(Rc::new(state)));
    notchwalk_http::spawn(serve(listener, ServerLimits::default(), service));
    Ok(addr)
}

impl Api {
    async fn route(&self, exchange: &mut Exchange) {
        let state = &self.0;
        let path = exchange.path().to_owned();
        if state.fault.get().dead && !path.starts_with("/standin/") {
            return exchange.abort();
        }
        let Ok(body) = exchange.body_bytes(MAX_BODY).await else {
            return exchange.abort();
        };
        match path.as_str() {
            "/standin/runs" => {
                let runs = state.runs.borrow().clone();
                return exchange.respond_json(StatusCode::OK, &runs).await;
            }
            "/standin/fault" => {
                let fault = serde_json::from_slice(&body).unwrap_or_default();
                state.fault.set(fault);
                return exchange.respond_text(StatusCode::OK, "set\n").await;
            }
            _ => {}
        }
        let call = exchange.header("x-call").unwrap_or(&path).to_owned();
        let run = {
            let mut runs = state.runs.borrow_mut();
            let run = runs.runs.entry(call).or_default();
            *run += 1;
            *run
        };
        state.total.set(state.total.get() + 1);
        let fault = state.fault.get();
        if fault.slow_ms > 0 {
            monoio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.lose_every > 0 && state.total.get() % fault.lose_every == 0 {
            return exchange.abort();
        }
        let answer = serde_json::json!({
            "service": state.name, "method": exchange.head.method.as_str(),
            "path": path, "body_bytes": body.len(), "run": run,
        });
        exchange.respond_json(StatusCode::OK, &answer).await;
    }
}

impl Service for Api {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }
}
