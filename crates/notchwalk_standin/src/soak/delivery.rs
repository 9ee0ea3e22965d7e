//! The simulated network between nodes and fakes: streams, cancels, calls,
//! claims and peer messages, each with random failures.

use notchwalk_core::{Attempt, RequestId, ServerId, VmId};
use notchwalk_decide::{AttemptEnd, ClaimResponse, ClaimRow, Dispatch, Event, RequestKey};
use notchwalk_wire::PeerMessage;
use rand::Rng;

use super::{
    callers::RequestKind,
    simulation::{Mechanism, Simulation},
};

impl Simulation {
    /// Returns whether the node has closed the attempt's connection.
    pub(super) fn is_closed(&self, id: RequestId, attempt: Attempt) -> bool {
        self.closed.contains(&(id, Attempt(u16::MAX)))
            || self
                .latest_attempts
                .get(&id)
                .is_some_and(|latest| *latest > attempt)
    }

    /// Records that a backend server accepted the request.
    pub(super) fn record_run(&mut self, i: usize, boot: u64, key: RequestKey, id: RequestId) {
        if self.reported_not_run.contains(&id) {
            self.record_violation(format!("{id}: reported as not run and then ran"));
        }
        if self.nodes[i].boot == boot {
            if let Some(open) = self.nodes[i].requests.open.get_mut(&key) {
                open.ran = true;
            }
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        i: usize,
        boot: u64,
        request: RequestKey,
        attempt: Attempt,
        end: AttemptEnd,
    ) {
        let event = Event::AttemptEnded {
            request,
            attempt,
            end,
        };
        self.feed(i, boot, event);
    }

    pub(super) fn start_generation(
        &mut self,
        i: usize,
        boot: u64,
        id: RequestId,
        d: Dispatch,
        max_tokens: u32,
    ) {
        let engine = d.server.0 as usize;
        if self.is_closed(id, d.attempt) {
            return;
        }
        if self.engines[engine].crashed {
            return self.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::NotSent);
        }
        if self.engines[engine].hung {
            return;
        }
        if self.chance(3) {
            let code = "overloaded".to_owned();
            return self.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::Refused { code });
        }
        self.record_run(i, boot, d.request, id);
        let now = self.now_us;
        self.engines[engine].accept(id, d.attempt, 1_000, now);
        self.schedule_frame(i, boot, id, d, d.offset, max_tokens);
    }

    /// Schedules the next frame of a stream.
    pub(super) fn schedule_frame(
        &mut self,
        i: usize,
        boot: u64,
        id: RequestId,
        d: Dispatch,
        offset: u32,
        max_tokens: u32,
    ) {
        let gap_us = self.rng.random_range(2_000..30_000);
        self.schedule_after(gap_us, move |sim| {
            let engine = d.server.0 as usize;
            if !sim.engines[engine].is_running(id, d.attempt) {
                return sim.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            if sim.is_closed(id, d.attempt) || sim.nodes[i].boot != boot {
                // Engines do not always detect a closed connection.
                if sim.chance(70) {
                    sim.engines[engine].cancel(id, d.attempt);
                }
                return;
            }
            if sim.engines[engine].hung {
                return sim.schedule_frame(i, boot, id, d, offset, max_tokens);
            }
            if sim.chance(1) {
                // The connection is lost without the engine detecting it.
                return sim.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            let count = sim.rng.random_range(1..=8).min(max_tokens - offset);
            sim.send_frame(i, boot, id, d, offset, count);
            if offset + count < max_tokens {
                return sim.schedule_frame(i, boot, id, d, offset + count, max_tokens);
            }
            sim.engines[engine].reservations.remove(&id);
            let end = AttemptEnd::Complete {
                prompt_tokens: 100,
                cached_tokens: 0,
                completion_tokens: max_tokens,
            };
            sim.end_attempt(i, boot, d.request, d.attempt, end);
        });
    }

    pub(super) fn send_frame(
        &mut self,
        i: usize,
        boot: u64,
        id: RequestId,
        d: Dispatch,
        offset: u32,
        count: u32,
    ) {
        let engine = d.server.0 as usize;
        let frame = |id, attempt, offset| Event::Frame {
            request: d.request,
            id,
            attempt,
            offset,
            count,
        };
        if self.engines[engine].sends_mismatched_frames {
            let other = RequestId {
                seq: id.seq + 1,
                ..id
            };
            self.feed(i, boot, frame(other, d.attempt, offset));
            self.feed(i, boot, frame(id, Attempt(d.attempt.0 - 1), offset));
        }
        self.feed(i, boot, frame(id, d.attempt, offset));
        if self.chance(2) {
            // The frame is duplicated.
            self.feed(i, boot, frame(id, d.attempt, offset));
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn start_segment(
        &mut self,
        i: usize,
        boot: u64,
        engine: usize,
        request: RequestKey,
        id: RequestId,
        attempt: Attempt,
        tokens: u64,
    ) {
        if self.is_closed(id, attempt) {
            return;
        }
        if self.engines[engine].crashed {
            return self.end_attempt(i, boot, request, attempt, AttemptEnd::NotSent);
        }
        self.record_run(i, boot, request, id);
        let now = self.now_us;
        self.engines[engine].accept(id, attempt, tokens, now);
        let duration_us = self.rng.random_range(5_000..200_000);
        self.schedule_after(duration_us, move |sim| {
            let completes = sim.engines[engine].is_running(id, attempt) && !sim.chance(5);
            match completes {
                true => sim.feed(i, boot, Event::SegmentReady { request, attempt }),
                false => sim.end_attempt(i, boot, request, attempt, AttemptEnd::Broken),
            }
        });
    }

    pub(super) fn cancel_on_engine(
        &mut self,
        i: usize,
        boot: u64,
        server: ServerId,
        id: RequestId,
        up_to: Attempt,
    ) {
        let lost = self.chance(15);
        let engine = &mut self.engines[server.0 as usize];
        let reached = !engine.hung && !engine.crashed && !lost;
        if reached {
            engine.cancel(id, up_to);
        }
        let confirmed = reached && !self.chance(5);
        let event = Event::CancelEnded {
            server,
            id,
            confirmed,
        };
        let delay_us = self.random_delay_us();
        self.schedule_after(delay_us, move |sim| sim.feed(i, boot, event));
    }

    pub(super) fn start_call(&mut self, i: usize, boot: u64, id: RequestId, d: Dispatch) {
        if self.is_closed(id, d.attempt) {
            return;
        }
        if self.chance(6) {
            return self.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::NotSent);
        }
        self.record_run(i, boot, d.request, id);
        let open = self.nodes[i].requests.open.get(&d.request);
        let idempotency_key = open.filter(|o| o.id == id).and_then(|o| match &o.kind {
            RequestKind::Call(key) => key.clone(),
            RequestKind::Completion(_) => None,
        });
        let claim_key = idempotency_key.as_ref().map(|_| self.claim_key_of(id));
        let deduplication_key = match self.is_disabled(Mechanism::Claims) {
            true => idempotency_key,
            false => claim_key.clone().flatten(),
        };
        let run_key = deduplication_key.unwrap_or_else(|| id.to_string());
        let runs = self.call_runs.entry(run_key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.record_violation(format!("call {run_key} ran twice"));
        }
        let duration_us = self.rng.random_range(1_000..400_000);
        self.schedule_after(duration_us, move |sim| {
            if sim.chance(8) {
                return sim.end_attempt(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            if let (Some(Some(key)), false) = (claim_key, sim.claims.unavailable) {
                sim.claims.finish(&key, &id.to_string());
            }
            let end = AttemptEnd::Complete {
                prompt_tokens: 0,
                cached_tokens: 0,
                completion_tokens: 0,
            };
            sim.end_attempt(i, boot, d.request, d.attempt, end);
        });
    }

    /// Returns the key of the claim that belongs to the request.
    pub(super) fn claim_key_of(&self, id: RequestId) -> Option<String> {
        let token = id.to_string();
        let mut rows = self.claims.rows.iter();
        rows.find(|(_, row)| row.token == token)
            .map(|(key, _)| key.clone())
    }

    pub(super) fn insert_claim(
        &mut self,
        i: usize,
        boot: u64,
        request: RequestKey,
        key: String,
        token: String,
        fingerprint: String,
    ) {
        if self.is_disabled(Mechanism::Claims) {
            let row = ClaimRow {
                token,
                done: false,
                fingerprint,
            };
            return self.send_claim_response(i, boot, request, ClaimResponse::Row(row));
        }
        let delay_us = self.random_delay_us();
        self.schedule_after(delay_us, move |sim| {
            if sim.claims.unavailable {
                let applied_late = sim.chance(10);
                if applied_late {
                    // The write takes effect after the node has timed out.
                    let wait_us = sim.rng.random_range(500_000..4_000_000);
                    sim.schedule_after(wait_us, move |sim| {
                        sim.claims.insert(&key, &token, &fingerprint)
                    });
                }
                return sim.send_claim_response(i, boot, request, ClaimResponse::Unanswered);
            }
            sim.claims.insert(&key, &token, &fingerprint);
            let response = match sim.chance(15) {
                true => ClaimResponse::Unanswered,
                false => sim.claims.read(&key),
            };
            sim.send_claim_response(i, boot, request, response);
        });
    }

    pub(super) fn send_claim_response(
        &mut self,
        i: usize,
        boot: u64,
        request: RequestKey,
        response: ClaimResponse,
    ) {
        let delay_us = self.random_delay_us();
        self.schedule_after(delay_us, move |sim| {
            sim.feed(i, boot, Event::Claim { request, response })
        });
    }

    pub(super) fn send_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        if to >= self.nodes.len() || self.chance(5) {
            return;
        }
        if let Some(isolated) = self.isolated_node {
            if (from == isolated) != (to == isolated) {
                return;
            }
        }
        let copies = if self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let (delay_us, message) = (self.random_delay_us(), message.clone());
            self.schedule_after(delay_us, move |sim| {
                let (boot, from) = (sim.nodes[to].boot, VmId(from as u32));
                sim.feed(to, boot, Event::Peer { from, message });
            });
        }
    }
}
