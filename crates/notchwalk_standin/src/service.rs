//! A stand-in plain service. It counts how often each call was executed, so that duplicates
//! can be detected.

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

const MAX_BODY_BYTES: usize = 64 << 20;

/// Faults injected into a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFault {
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Connections are closed before the call is executed.
    pub dead: bool,
    /// Every nth call is executed, but its response is dropped; 0 disables.
    #[serde(rename = "lose_every")]
    pub drop_response_every: u64,
    /// Sent as the response to a call before its body is read; the connection is then closed.
    pub raw_response: Option<String>,
}

/// Execution counts of calls, keyed by the `x-call` header or by path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRuns {
    /// Number of executions by call.
    pub runs: HashMap<String, u64>,
}

#[derive(Default)]
struct State {
    name: String,
    runs: RefCell<ServiceRuns>,
    fault: RefCell<ServiceFault>,
    total_calls: Cell<u64>,
}

struct Api(Rc<State>);

/// Starts a stand-in service on a listener.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
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
        let fault = match path.starts_with("/standin/") {
            true => ServiceFault::default(),
            false => state.fault.borrow().clone(),
        };
        if let Some(response) = fault.raw_response {
            // A failed write closes the connection as well.
            let _ = exchange.write_chunks(response.as_bytes()).await;
            return exchange.abort();
        }
        if fault.dead {
            return exchange.abort();
        }
        let Ok(body) = exchange.read_body(MAX_BODY_BYTES).await else {
            return exchange.abort();
        };
        match path.as_str() {
            "/standin/runs" => {
                let runs = state.runs.borrow().clone();
                return exchange.respond_json(StatusCode::OK, &runs).await;
            }
            "/standin/fault" => {
                let fault = serde_json::from_slice(&body).unwrap_or_default();
                state.fault.replace(fault);
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
        state.total_calls.set(state.total_calls.get() + 1);
        if fault.slow_ms > 0 {
            monoio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.drop_response_every > 0 && state.total_calls.get() % fault.drop_response_every == 0
        {
            return exchange.abort();
        }
        let response = serde_json::json!({
            "service": state.name, "method": exchange.head.method.as_str(),
            "path": path, "body_bytes": body.len(), "run": run,
        });
        exchange.respond_json(StatusCode::OK, &response).await;
    }
}

impl Service for Api {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }
}
