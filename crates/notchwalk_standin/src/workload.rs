//! Planned traffic, and sending it: an open loop, so that a slow system is not
//! spared by callers who wait for it.

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

/// Bytes of a token in prompts made here.
const BYTES_PER_TOKEN: usize = 4;

/// One call to be made.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When, from the start of the run.
    pub at: Duration,
    /// The workspace, by place.
    pub workspace: usize,
    /// The entry, by place.
    pub entry: usize,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u64,
    /// The answer's length, in tokens.
    pub max_tokens: u32,
    /// The timeout asked for.
    pub timeout: Duration,
    /// Makes the prompt differ from all others.
    pub salt: u64,
}

impl Planned {
    /// Returns the prompt's text.
    pub fn prompt(&self) -> String {
        prompt_text(self.salt, self.prompt_tokens)
    }
}

/// Returns a text of so many tokens that differs by its salt from the first
/// word on.
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

/// A planned call and what came of it.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The plan.
    pub planned: Planned,
    /// The result.
    pub result: CallResult,
}

/// One kind of call in a mix.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Calls a second, on average.
    pub per_s: f64,
    /// The shortest prompt, in tokens.
    pub min_prompt: u64,
    /// The longest prompt, in tokens.
    pub max_prompt: u64,
    /// The shortest answer, in tokens.
    pub min_answer: u32,
    /// The longest answer, in tokens.
    pub max_answer: u32,
    /// The timeout.
    pub timeout: Duration,
}

impl Stream {
    /// Plans the calls of this kind over a time; the workspaces given take
    /// turns at random.
    pub fn plan(
        &self,
        seed: u64,
        over: Duration,
        workspaces: &[usize],
        entries: usize,
    ) -> Vec<Planned> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut planned = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / self.per_s;
            at += Duration::from_secs_f64(gap);
            if at >= over {
                return planned;
            }
            // Lengths spread evenly over orders of magnitude.
            let (low, high) = ((self.min_prompt as f64).ln(), (self.max_prompt as f64).ln());
            let length = if high > low {
                rng.random_range(low..high).exp()
            } else {
                low.exp()
            };
            planned.push(Planned {
                at,
                workspace: workspaces[rng.random_range(0..workspaces.len())],
                entry: rng.random_range(0..entries),
                prompt_tokens: length.round() as u64,
                max_tokens: rng.random_range(self.min_answer..=self.max_answer),
                timeout: self.timeout,
                salt: rng.random(),
            });
        }
    }
}

/// Sends planned calls to entries from several threads and waits for all.
///
/// # Panics
///
/// Panics if a thread panics.
pub fn run(
    entries: &[SocketAddr],
    keys: &[String],
    model: &str,
    mut planned: Vec<Planned>,
) -> Vec<Measured> {
    const THREADS: usize = 3;
    planned.sort_by_key(|p| p.at);
    let began = Instant::now();
    let mut shares: Vec<Vec<Planned>> = vec![Vec::new(); THREADS];
    for (i, plan) in planned.into_iter().enumerate() {
        shares[i % THREADS].push(plan);
    }
    let threads: Vec<_> = shares
        .into_iter()
        .map(|share| {
            let (entries, keys, model) = (entries.to_vec(), keys.to_vec(), model.to_owned());
            std::thread::spawn(move || block_on(run_share(began, share, &entries, &keys, &model)))
        })
        .collect();
    let results = threads
        .into_iter()
        .flat_map(|t| t.join().expect("a caller's thread ends"));
    results.collect()
}

async fn run_share(
    began: Instant,
    share: Vec<Planned>,
    entries: &[SocketAddr],
    keys: &[String],
    model: &str,
) -> Vec<Measured> {
    let client = Client::new();
    let results = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for planned in share {
        let wait = planned.at.saturating_sub(began.elapsed());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let one = Call {
            entry: entries[planned.entry % entries.len()],
            key: keys[planned.workspace].clone(),
            model: model.to_owned(),
            prompt: planned.prompt(),
            max_tokens: planned.max_tokens,
            stop: Vec::new(),
            timeout: planned.timeout,
        };
        let (client, results) = (client.clone(), results.clone());
        tasks.push(monoio::spawn(async move {
            let result = caller::call(&client, &one).await;
            results.borrow_mut().push(Measured { planned, result });
        }));
    }
    for task in tasks {
        task.await;
    }
    results.take()
}

