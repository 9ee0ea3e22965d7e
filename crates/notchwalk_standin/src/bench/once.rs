//! Calls that may not repeat: how often they really ran.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{header, HeaderName, HeaderValue, Method};
use notchwalk_http::prelude::*;
use notchwalk_wire::{ApiError, OutcomeWord};

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    caller::bearer,
    fleet::{Fleet, FleetConfig},
    platform::PlatformFault,
    service::{ServiceFault, ServiceRuns},
    thread::block_on,
};

/// Callers at the same time.
const CALLERS: usize = 400;
/// Tries of each call, on different entries.
const TRIES: usize = 3;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Done,
    Told(OutcomeWord),
    Cut,
}

type Tries = HashMap<String, Vec<Ended>>;

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let with_key = measure(options, true);
    let without = measure(options, false);
    figures.insert("duplicate_runs".to_owned(), with_key.duplicates.into());
    figures.insert(
        "duplicate_runs_without_key".to_owned(),
        without.duplicates.into(),
    );
    figures.insert(
        "false_not_run".to_owned(),
        (with_key.false_not_run + without.false_not_run).into(),
    );
    figures.insert(
        "unknown_ratio".to_owned(),
        rounded(with_key.unknown_ratio, 4),
    );
    figures.insert("claims_per_s".to_owned(), rounded(with_key.per_s, 1));
    figures.insert("calls".to_owned(), with_key.calls.into());
    figures
}

struct Measured {
    duplicates: u64,
    false_not_run: u64,
    unknown_ratio: f64,
    per_s: f64,
    calls: usize,
}

/// Calls with lost answers of services and store, and a store outage.
fn measure(options: &BenchOptions, with_key: bool) -> Measured {
    let config = FleetConfig::new(policy::workspaces()).with_sizes(6, 1, 3);
    let fleet = Fleet::start(config);
    for service in &fleet.services {
        let fault = ServiceFault {
            slow_ms: 5,
            dead: false,
            lose_every: 17,
        };
        fleet.control(service.addr, "/standin/fault", &fault);
    }
    let losing = PlatformFault {
        lose_answers: 0.05,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(losing);
    let over = Duration::from_secs(options.seconds);
    let entries = fleet.entries();
    let key = fleet.key(0).to_owned();
    let tries = std::thread::scope(|scope| {
        let sender = scope.spawn(move || block_on(call_all(entries, key, over, with_key)));
        std::thread::sleep(over / 2);
        let down = PlatformFault {
            down: true,
            ..PlatformFault::default()
        };
        fleet.set_platform_fault(down);
        std::thread::sleep(Duration::from_secs(1));
        fleet.set_platform_fault(losing);
        sender.join().expect("the callers end")
    });
    let mut runs: HashMap<String, u64> = HashMap::new();
    for service in &fleet.services {
        let counted: ServiceRuns = fleet.read(service.addr, "/standin/runs");
        for (call, n) in counted.runs {
            *runs.entry(call).or_default() += n;
        }
    }
    judge(&tries, &runs, over)
}

fn judge(tries: &Tries, runs: &HashMap<String, u64>, over: Duration) -> Measured {
    let all: Vec<Ended> = tries.values().flatten().copied().collect();
    let unknown = all
        .iter()
        .filter(|e| **e == Ended::Told(OutcomeWord::Unknown));
    let not_run = Ended::Told(OutcomeWord::NotRun);
    let never = tries
        .iter()
        .filter(|(_, ends)| ends.iter().all(|e| *e == not_run));
    let false_not_run = never.filter(|(call, _)| runs.contains_key(*call)).count();
    let done = tries.values().filter(|ends| ends.contains(&Ended::Done));
    Measured {
        duplicates: runs.values().map(|n| n.saturating_sub(1)).sum(),
        false_not_run: false_not_run as u64,
        unknown_ratio: unknown.count() as f64 / all.len().max(1) as f64,
        per_s: done.count() as f64 / over.as_secs_f64(),
        calls: tries.len(),
    }
}

async fn call_all(entries: Vec<SocketAddr>, key: String, over: Duration, with_key: bool) -> Tries {
    let began = Instant::now();
    let tries = Rc::new(RefCell::new(Tries::new()));
    let mut tasks = Vec::new();
    let client = Client::new();
    for caller in 0..CALLERS {
        let (entries, key, tries) = (entries.clone(), key.clone(), tries.clone());
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            let mut n = 0;
            while began.elapsed() < over {
                n += 1;
                let call = format!("hold-{caller}-{n}");
                let mut ends = Vec::new();
                for i in 0..TRIES {
                    let entry = entries[(caller + n + i) % entries.len()];
                    let end = try_call(&client, entry, &key, &call, with_key).await;
                    ends.push(end);
                    // The first try tells; a caller that got its answer asks
                    // once more, as after a lost page.
                    if end == Ended::Done && i > 0 {
                        break;
                    }
                    if !with_key && end == Ended::Done {
                        break;
                    }
                }
                tries.borrow_mut().insert(call, ends);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    tries.take()
}

async fn try_call(
    client: &Client,
    entry: SocketAddr,
    key: &str,
    call: &str,
    with_key: bool,
) -> Ended {
    const TIMEOUT: Duration = Duration::from_secs(15);
    let value = HeaderValue::from_str(call).expect("plain text");
    let mut req = OutgoingRequest::new(Method::POST, "/v1/services/bookdesk/holds")
        .with_header(header::AUTHORIZATION, bearer(key))
        .with_header(HeaderName::from_static("x-call"), value.clone())
        .with_body("{\"kit\":\"12 moving heads\"}");
    if with_key {
        req = req.with_header(HeaderName::from_static("idempotency-key"), value);
    }
    let Ok(answer) = client.send(entry, req, TIMEOUT, 1 << 20).await else {
        return Ended::Cut;
    };
    if answer.status.is_success() {
        return Ended::Done;
    }
    match answer.json::<ApiError>() {
        Ok(e) => Ended::Told(e.error.outcome),
        Err(_) => Ended::Cut,
    }
}
