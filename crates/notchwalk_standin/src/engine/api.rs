//! HTTP API of a stand-in engine.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use local_sync::mpsc::unbounded;
use monoio::net::TcpListener;
use notchwalk_core::{Attempt, RequestId};
use notchwalk_decide::block_hashes;
use notchwalk_http::{encode_chunk, serve, Exchange, LocalBoxFuture, ServerLimits, Service};
use notchwalk_wire::{
    Allocations, CancelRequest, CancelResponse, DesiredState, EngineFinish, EngineFrame,
    EngineRejection, GenerateRequest, OrderRequest, OrderResponse, Prompt, SegmentRequest,
    SegmentResponse,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use super::{
    config::EngineConfig,
    fault::Fault,
    sequence::{Output, Sequence, SequenceKind},
    simulation::Simulation,
};
use crate::completion::CompletionSeed;

const MAX_BODY_BYTES: usize = 256 << 20;
/// Longest sleep of an idle engine before it checks for work and faults again.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counters of a stand-in engine, for tests and benches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Number of accepted requests.
    pub received: u64,
    /// Milliseconds since a request was last accepted.
    pub last_received_ms_ago: Option<u64>,
    /// KV memory in use, in tokens.
    pub used_tokens: u64,
    /// Prompt tokens prefilled.
    pub computed_tokens: u64,
    /// Completion tokens decoded.
    pub generated_tokens: u64,
    /// Sequences evicted because memory was exhausted.
    pub evictions: u64,
    /// Orders with a stale fencing token that were executed.
    pub stale_orders_run: u64,
}

/// A handle to a running stand-in engine.
#[derive(Clone)]
pub struct EngineHandle {
    sim: Rc<RefCell<Simulation>>,
    fence: Rc<RefCell<FenceState>>,
    previous_stream: Rc<RefCell<Option<(RequestId, Attempt)>>>,
    wake: unbounded::Tx<()>,
}

#[derive(Default)]
struct FenceState {
    highest: u64,
    stale_orders_run: u64,
}

/// Starts a stand-in engine on a listener.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
pub fn serve_engine(
    listener: std::net::TcpListener,
    config: EngineConfig,
) -> std::io::Result<(SocketAddr, EngineHandle)> {
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let (wake, woken) = unbounded::channel();
    let handle = EngineHandle {
        wake,
        sim: Rc::new(RefCell::new(Simulation::new(config))),
        fence: Rc::default(),
        previous_stream: Rc::default(),
    };
    notchwalk_http::spawn(run_steps(handle.sim.clone(), woken));
    let service: Rc<dyn Service> = Rc::new(handle.clone());
    notchwalk_http::spawn(serve(listener, ServerLimits::default(), service));
    Ok((addr, handle))
}

