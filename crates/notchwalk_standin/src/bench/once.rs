//! Measures how often non-repeatable service calls are executed, under lost responses and a
//! platform outage.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{header, HeaderName, HeaderValue, Method};
use notchwalk_http::prelude::*;
use notchwalk_wire::{ApiError, ExecutionOutcome};

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    caller::bearer,
    fleet::{Fleet, FleetConfig},
    platform::PlatformFault,
    service::{ServiceFault, ServiceRuns},
    thread::block_on,
};

/// Number of concurrent callers.
const CALLERS: usize = 400;
/// Attempts of each call, on different nodes.
const ATTEMPTS: usize = 3;

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    Completed,
    Failed(ExecutionOutcome),
    ConnectionLost,
}

type Attempts = HashMap<String, Vec<AttemptOutcome>>;

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let with_key = measure(options, true);
    let without = measure(options, false);
    metrics.insert("duplicate_runs".to_owned(), with_key.duplicate_runs.into());
    metrics.insert(
        "duplicate_runs_without_key".to_owned(),
        without.duplicate_runs.into(),
    );
    metrics.insert(
        "false_not_run".to_owned(),
        (with_key.false_not_run + without.false_not_run).into(),
    );
    metrics.insert(
        "unknown_ratio".to_owned(),
        rounded(with_key.unknown_ratio, 4),
    );
    metrics.insert(
        "claims_per_s".to_owned(),
        rounded(with_key.completed_per_s, 1),
    );
    metrics.insert("calls".to_owned(), with_key.calls.into());
    metrics
}

struct Outcome {
    duplicate_runs: u64,
    /// Calls reported as not run that a server did execute.
    false_not_run: u64,
    unknown_ratio: f64,
    completed_per_s: f64,
    calls: usize,
}

/// Sends calls while services and store lose responses and the platform is down for 1 s.
fn measure(options: &BenchOptions, with_key: bool) -> Outcome {
    let config = FleetConfig::new(policy::workspaces()).with_sizes(6, 1, 3);
    let fleet = Fleet::start(config);
    for service in &fleet.services {
        let fault = ServiceFault {
            slow_ms: 5,
            dead: false,
            drop_response_every: 17,
            ..ServiceFault::default()
        };
        fleet.post_control(service.addr, "/standin/fault", &fault);
    }
    let lossy = PlatformFault {
        response_loss_ratio: 0.05,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(lossy);
    let duration = Duration::from_secs(options.seconds);
    let nodes = fleet.caller_addrs();
    let key = fleet.key(0).to_owned();
    let attempts = std::thread::scope(|scope| {
        let sender = scope.spawn(move || block_on(send_calls(nodes, key, duration, with_key)));
        std::thread::sleep(duration / 2);
        let down = PlatformFault {
            down: true,
            ..PlatformFault::default()
        };
        fleet.set_platform_fault(down);
        std::thread::sleep(Duration::from_secs(1));
        fleet.set_platform_fault(lossy);
        sender.join().expect("sending thread panicked")
    });
    let mut runs: HashMap<String, u64> = HashMap::new();
    for service in &fleet.services {
        let counted: ServiceRuns = fleet.get_json(service.addr, "/standin/runs");
        for (call, n) in counted.runs {
            *runs.entry(call).or_default() += n;
        }
    }
    evaluate(&attempts, &runs, duration)
}

fn evaluate(attempts: &Attempts, runs: &HashMap<String, u64>, duration: Duration) -> Outcome {
    let all_outcomes: Vec<AttemptOutcome> = attempts.values().flatten().copied().collect();
    let unknown = all_outcomes
        .iter()
        .filter(|outcome| **outcome == AttemptOutcome::Failed(ExecutionOutcome::Unknown));
    let not_run = AttemptOutcome::Failed(ExecutionOutcome::NotRun);
    let reported_not_run = attempts
        .iter()
        .filter(|(_, outcomes)| outcomes.iter().all(|outcome| *outcome == not_run));
    let false_not_run = reported_not_run
        .filter(|(call, _)| runs.contains_key(*call))
        .count();
    let completed = attempts
        .values()
        .filter(|outcomes| outcomes.contains(&AttemptOutcome::Completed));
    Outcome {
        duplicate_runs: runs.values().map(|n| n.saturating_sub(1)).sum(),
        false_not_run: false_not_run as u64,
        unknown_ratio: unknown.count() as f64 / all_outcomes.len().max(1) as f64,
        completed_per_s: completed.count() as f64 / duration.as_secs_f64(),
        calls: attempts.len(),
    }
}

async fn send_calls(
    nodes: Vec<SocketAddr>,
    key: String,
    duration: Duration,
    with_key: bool,
) -> Attempts {
    let started = Instant::now();
    let attempts = Rc::new(RefCell::new(Attempts::new()));
    let mut tasks = Vec::new();
    let client = Client::new();
    for caller in 0..CALLERS {
        let (nodes, key, attempts) = (nodes.clone(), key.clone(), attempts.clone());
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            let mut n = 0;
            while started.elapsed() < duration {
                n += 1;
                let call = format!("hold-{caller}-{n}");
                let mut outcomes = Vec::new();
                for i in 0..ATTEMPTS {
                    let node = nodes[(caller + n + i) % nodes.len()];
                    let outcome = send_attempt(&client, node, &key, &call, with_key).await;
                    outcomes.push(outcome);
                    // With an idempotency key a completed first attempt is repeated, to
                    // detect duplicate executions.
                    if outcome == AttemptOutcome::Completed && i > 0 {
                        break;
                    }
                    if !with_key && outcome == AttemptOutcome::Completed {
                        break;
                    }
                }
                attempts.borrow_mut().insert(call, outcomes);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    attempts.take()
}

async fn send_attempt(
    client: &Client,
    node: SocketAddr,
    key: &str,
    call: &str,
    with_key: bool,
) -> AttemptOutcome {
    const TIMEOUT: Duration = Duration::from_secs(15);
    let value = HeaderValue::from_str(call).expect("call id is not a valid header value");
    let mut req = OutgoingRequest::new(Method::POST, "/v1/services/bookdesk/holds")
        .with_header(header::AUTHORIZATION, bearer(key))
        .with_header(HeaderName::from_static("x-call"), value.clone())
        .with_body("{\"kit\":\"12 moving heads\"}");
    if with_key {
        req = req.with_header(HeaderName::from_static("idempotency-key"), value);
    }
    let Ok(response) = client.send(node, req, TIMEOUT, 1 << 20).await else {
        return AttemptOutcome::ConnectionLost;
    };
    if response.status.is_success() {
        return AttemptOutcome::Completed;
    }
    match response.json::<ApiError>() {
        Ok(e) => AttemptOutcome::Failed(e.error.outcome),
        Err(_) => AttemptOutcome::ConnectionLost,
    }
}
