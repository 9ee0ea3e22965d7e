//! What no policy can pass: a relaxation of the schedule that knows all arrivals.
//!
//! All engines are one machine that works on anything at once, in any order, and stops
//! and goes on for nothing. A request earns the part of its credit that the part of its
//! work earns which is done in its window; what is not, earns a late answer's credit.
//! Both make the bound higher than any schedule can get. For one machine, the amounts of
//! work that fit into windows form a polymatroid, so that to take requests in the order
//! of their credit for each millisecond, each as far as it fits, is best.
//!
//! A prompt that 17 idle engines could not read in time earns a late answer's credit.
//! Not in it: what engines that read together wait for each other, memory, the time that
//! an engine needs until it looks at a new request, and faults.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_route::EngineCost;

use super::{
    policy::{parameters, ENGINES},
    traffic::{Arrival, KINDS, TOKENS_PER_EVENT},
};

/// The grain of time: windows are rounded up to it.
const GRAIN: Duration = Duration::from_millis(50);

/// Which work a bound counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// Reading, within the latency objective.
    Reading,
    /// Reading and generating, until the last event with the longest pauses in time.
    All,
}

/// A request's work and window, in grains.
struct Job {
    arrival: usize,
    from: usize,
    until: usize,
    work_ms: f64,
    worth: f64,
}

/// Work that was taken, summed up over the windows it lies in.
struct Load {
    /// Work of windows within `[from, until)`, at `from * (grains + 1) + until`.
    within: Vec<f64>,
    grains: usize,
}

impl Load {
    fn new(grains: usize) -> Self {
        Self {
            within: vec![0.0; (grains + 1) * (grains + 1)],
            grains,
        }
    }

    /// Calls `f` for each window that holds the job's: its length and its work.
    fn around(&mut self, job: &Job, mut f: impl FnMut(usize, &mut f64)) {
        for from in 0..=job.from {
            let row = from * (self.grains + 1);
            for until in job.until..=self.grains {
                f(until - from, &mut self.within[row + until]);
            }
        }
    }

    /// Takes as much of a job as fits; returns which part that is.
    fn take(&mut self, job: &Job) -> f64 {
        let a_grain = ENGINES as f64 * GRAIN.as_secs_f64() * 1e3;
        let mut fits = job.work_ms;
        self.around(job, |length, work| {
            fits = fits.min(length as f64 * a_grain - *work);
        });
        let taken = fits.max(0.0);
        if taken > 0.0 {
            self.around(job, |_, work| *work += taken);
        }
        taken / job.work_ms.max(f64::MIN_POSITIVE)
    }
}

fn work_ms(arrival: &Arrival, counted: Counted) -> f64 {
    let p = parameters();
    let cost = EngineCost::new(&p);
    let reading = cost.prefill_ms(arrival.prompt, arrival.prompt);
    if counted == Counted::Reading {
        return reading;
    }
    let events = f64::from(arrival.events);
    let context = arrival.prompt + events * TOKENS_PER_EVENT / 2.0;
    // A pass costs its engine the same however many generate in it, its slots at most.
    let share = cost.engine_step_ms(0, 0.0) / f64::from(p.slots);
    reading + events * (share + cost.decode_ms_per_step(context))
}

fn window(arrival: &Arrival, counted: Counted) -> (Instant, Instant) {
    let kind = &KINDS[arrival.kind];
    let first = arrival.at.after(kind.objective);
    match counted {
        Counted::Reading => (arrival.at, first),
        Counted::All => (arrival.at, first.after(kind.pause * arrival.events)),
    }
}

/// Tells whether any number of idle engines could read a prompt in time.
fn may_be_in_time(arrival: &Arrival) -> bool {
    /// Engines that read one prompt at most, as the users' engines allow.
    const MOST: usize = 17;
    let p = parameters();
    let cost = EngineCost::new(&p);
    let objective_ms = KINDS[arrival.kind].objective.as_secs_f64() * 1e3;
    let reading = cost.prefill_ms(arrival.prompt, arrival.prompt);
    reading / MOST as f64 <= objective_ms
}

/// Returns for each arrival the part of its in-time credit that the relaxation earns.
pub fn in_time(arrivals: &[Arrival], counted: Counted) -> Vec<f64> {
    let grain_us = GRAIN.as_micros() as u64;
    let jobs = arrivals.iter().enumerate().map(|(place, arrival)| {
        let (from, until) = window(arrival, counted);
        Job {
            arrival: place,
            from: (from.as_micros() / grain_us) as usize,
            until: until.as_micros().div_ceil(grain_us) as usize,
            work_ms: work_ms(arrival, counted),
            worth: arrival.worth(),
        }
    });
    let mut jobs: Vec<Job> = jobs.collect();
    jobs.sort_by(|a, b| (b.worth / b.work_ms).total_cmp(&(a.worth / a.work_ms)));
    let last = jobs.iter().map(|job| job.until).max().unwrap_or(0);
    let mut load = Load::new(last);
    let mut parts = vec![0.0; arrivals.len()];
    for job in &jobs {
        if !may_be_in_time(&arrivals[job.arrival]) {
            continue;
        }
        parts[job.arrival] = load.take(job);
    }
    parts
}
