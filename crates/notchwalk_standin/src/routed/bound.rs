//! Upper bound on the value that any policy can earn: a relaxed schedule that knows all
//! arrivals in advance.
//!
//! All engines are treated as one machine that works on any number of requests at once, in
//! any order, with free preemption. A request earns its value in proportion to the share of
//! its work that is done within its window; the remaining share earns the value of a late
//! response. Both relaxations can only raise the bound. For one machine, the amounts of work
//! that fit into the windows form a polymatroid, so accepting requests greedily by value per
//! millisecond of work, each as far as it fits, is optimal.
//!
//! A prompt that 17 idle engines can't prefill in time earns the value of a late response.
//! The bound ignores memory, faults, the delay until an engine starts on a new request, and
//! the time that engines sharing a prompt wait for each other.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_route::EngineCost;

use super::{
    policy::{parameters, ENGINES},
    traffic::{Arrival, KINDS, TOKENS_PER_EVENT},
};

/// Time resolution of the bound. Windows are extended to whole intervals.
const INTERVAL: Duration = Duration::from_millis(50);

/// The work that a bound counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedWork {
    /// Prefill. The window ends with the latency objective of the first event.
    Prefill,
    /// Prefill and decode. The window ends with the last event if every event takes the
    /// whole inter-token objective.
    All,
}

/// A request's work, and its window in intervals.
struct Job {
    arrival: usize,
    from: usize,
    until: usize,
    work_ms: f64,
    value: f64,
}

/// Accepted work, summed over all windows that contain the window of its job.
struct AcceptedWork {
    /// Work of jobs with windows inside `[from, until)`, in milliseconds, at
    /// `from * (intervals + 1) + until`.
    by_window: Vec<f64>,
    intervals: usize,
}

impl AcceptedWork {
    fn new(intervals: usize) -> Self {
        Self {
            by_window: vec![0.0; (intervals + 1) * (intervals + 1)],
            intervals,
        }
    }

    /// Calls `f` once for each window that contains the job's window, with the number of
    /// intervals in that window and the accepted work of the jobs whose windows are inside it.
    fn for_each_enclosing(&mut self, job: &Job, mut f: impl FnMut(usize, &mut f64)) {
        for from in 0..=job.from {
            let row = from * (self.intervals + 1);
            for until in job.until..=self.intervals {
                f(until - from, &mut self.by_window[row + until]);
            }
        }
    }

    /// Accepts as much of a job as fits. Returns the accepted share.
    fn accept(&mut self, job: &Job) -> f64 {
        let capacity_ms = ENGINES as f64 * INTERVAL.as_secs_f64() * 1e3;
        let mut free_ms = job.work_ms;
        self.for_each_enclosing(job, |length, work| {
            free_ms = free_ms.min(length as f64 * capacity_ms - *work);
        });
        let accepted_ms = free_ms.max(0.0);
        if accepted_ms > 0.0 {
            self.for_each_enclosing(job, |_, work| *work += accepted_ms);
        }
        accepted_ms / job.work_ms.max(f64::MIN_POSITIVE)
    }
}

fn work_ms(arrival: &Arrival, counted: CountedWork) -> f64 {
    let p = parameters();
    let cost = EngineCost::new(&p);
    let prefill_ms = cost.prefill_ms(arrival.prompt, arrival.prompt);
    if counted == CountedWork::Prefill {
        return prefill_ms;
    }
    let events = f64::from(arrival.events);
    let context = arrival.prompt + events * TOKENS_PER_EVENT / 2.0;
    // The fixed cost of an engine step is shared by at most `slots` decoding requests.
    let share = cost.engine_step_ms(0, 0.0) / f64::from(p.slots);
    prefill_ms + events * (share + cost.decode_ms_per_step(context))
}

fn window(arrival: &Arrival, counted: CountedWork) -> (Instant, Instant) {
    let kind = &KINDS[arrival.kind];
    let first_event_due = arrival.at.after(kind.objective);
    match counted {
        CountedWork::Prefill => (arrival.at, first_event_due),
        CountedWork::All => (
            arrival.at,
            first_event_due.after(kind.inter_token_objective * arrival.events),
        ),
    }
}

/// Returns whether idle engines can prefill the prompt within its objective.
fn can_meet_objective(arrival: &Arrival) -> bool {
    /// Maximum number of engines that prefill one prompt.
    const MAX_PREFILL_ENGINES: usize = 17;
    let p = parameters();
    let cost = EngineCost::new(&p);
    let objective_ms = KINDS[arrival.kind].objective.as_secs_f64() * 1e3;
    let prefill_ms = cost.prefill_ms(arrival.prompt, arrival.prompt);
    prefill_ms / MAX_PREFILL_ENGINES as f64 <= objective_ms
}

/// Returns for each arrival the share of its in-time value that the relaxed schedule earns.
pub fn served_shares(arrivals: &[Arrival], counted: CountedWork) -> Vec<f64> {
    let interval_us = INTERVAL.as_micros() as u64;
    let jobs = arrivals.iter().enumerate().map(|(index, arrival)| {
        let (from, until) = window(arrival, counted);
        Job {
            arrival: index,
            from: (from.as_micros() / interval_us) as usize,
            until: until.as_micros().div_ceil(interval_us) as usize,
            work_ms: work_ms(arrival, counted),
            value: arrival.value(),
        }
    });
    let mut jobs: Vec<Job> = jobs.collect();
    jobs.sort_by(|a, b| (b.value / b.work_ms).total_cmp(&(a.value / a.work_ms)));
    let intervals = jobs.iter().map(|job| job.until).max().unwrap_or(0);
    let mut accepted = AcceptedWork::new(intervals);
    let mut shares = vec![0.0; arrivals.len()];
    for job in &jobs {
        if !can_meet_objective(&arrivals[job.arrival]) {
            continue;
        }
        shares[job.arrival] = accepted.accept(job);
    }
    shares
}
