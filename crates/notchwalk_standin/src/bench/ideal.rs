//! The ideal: the same work under a placement that knows all lengths and loads
//! at once. At any moment the engines work on the prompts with the least left,
//! moving between them at no cost. No real placement can do better for the
//! mean; it shows how much there is left to gain.

use std::time::Duration;

use crate::workload::Planned;

/// A prompt on its way.
struct Job {
    place: usize,
    left: f64,
}

/// Returns each planned call's time to first token, in order.
pub fn first_token_times(planned: &[Planned], engines: usize, tokens_per_s: f64) -> Vec<Duration> {
    let mut order: Vec<usize> = (0..planned.len()).collect();
    order.sort_by_key(|i| planned[*i].at);
    let mut times = vec![Duration::ZERO; planned.len()];
    let mut jobs: Vec<Job> = Vec::new();
    let mut now = 0.0;
    let mut next = 0;
    while next < order.len() || !jobs.is_empty() {
        jobs.sort_by(|a, b| a.left.total_cmp(&b.left));
        let running = jobs.len().min(engines);
        let first_end = jobs.first().map(|job| now + job.left / tokens_per_s);
        let arrival = order.get(next).map(|i| planned[*i].at.as_secs_f64());
        let until = match (first_end, arrival) {
            (Some(end), Some(arrival)) => end.min(arrival),
            (Some(end), None) => end,
            (None, Some(arrival)) => arrival,
            (None, None) => break,
        };
        for job in &mut jobs[..running] {
            job.left -= (until - now) * tokens_per_s;
        }
        now = until;
        const DONE: f64 = 1e-6;
        for job in jobs.iter().filter(|job| job.left <= DONE) {
            let took = now - planned[job.place].at.as_secs_f64();
            times[job.place] = Duration::from_secs_f64(took.max(0.0));
        }
        jobs.retain(|job| job.left > DONE);
        if arrival.is_some_and(|at| at <= now) {
            let place = order[next];
            let left = planned[place].prompt_tokens as f64;
            jobs.push(Job { place, left });
            next += 1;
        }
    }
    times
}