/// Runs engine steps forever on an absolute schedule. An idle engine is woken when a request
/// arrives.
async fn run_steps(sim: Rc<RefCell<Simulation>>, mut woken: unbounded::Rx<()>) {
    const MAX_LAG: Duration = Duration::from_millis(50);
    let mut due = std::time::Instant::now();
    loop {
        while woken.try_recv().is_ok() {}
        let stalled = matches!(sim.borrow().fault, Fault::Hung | Fault::Dead);
        let step_duration = if stalled {
            None
        } else {
            sim.borrow_mut().step()
        };
        let now = std::time::Instant::now();
        let Some(step_duration) = step_duration else {
            let _ = monoio::time::timeout(IDLE_POLL_INTERVAL, woken.recv()).await;
            due = std::time::Instant::now();
            continue;
        };
        due = due.max(now.checked_sub(MAX_LAG).unwrap_or(now)) + step_duration;
        // Sleeps have millisecond resolution. Late steps follow immediately, after the
        // connection tasks have run.
        match due.checked_duration_since(now) {
            Some(ahead) => monoio::time::sleep(ahead).await,
            None => crate::thread::yield_now().await,
        }
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, EngineRejection> {
    serde_json::from_slice(body).map_err(|e| rejection("bad_request", &e.to_string()))
}

fn rejection(code: &str, message: &str) -> EngineRejection {
    EngineRejection {
        code: code.to_owned(),
        message: message.to_owned(),
    }
}

/// Aborts a completion when its connection closes.
struct CompletionGuard {
    sim: Rc<RefCell<Simulation>>,
    request: RequestId,
    attempt: Attempt,
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        self.sim
            .borrow_mut()
            .abort_completion(self.request, self.attempt);
    }
}

impl EngineHandle {
    fn fault(&self) -> Fault {
        self.sim.borrow().fault
    }

    fn add(&self, sequence: Sequence) {
        self.sim.borrow_mut().add(sequence);
        let _ = self.wake.send(());
    }

    fn counts(&self) -> EngineCounts {
        let mut sim = self.sim.borrow_mut();
        let (computed_tokens, generated_tokens) = sim.token_counts();
        EngineCounts {
            received: sim.received,
            last_received_ms_ago: sim.last_received.map(|at| at.elapsed().as_millis() as u64),
            used_tokens: sim.used_tokens(),
            computed_tokens,
            generated_tokens,
            evictions: sim.delayed_report().evictions,
            stale_orders_run: self.fence.borrow().stale_orders_run,
        }
    }

    async fn route(&self, exchange: &mut Exchange) {
        let path = exchange.path().to_owned();
        let control = path.starts_with("/standin/");
        match self.fault() {
            Fault::Dead if !control => return exchange.abort(),
            Fault::Hung if !control => return std::future::pending().await,
            _ => {}
        }
        let body = match exchange.read_body(MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(_) => return exchange.abort(),
        };
        let method = exchange.head.method.clone();
        let result = match (&method, path.as_str()) {
            (&Method::POST, "/v1/generate") => self.generate(exchange, &body).await,
            (&Method::POST, "/v1/kv/prefill") => self.prefill(exchange, &body).await,
            (&Method::POST, "/v1/cancel") => self.cancel(exchange, &body).await,
            (&Method::POST, "/v1/orders") => self.order(exchange, &body).await,
            (&Method::GET, "/v1/load") => {
                let report = self.sim.borrow_mut().delayed_report();
                exchange.respond_json(StatusCode::OK, &report).await;
                Ok(())
            }
            (&Method::GET, "/v1/holdings") => {
                let allocations = Allocations {
                    allocations: self.sim.borrow().allocations(),
                };
                exchange.respond_json(StatusCode::OK, &allocations).await;
                Ok(())
            }
            (&Method::GET, "/v1/cache/events") => {
                let after = exchange
                    .head
                    .uri
                    .query()
                    .and_then(|q| q.strip_prefix("after="));
                let after = after.and_then(|n| n.parse().ok()).unwrap_or(0);
                let events = {
                    let mut sim = self.sim.borrow_mut();
                    let lag = sim.config.cache_event_lag;
                    sim.cache.events_after(after, lag)
                };
                exchange.respond_json(StatusCode::OK, &events).await;
                Ok(())
            }
            (&Method::POST, "/standin/fault") => self.set_fault(exchange, &body).await,
            (&Method::POST, "/standin/leave") => {
                self.sim.borrow_mut().draining = true;
                exchange.respond_text(StatusCode::OK, "leaving\n").await;
                Ok(())
            }
            (&Method::GET, "/standin/counts") => {
                let counts = self.counts();
                exchange.respond_json(StatusCode::OK, &counts).await;
                Ok(())
            }
            _ => Err(rejection("not_found", "there is nothing here")),
        };
        if let Err(rejection) = result {
            exchange
                .respond_json(StatusCode::SERVICE_UNAVAILABLE, &rejection)
                .await;
        }
    }

    async fn set_fault(
        &self,
        exchange: &mut Exchange,
        body: &Bytes,
    ) -> Result<(), EngineRejection> {
        let fault: Fault = parse(body)?;
        {
            let mut sim = self.sim.borrow_mut();
            sim.fault = fault;
            if fault == Fault::Dead {
                sim.crash();
            }
        }
        exchange.respond_text(StatusCode::OK, "set\n").await;
        Ok(())
    }

    /// Returns whether a model variant is loaded.
    fn is_loaded(&self, model: &str, adapter: Option<&str>, version: Option<&str>) -> bool {
        let sim = self.sim.borrow();
        let Some(loaded) = sim.loaded.iter().find(|l| l.model == model) else {
            return false;
        };
        adapter.is_none_or(|a| loaded.adapters.iter().any(|x| x == a))
            && version.is_none_or(|v| loaded.versions.iter().any(|x| x == v))
    }

    async fn generate(&self, exchange: &mut Exchange, body: &Bytes) -> Result<(), EngineRejection> {
        let req: GenerateRequest = parse(body)?;
        if self.fault() == Fault::Overloaded {
            return Err(rejection("overloaded", "no new work"));
        }
        if !self.is_loaded(&req.model, req.adapter.as_deref(), req.version.as_deref()) {
            return Err(rejection("model_not_loaded", "the variant isn't loaded"));
        }
        let (prompt_tokens, prefix) = match &req.prompt {
            Prompt::Text(text) => (
                EngineConfig::tokens_of_bytes(text.len()),
                block_hashes(&req.model, text.as_bytes()),
            ),
            Prompt::Tokens(tokens) => (tokens.len() as u64, Vec::new()),
        };
        let imported = imported_tokens(&req.imports).min(prompt_tokens - 1);
        let local_tokens = prompt_tokens - imported;
        if local_tokens + u64::from(req.max_tokens) > self.sim.borrow().config.capacity_tokens {
            return Err(rejection(
                "too_large",
                "the prompt exceeds this engine's memory",
            ));
        }
        let (tx, rx) = unbounded::channel();
        let sequence = Sequence {
            request: req.request,
            attempt: req.attempt,
            priority: req.priority,
            arrival_order: 0,
            arrived_at: std::time::Instant::now(),
            prompt_tokens,
            local_tokens,
            prefilled_tokens: 0,
            cached_tokens: 0,
            prefix: if imported > 0 { Vec::new() } else { prefix },
            generated_tokens: req.offset,
            kind: SequenceKind::Completion {
                seed: CompletionSeed::of_prompt(&req.prompt),
                offset: req.offset,
                max_tokens: req.max_tokens,
                stop: req.stop,
            },
            running: false,
            tx,
        };
        let (request, attempt) = (req.request, req.attempt);
        self.add(sequence);
        let _guard = CompletionGuard {
            sim: self.sim.clone(),
            request,
            attempt,
        };
        self.stream(exchange, request, attempt, rx).await;
        Ok(())
    }

    async fn stream(
        &self,
        exchange: &mut Exchange,
        request: RequestId,
        attempt: Attempt,
        mut rx: unbounded::Rx<Output>,
    ) {
        let mut headers = HeaderMap::new();
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, content_type);
        let mut stream_started = false;
        let mut sent = 0;
        loop {
            let disconnected = exchange.peer_closed();
            let first = monoio::select! {
                output = rx.recv() => output,
                () = disconnected => None,
            };
            let Some(mut output) = first else {
                return exchange.abort();
            };
            let mut data = Vec::new();
            let mut finished = false;
            loop {
                if self.is_cut_at(sent) {
                    return exchange.abort();
                }
                sent += 1;
                self.inject_misrouted_frames(&mut data, request, attempt);
                finished |= append_frame(&mut data, request, attempt, output);
                match rx.try_recv() {
                    Ok(next) => output = next,
                    Err(_) => break,
                }
            }
            if let Fault::DelayedFrames(ms) = self.fault() {
                monoio::time::sleep(Duration::from_millis(ms)).await;
            }
            let write_result = if stream_started {
                let mut framed = Vec::with_capacity(data.len() + 16);
                encode_chunk(&mut framed, &data);
                exchange.write_chunks(&framed).await
            } else {
                stream_started = true;
                exchange
                    .start_stream(StatusCode::OK, headers.clone(), &data)
                    .await
            };
            if write_result.is_err() {
                return exchange.abort();
            }
            if finished {
                let _ = exchange.finish_stream().await;
                return;
            }
        }
    }

    fn is_cut_at(&self, sent: u32) -> bool {
        match self.fault() {
            Fault::CutAfter(n) => sent >= n,
            Fault::Dead => true,
            _ => false,
        }
    }

    /// Under [`Fault::MisroutedFrames`], adds frames of another request and of an older attempt.
    fn inject_misrouted_frames(&self, data: &mut Vec<u8>, request: RequestId, attempt: Attempt) {
        let previous = self
            .previous_stream
            .borrow_mut()
            .replace((request, attempt));
        if self.fault() != Fault::MisroutedFrames {
            return;
        }
        let older_attempt = (request, Attempt(attempt.0.wrapping_sub(1)));
        for (request, attempt) in previous.into_iter().chain([older_attempt]) {
            let text = "crossed".to_owned();
            append_frame(data, request, attempt, Output::Token(0, text));
        }
    }

    async fn prefill(&self, exchange: &mut Exchange, body: &Bytes) -> Result<(), EngineRejection> {
        let req: SegmentRequest = parse(body)?;
        let local_tokens = req.to.saturating_sub(req.from).max(1);
        if local_tokens > self.sim.borrow().config.capacity_tokens {
            return Err(rejection(
                "too_large",
                "the segment exceeds this engine's memory",
            ));
        }
        let (tx, mut rx) = unbounded::channel();
        self.add(Sequence {
            request: req.request,
            attempt: req.attempt,
            priority: 0,
            arrival_order: 0,
            arrived_at: std::time::Instant::now(),
            prompt_tokens: local_tokens,
            local_tokens,
            prefilled_tokens: 0,
            cached_tokens: 0,
            prefix: Vec::new(),
            generated_tokens: 0,
            kind: SequenceKind::Segment,
            running: false,
            tx,
        });
        let disconnected = exchange.peer_closed();
        let ready = monoio::select! {
            output = rx.recv() => output.is_some(),
            () = disconnected => false,
        };
        if !ready {
            self.sim.borrow_mut().cancel(req.request, req.attempt);
            exchange.abort();
            return Ok(());
        }
        let id = self.sim.borrow().config.id.0;
        let ticket = format!(
            "{id}/{}/{}/{}-{}",
            req.request, req.attempt.0, req.from, req.to
        );
        exchange
            .respond_json(StatusCode::OK, &SegmentResponse { ticket })
            .await;
        Ok(())
    }

    async fn cancel(&self, exchange: &mut Exchange, body: &Bytes) -> Result<(), EngineRejection> {
        let req: CancelRequest = parse(body)?;
        let freed = self.sim.borrow_mut().cancel(req.request, req.up_to);
        exchange
            .respond_json(StatusCode::OK, &CancelResponse { freed })
            .await;
        Ok(())
    }

    async fn order(&self, exchange: &mut Exchange, body: &Bytes) -> Result<(), EngineRejection> {
        let req: OrderRequest = parse(body)?;
        let response = {
            let mut fence = self.fence.borrow_mut();
            let mut sim = self.sim.borrow_mut();
            let stale = req.fencing_token < fence.highest;
            let accepted = !(stale && sim.config.checks_fencing_token);
            if accepted {
                fence.stale_orders_run += u64::from(stale);
                apply_order(&mut sim, req.desired);
            }
            fence.highest = fence.highest.max(req.fencing_token);
            OrderResponse {
                accepted,
                fencing_token: fence.highest,
            }
        };
        exchange.respond_json(StatusCode::OK, &response).await;
        Ok(())
    }
}

