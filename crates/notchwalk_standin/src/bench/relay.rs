//! Measures the latency that one node adds to the first token and the tokens per second that
//! it relays, compared with direct requests to the engines.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Method;
use notchwalk_core::{Attempt, BootNumber, RequestId, VmId};
use notchwalk_http::prelude::*;
use notchwalk_wire::{GenerateRequest, Prompt};

use super::{rounded, BenchOptions, Metrics};
use crate::{
    caller::{self, Call, CallEnd},
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    report::Durations,
    thread::block_on,
    workload::prompt_text,
};

/// Number of concurrent streams in the throughput phase.
const STREAMS: usize = 200;
/// Speed-up of the engines over real time in the throughput phase, so that the node is the
/// bottleneck.
const THROUGHPUT_TIME_SCALE: f64 = 60.0;
/// Number of requests in the phase that measures the time to first token.
const TTFT_REQUESTS: u64 = 1_500;
/// Completion length in the throughput phase, in tokens.
const LONG_COMPLETION_TOKENS: u32 = 20_000;
/// Start of the counting window, when all streams are running.
const COUNT_FROM: Duration = Duration::from_millis(800);
/// Duration of the counting window; shorter than any stream.
const COUNT_DURATION: Duration = Duration::from_millis(1_500);

pub fn run(options: &BenchOptions) -> Metrics {
    let (direct, relayed) = block_on(measure_ttft(&fleet(20.0), options.seed));
    let tokens_per_s = throughput(&fleet(THROUGHPUT_TIME_SCALE), options);
    let mut metrics = Metrics::new();
    for (name, q) in [("p50", 0.5), ("p95", 0.95)] {
        let (direct, relayed) = (direct.quantile_ms(q), relayed.quantile_ms(q));
        metrics.insert(
            format!("added_first_token_ms_{name}"),
            rounded(relayed - direct, 3),
        );
        metrics.insert(format!("direct_first_token_ms_{name}"), rounded(direct, 3));
    }
    metrics.insert("tokens_per_s".to_owned(), rounded(tokens_per_s.relayed, 0));
    metrics.insert(
        "direct_tokens_per_s".to_owned(),
        rounded(tokens_per_s.direct, 0),
    );
    metrics.insert(
        "daemon_core_used".to_owned(),
        rounded(tokens_per_s.cores_used, 2),
    );
    metrics.insert("rss_mb".to_owned(), rounded(super::rss_mb(), 1));
    metrics
}

/// Starts one node and six engines.
fn fleet(time_scale: f64) -> Fleet {
    let mut config = FleetConfig::new(vec![WorkspaceSpec::new("bench", 1.0)])
        .with_sizes(1, 6, 0)
        .with_time_scale(time_scale);
    config.slots = 256;
    config.capacity_tokens = 2_000_000;
    Fleet::start(config)
}

/// Sends requests one at a time, alternating between an engine and the node. Returns the times
/// to first token.
async fn measure_ttft(fleet: &Fleet, seed: u64) -> (Durations, Durations) {
    let client = Client::new();
    let (mut direct, mut relayed) = (Durations::default(), Durations::default());
    let node = fleet.caller_addrs()[0];
    for i in 0..TTFT_REQUESTS {
        let prompt = prompt_text(seed << 32 | i, 64);
        let engine = fleet.engines[i as usize % fleet.engines.len()].addr;
        if let Some(time) = direct_ttft(&client, engine, i, &prompt).await {
            direct.add(time);
        }
        let call = build_call(fleet, node, prompt, 2);
        let result = caller::call(&client, &call).await;
        assert_eq!(
            result.end,
            CallEnd::Complete,
            "relayed response is incomplete"
        );
        relayed.add(result.ttft.unwrap_or_default());
    }
    (direct, relayed)
}

fn build_call(fleet: &Fleet, node: SocketAddr, prompt: String, max_tokens: u32) -> Call {
    Call {
        node,
        key: fleet.key(0).to_owned(),
        model: fleet.config.bundle.model.clone(),
        prompt,
        max_tokens,
        stop: Vec::new(),
        timeout: Duration::from_secs(60),
    }
}

fn direct_request(i: u64, prompt: &str, max_tokens: u32) -> OutgoingRequest {
    let body = GenerateRequest {
        request: RequestId {
            vm: VmId(99),
            boot: BootNumber(1),
            seq: i,
        },
        attempt: Attempt(1),
        model: "lampwise".to_owned(),
        adapter: None,
        version: None,
        priority: 0,
        offset: 0,
        max_tokens,
        imports: Vec::new(),
        sampling: notchwalk_wire::SamplingParams::new(),
        stop: Vec::new(),
        prompt: Prompt::Text(prompt.to_owned()),
    };
    OutgoingRequest::new(Method::POST, "/v1/generate").with_json(&body)
}