/// A caller that sends its next request when the last one ended.
#[derive(Clone, Debug)]
pub struct ClosedCaller {
    /// The workspace, by place.
    pub workspace: usize,
    /// The entry, by place.
    pub entry: usize,
    /// What it sends; the rate is not used.
    pub stream: Stream,
    /// Texts that end its answers.
    pub stop: Vec<String>,
    /// Makes its prompts differ from those of others.
    pub seed: u64,
}

/// What a closed caller's request came to, and when its first token came.
#[derive(Clone, Debug)]
pub struct ClosedResult {
    /// The workspace, by place.
    pub workspace: usize,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u64,
    /// When the first token came, from the start of the run.
    pub first_token_at: Option<Duration>,
    /// The result.
    pub result: CallResult,
}

/// Runs closed callers for a time. What has not ended by then is abandoned, as
/// by callers that go away.
///
/// # Panics
///
/// Panics if a thread panics.
pub fn run_closed(
    entries: &[SocketAddr],
    keys: &[String],
    model: &str,
    callers: Vec<ClosedCaller>,
    over: Duration,
) -> Vec<ClosedResult> {
    const THREADS: usize = 3;
    let began = Instant::now();
    let mut shares: Vec<Vec<ClosedCaller>> = vec![Vec::new(); THREADS];
    for (i, caller) in callers.into_iter().enumerate() {
        shares[i % THREADS].push(caller);
    }
    let threads: Vec<_> = shares
        .into_iter()
        .map(|share| {
            let (entries, keys, model) = (entries.to_vec(), keys.to_vec(), model.to_owned());
            std::thread::spawn(move || {
                block_on(async move {
                    let results = Rc::new(RefCell::new(Vec::new()));
                    let client = Client::new();
                    for caller in share {
                        let entry = entries[caller.entry % entries.len()];
                        let key = keys[caller.workspace].clone();
                        let (client, model) = (client.clone(), model.clone());
                        let results = results.clone();
                        notchwalk_http::spawn(async move {
                            call_on(&client, began, entry, key, model, caller, &results).await;
                        });
                    }
                    monoio::time::sleep(over.saturating_sub(began.elapsed())).await;
                    notchwalk_http::end_all().await;
                    results.take()
                })
            })
        })
        .collect();
    let results = threads
        .into_iter()
        .flat_map(|t| t.join().expect("a caller's thread ends"));
    results.collect()
}

async fn call_on(
    client: &Client,
    began: Instant,
    entry: SocketAddr,
    key: String,
    model: String,
    caller: ClosedCaller,
    results: &RefCell<Vec<ClosedResult>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(caller.seed);
    let stream = &caller.stream;
    loop {
        let (low, high) = (
            (stream.min_prompt as f64).ln(),
            (stream.max_prompt as f64).ln(),
        );
        let length = if high > low {
            rng.random_range(low..high).exp()
        } else {
            low.exp()
        };
        let prompt_tokens = length.round() as u64;
        let one = Call {
            entry,
            key: key.clone(),
            model: model.clone(),
            prompt: prompt_text(rng.random(), prompt_tokens),
            max_tokens: rng.random_range(stream.min_answer..=stream.max_answer),
            stop: caller.stop.clone(),
            timeout: stream.timeout,
        };
        let sent_at = began.elapsed();
        let result = caller::call(client, &one).await;
        let retry_after = match &result.end {
            caller::CallEnd::Failed { retry_after, .. } => *retry_after,
            _ => None,
        };
        results.borrow_mut().push(ClosedResult {
            workspace: caller.workspace,
            prompt_tokens,
            first_token_at: result.first_token.map(|first| sent_at + first),
            result,
        });
        if let Some(pause) = retry_after {
            monoio::time::sleep(pause).await;
        }
    }
}
