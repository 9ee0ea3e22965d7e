//! Generates traffic and sends it to nodes. The open loop sends calls at planned times
//! whether or not earlier calls have ended, so that a slow system is not offered less load.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use notchwalk_http::Client;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    caller::{self, Call, CallResult},
    thread::block_on,
};

/// Prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// A call planned by [`TrafficClass::plan`].
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Send time, from the start of the run.
    pub at: Duration,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the node.
    pub node: usize,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Completion length, in tokens.
    pub max_tokens: u32,
    /// Timeout that the caller requests.
    pub timeout: Duration,
    /// Makes the prompt unique.
    pub salt: u64,
}

impl PlannedCall {
    /// Returns the prompt text.
    pub fn prompt(&self) -> String {
        prompt_text(self.salt, self.prompt_tokens)
    }
}

/// Returns a text of `tokens` tokens that starts with the salt, so that prompts of different
/// salts share no prefix.
pub fn prompt_text(salt: u64, tokens: u64) -> String {
    const FILLER: &str = "truss span load pan tilt gobo dimmer patch cue fade wash beam rig hang ";
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let mut text = format!("{salt:016x} ");
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
    text
}

/// A planned call and its result.
#[derive(Clone, Debug)]
pub struct MeasuredCall {
    /// The planned call.
    pub planned: PlannedCall,
    /// Its result.
    pub result: CallResult,
}

/// A class of traffic: its rate and the ranges of its lengths.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClass {
    /// Mean calls per second.
    pub per_s: f64,
    /// Minimum prompt length, in tokens.
    pub min_prompt: u64,
    /// Maximum prompt length, in tokens.
    pub max_prompt: u64,
    /// Minimum completion length, in tokens.
    pub min_completion: u32,
    /// Maximum completion length, in tokens.
    pub max_completion: u32,
    /// Timeout that the callers request.
    pub timeout: Duration,
}

impl TrafficClass {
    /// Plans calls with Poisson arrivals for a duration. The workspace and the node of each
    /// call are drawn uniformly.
    pub fn plan(
        &self,
        seed: u64,
        duration: Duration,
        workspaces: &[usize],
        nodes: usize,
    ) -> Vec<PlannedCall> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut planned = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / self.per_s;
            at += Duration::from_secs_f64(gap);
            if at >= duration {
                return planned;
            }
            // Prompt lengths are log-uniform.
            let (low, high) = ((self.min_prompt as f64).ln(), (self.max_prompt as f64).ln());
            let length = if high > low {
                rng.random_range(low..high).exp()
            } else {
                low.exp()
            };
            planned.push(PlannedCall {
                at,
                workspace: workspaces[rng.random_range(0..workspaces.len())],
                node: rng.random_range(0..nodes),
                prompt_tokens: length.round() as u64,
                max_tokens: rng.random_range(self.min_completion..=self.max_completion),
                timeout: self.timeout,
                salt: rng.random(),
            });
        }
    }
}

/// Sends planned calls to nodes from several threads and waits for all results.
///
/// # Panics
///
/// Panics if a sending thread panics.
pub fn run_open_loop(
    nodes: &[SocketAddr],
    keys: &[String],
    model: &str,
    mut planned: Vec<PlannedCall>,
) -> Vec<MeasuredCall> {
    const THREADS: usize = 3;
    planned.sort_by_key(|p| p.at);
    let started = Instant::now();
    let mut batches: Vec<Vec<PlannedCall>> = vec![Vec::new(); THREADS];
    for (i, plan) in planned.into_iter().enumerate() {
        batches[i % THREADS].push(plan);
    }
    let threads: Vec<_> = batches
        .into_iter()
        .map(|batch| {
            let (nodes, keys, model) = (nodes.to_vec(), keys.to_vec(), model.to_owned());
            std::thread::spawn(move || block_on(send_batch(started, batch, &nodes, &keys, &model)))
        })
        .collect();
    let results = threads
        .into_iter()
        .flat_map(|t| t.join().expect("sending thread panicked"));
    results.collect()
}