fn apply_order(sim: &mut Simulation, desired: DesiredState) {
    let (DesiredState::VersionLoaded { model, .. }
    | DesiredState::VersionUnloaded { model, .. }
    | DesiredState::AdapterLoaded { model, .. }) = &desired;
    let Some(loaded) = sim.loaded.iter_mut().find(|l| l.model == *model) else {
        return;
    };
    let add = |list: &mut Vec<String>, item: String| {
        if !list.contains(&item) {
            list.push(item);
        }
    };
    match desired {
        DesiredState::VersionLoaded { version, .. } => add(&mut loaded.versions, version),
        DesiredState::VersionUnloaded { version, .. } => loaded.versions.retain(|v| *v != version),
        DesiredState::AdapterLoaded { adapter, .. } => add(&mut loaded.adapters, adapter),
    }
}

/// Returns the length of the prompt prefix covered by `tickets`, in tokens.
fn imported_tokens(tickets: &[String]) -> u64 {
    let ends = tickets
        .iter()
        .filter_map(|t| t.rsplit('-').next()?.parse::<u64>().ok());
    ends.max().unwrap_or(0)
}

/// Appends an output as a frame. Returns whether it is the last frame.
fn append_frame(data: &mut Vec<u8>, request: RequestId, attempt: Attempt, output: Output) -> bool {
    let mut frame = EngineFrame {
        request,
        attempt,
        offset: 0,
        tokens: Vec::new(),
        finish: None,
    };
    match output {
        Output::Token(offset, token) => {
            frame.offset = offset;
            frame.tokens.push(token);
        }
        Output::Finished {
            reason,
            prompt_tokens,
            cached_tokens,
            completion_tokens,
        } => {
            frame.offset = completion_tokens;
            frame.finish = Some(EngineFinish {
                reason: reason.to_owned(),
                prompt_tokens,
                cached_tokens,
                completion_tokens: u64::from(completion_tokens),
            });
        }
        Output::SegmentReady => return false,
    }
    data.extend_from_slice(b"data: ");
    let _ = serde_json::to_writer(&mut *data, &frame);
    data.extend_from_slice(b"\n\n");
    frame.finish.is_some()
}

impl Service for EngineHandle {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }
}
