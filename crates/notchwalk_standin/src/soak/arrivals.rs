//! Random requests submitted during a simulation.

use notchwalk_bundle::{ModelKey, ServiceKey, WorkspaceKey};
use notchwalk_decide::{Arrival, CallWork, CallerKey, Event, GenerateWork, Work};
use rand::Rng;

use super::{callers::RequestKind, simulation::Simulation};

impl Simulation {
    pub(super) fn schedule_arrivals(&mut self, end_us: u64) {
        let gap_us = self.rng.random_range(2_000..40_000);
        self.schedule_after(gap_us, move |sim| {
            if sim.now_us < end_us {
                sim.submit_random_request();
                sim.schedule_arrivals(end_us);
            }
        });
    }

    fn submit_random_request(&mut self) {
        let i = self.rng.random_range(0..self.nodes.len());
        let boot = self.nodes[i].boot;
        if self.nodes[i].node.is_none() || self.now_us < self.nodes[i].suspended_until_us {
            return;
        }
        let (kind, work) = match self.rng.random_range(0..10) {
            0..=6 => self.random_generation(),
            _ => self.random_call(),
        };
        let timeout_ms = self.rng.random_range(200..12_000);
        let caller = CallerKey(self.next_caller);
        self.next_caller += 1;
        let arrival = Arrival {
            caller,
            workspace: WorkspaceKey(self.rng.random_range(0..4)),
            work,
            content: None,
            priority: Some(self.rng.random_range(0..9)),
            timeout_ms: Some(timeout_ms),
        };
        let deadline_us = self.now_us + timeout_ms * 1_000;
        self.nodes[i].pending_arrival = Some((kind, deadline_us));
        self.feed(i, boot, Event::Arrival(Box::new(arrival)));
    }

    fn random_generation(&mut self) -> (RequestKind, Work) {
        let prompt_tokens = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(40_000..70_000),
            1 => self.rng.random_range(33_000..38_000),
            _ => self.rng.random_range(50..4_000),
        };
        let max_tokens = self.rng.random_range(1..200);
        let work = GenerateWork {
            model: ModelKey(0),
            adapter: None,
            version: None,
            prompt_tokens,
            max_tokens,
            prefix: Vec::new(),
        };
        (RequestKind::Completion(max_tokens), Work::Generate(work))
    }

    fn random_call(&mut self) -> (RequestKind, Work) {
        let key = self.chance(70).then(|| {
            // The key space is small so that concurrent attempts share keys.
            let epoch = self.now_us / 3_000_000;
            format!("k{epoch}-{}", self.rng.random_range(0..20))
        });
        let work = CallWork {
            service: ServiceKey(0),
            repeatable: false,
            idempotency_key: key.clone(),
            fingerprint: "same".to_owned(),
        };
        (RequestKind::Call(key), Work::Call(work))
    }
}