async fn direct_ttft(
    client: &Client,
    engine: SocketAddr,
    i: u64,
    prompt: &str,
) -> Option<Duration> {
    let started = Instant::now();
    let mut response = client
        .stream(engine, direct_request(i, prompt, 2))
        .await
        .ok()?;
    response.next().await.ok()??;
    let ttft = started.elapsed();
    while let Ok(Some(_)) = response.next().await {}
    response.release();
    Some(ttft)
}

struct Throughput {
    direct: f64,
    relayed: f64,
    cores_used: f64,
}

/// Measures tokens per second over many concurrent streams. Callers only count events, so that
/// the node is the bottleneck.
fn throughput(fleet: &Fleet, options: &BenchOptions) -> Throughput {
    let direct = stream_tokens_per_s(fleet, options, false);
    let cpu_sampler = std::thread::spawn(|| {
        std::thread::sleep(COUNT_FROM);
        let before = thread_cpu_s("entry-1");
        std::thread::sleep(COUNT_DURATION);
        (thread_cpu_s("entry-1") - before) / COUNT_DURATION.as_secs_f64()
    });
    let relayed = stream_tokens_per_s(fleet, options, true);
    let cores_used = cpu_sampler.join().expect("CPU sampling thread panicked");
    Throughput {
        direct,
        relayed,
        cores_used,
    }
}

/// Returns the CPU time of this process's threads with a given name, in seconds.
fn thread_cpu_s(name: &str) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let mut ticks = 0.0;
    for task in tasks.flatten() {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if !stat.contains(&format!("({name})")) {
            continue;
        }
        let after_name = stat.rsplit(") ").next().unwrap_or("");
        // User and system time.
        let fields = after_name.split(' ').skip(11).take(2);
        ticks += fields.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>();
    }
    ticks / TICKS_PER_S
}

fn stream_tokens_per_s(fleet: &Fleet, options: &BenchOptions, relayed: bool) -> f64 {
    const THREADS: usize = 2;
    let started = Instant::now();
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let engines: Vec<_> = fleet.engines.iter().map(|e| e.addr).collect();
            let node = fleet.caller_addrs()[0];
            let key = fleet.key(0).to_owned();
            let seed = options.seed + relayed as u64 * 1_000;
            std::thread::spawn(move || {
                let node = relayed.then_some(node);
                block_on(stream_batch(
                    t, THREADS, &engines, node, &key, seed, started,
                ))
            })
        })
        .collect();
    let tokens: u64 = threads
        .into_iter()
        .map(|t| t.join().expect("caller thread panicked"))
        .sum();
    tokens as f64 / COUNT_DURATION.as_secs_f64()
}

async fn stream_batch(
    batch: usize,
    batches: usize,
    engines: &[SocketAddr],
    node: Option<SocketAddr>,
    key: &str,
    seed: u64,
    started: Instant,
) -> u64 {
    let client = Client::new();
    let mut tasks = Vec::new();
    for i in (0..STREAMS).skip(batch).step_by(batches) {
        let prompt = prompt_text(seed << 20 | i as u64, 64);
        let (addr, req) = match node {
            None => {
                let addr = engines[i % engines.len()];
                (
                    addr,
                    direct_request(1_000_000 + i as u64, &prompt, LONG_COMPLETION_TOKENS),
                )
            }
            Some(node) => {
                let body = serde_json::json!({
                    "model": "lampwise", "prompt": prompt, "max_tokens": LONG_COMPLETION_TOKENS,
                    "stream": true,
                });
                let req = OutgoingRequest::new(Method::POST, "/v1/completions")
                    .with_json(&body)
                    .with_header(http::header::AUTHORIZATION, caller::bearer(key));
                (node, req)
            }
        };
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            count_tokens(&client, addr, req, started).await
        }));
    }
    let mut sum = 0;
    for task in tasks {
        sum += task.await;
    }
    sum
}

/// Counts the tokens of a stream that arrive within the counting window.
async fn count_tokens(
    client: &Client,
    addr: SocketAddr,
    req: OutgoingRequest,
    started: Instant,
) -> u64 {
    let mut response = client
        .stream(addr, req)
        .await
        .expect("failed to start a stream");
    assert!(
        response.status.is_success(),
        "stream request failed: {}",
        response.status
    );
    let mut events = 0;
    while let Ok(Some(chunk)) = response.next().await {
        let at = started.elapsed();
        if at >= COUNT_FROM + COUNT_DURATION {
            break;
        }
        if at >= COUNT_FROM {
            // Each event ends with an empty line.
            events += chunk.windows(2).filter(|w| w == b"\n\n").count() as u64;
        }
    }
    events
}