async fn send_batch(
    started: Instant,
    batch: Vec<PlannedCall>,
    nodes: &[SocketAddr],
    keys: &[String],
    model: &str,
) -> Vec<MeasuredCall> {
    let client = Client::new();
    let results = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for planned in batch {
        let wait = planned.at.saturating_sub(started.elapsed());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let call = Call {
            node: nodes[planned.node % nodes.len()],
            key: keys[planned.workspace].clone(),
            model: model.to_owned(),
            prompt: planned.prompt(),
            max_tokens: planned.max_tokens,
            stop: Vec::new(),
            timeout: planned.timeout,
        };
        let (client, results) = (client.clone(), results.clone());
        tasks.push(monoio::spawn(async move {
            let result = caller::call(&client, &call).await;
            results.borrow_mut().push(MeasuredCall { planned, result });
        }));
    }
    for task in tasks {
        task.await;
    }
    results.take()
}

/// A closed-loop caller, which sends its next request when the previous one has ended.
#[derive(Clone, Debug)]
pub struct ClosedLoopCaller {
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the node.
    pub node: usize,
    /// Lengths and timeout of its calls; the rate is ignored.
    pub traffic: TrafficClass,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Seed of its prompts and lengths.
    pub seed: u64,
}

/// The result of a closed-loop caller's request.
#[derive(Clone, Debug)]
pub struct ClosedLoopResult {
    /// Index of the workspace.
    pub workspace: usize,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Arrival time of the first token, from the start of the run.
    pub first_token_at: Option<Duration>,
    /// Outcome and timings of the call.
    pub result: CallResult,
}

/// Runs closed-loop callers for a duration. Requests still running at the end are aborted.
///
/// # Panics
///
/// Panics if a sending thread panics.
pub fn run_closed_loop(
    nodes: &[SocketAddr],
    keys: &[String],
    model: &str,
    callers: Vec<ClosedLoopCaller>,
    duration: Duration,
) -> Vec<ClosedLoopResult> {
    const THREADS: usize = 3;
    let started = Instant::now();
    let mut batches: Vec<Vec<ClosedLoopCaller>> = vec![Vec::new(); THREADS];
    for (i, caller) in callers.into_iter().enumerate() {
        batches[i % THREADS].push(caller);
    }
    let threads: Vec<_> = batches
        .into_iter()
        .map(|batch| {
            let (nodes, keys, model) = (nodes.to_vec(), keys.to_vec(), model.to_owned());
            std::thread::spawn(move || {
                block_on(async move {
                    let results = Rc::new(RefCell::new(Vec::new()));
                    let client = Client::new();
                    for caller in batch {
                        let node = nodes[caller.node % nodes.len()];
                        let key = keys[caller.workspace].clone();
                        let (client, model) = (client.clone(), model.clone());
                        let results = results.clone();
                        notchwalk_http::spawn(async move {
                            run_closed_loop_caller(
                                &client, started, node, key, model, caller, &results,
                            )
                            .await;
                        });
                    }
                    monoio::time::sleep(duration.saturating_sub(started.elapsed())).await;
                    notchwalk_http::abort_all().await;
                    results.take()
                })
            })
        })
        .collect();
    let results = threads
        .into_iter()
        .flat_map(|t| t.join().expect("sending thread panicked"));
    results.collect()
}

async fn run_closed_loop_caller(
    client: &Client,
    started: Instant,
    node: SocketAddr,
    key: String,
    model: String,
    caller: ClosedLoopCaller,
    results: &RefCell<Vec<ClosedLoopResult>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(caller.seed);
    let traffic = &caller.traffic;
    loop {
        let (low, high) = (
            (traffic.min_prompt as f64).ln(),
            (traffic.max_prompt as f64).ln(),
        );
        let length = if high > low {
            rng.random_range(low..high).exp()
        } else {
            low.exp()
        };
        let prompt_tokens = length.round() as u64;
        let call = Call {
            node,
            key: key.clone(),
            model: model.clone(),
            prompt: prompt_text(rng.random(), prompt_tokens),
            max_tokens: rng.random_range(traffic.min_completion..=traffic.max_completion),
            stop: caller.stop.clone(),
            timeout: traffic.timeout,
        };
        let sent_at = started.elapsed();
        let result = caller::call(client, &call).await;
        let retry_after = match &result.end {
            caller::CallEnd::Failed { retry_after, .. } => *retry_after,
            _ => None,
        };
        results.borrow_mut().push(ClosedLoopResult {
            workspace: caller.workspace,
            prompt_tokens,
            first_token_at: result.ttft.map(|first| sent_at + first),
            result,
        });
        if let Some(delay) = retry_after {
            monoio::time::sleep(delay).await;
        }
    }
}
