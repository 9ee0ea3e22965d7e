//! A lower bound for times to first token: shortest-remaining-time-first scheduling with
//! full knowledge of lengths and loads, and migration at no cost.

use std::time::Duration;

use crate::workload::PlannedCall;

/// A prompt in progress.
struct Job {
    index: usize,
    remaining_tokens: f64,
}

/// Returns a lower bound for the time to first token of each planned call, in the order of
/// `planned`.
pub fn ttft_lower_bounds(
    planned: &[PlannedCall],
    engines: usize,
    tokens_per_s: f64,
) -> Vec<Duration> {
    let mut order: Vec<usize> = (0..planned.len()).collect();
    order.sort_by_key(|i| planned[*i].at);
    let mut times = vec![Duration::ZERO; planned.len()];
    let mut jobs: Vec<Job> = Vec::new();
    let mut now = 0.0;
    let mut next_arrival = 0;
    while next_arrival < order.len() || !jobs.is_empty() {
        jobs.sort_by(|a, b| a.remaining_tokens.total_cmp(&b.remaining_tokens));
        let running = jobs.len().min(engines);
        let next_completion = jobs
            .first()
            .map(|job| now + job.remaining_tokens / tokens_per_s);
        let arrival = order
            .get(next_arrival)
            .map(|i| planned[*i].at.as_secs_f64());
        let until = match (next_completion, arrival) {
            (Some(end), Some(arrival)) => end.min(arrival),
            (Some(end), None) => end,
            (None, Some(arrival)) => arrival,
            (None, None) => break,
        };
        for job in &mut jobs[..running] {
            job.remaining_tokens -= (until - now) * tokens_per_s;
        }
        now = until;
        const COMPLETION_EPSILON_TOKENS: f64 = 1e-6;
        for job in jobs
            .iter()
            .filter(|job| job.remaining_tokens <= COMPLETION_EPSILON_TOKENS)
        {
            let ttft = now - planned[job.index].at.as_secs_f64();
            times[job.index] = Duration::from_secs_f64(ttft.max(0.0));
        }
        jobs.retain(|job| job.remaining_tokens > COMPLETION_EPSILON_TOKENS);
        if arrival.is_some_and(|at| at <= now) {
            let index = order[next_arrival];
            let remaining_tokens = planned[index].prompt_tokens as f64;
            jobs.push(Job {
                index,
                remaining_tokens,
            });
            next_arrival += 1;
        }
    }
    times
}
