//! Carries out the effects of nodes: sends to engines and services, claims, and the ends of requests.

use notchwalk_core::{Attempt, RequestId};
use notchwalk_decide::{ClaimResponse, Dispatch, Effect, Event, RequestKey};
use rand::Rng;

use super::{
    callers::{OpenRequest, RequestKind},
    simulation::{Mechanism, Simulation, DEADLINE_SLACK_US},
};

/// The time within which nodes must stop sending new requests to a draining engine.
const DRAIN_NOTICE_LIMIT_US: u64 = 3_000_000;

impl Simulation {
    pub(super) fn apply_effect(
        &mut self,
        i: usize,
        boot: u64,
        effect: Effect,
        frame: Option<(RequestId, u32, u32)>,
    ) {
        match effect {
            Effect::Admitted { request, id, .. } => self.on_admitted(i, request, id),
            Effect::Refuse { .. } => self.nodes[i].pending_arrival = None,
            Effect::Dispatch(dispatch) => self.on_dispatch(i, boot, dispatch),
            Effect::Segment(order) => {
                let Some(open) = self.nodes[i].requests.open.get(&order.request) else {
                    return;
                };
                let (id, attempt) = (open.id, order.attempt);
                self.latest_attempts.insert(id, attempt);
                let tokens = order.to - order.from;
                let key = order.request;
                let delay_us = self.random_delay_us();
                let engine = order.server.0 as usize;
                self.schedule_after(delay_us, move |sim| {
                    sim.start_segment(i, boot, engine, key, id, attempt, tokens)
                });
            }
            Effect::Deliver { request, skip } => {
                let Some(frame) = frame else {
                    return self
                        .record_violation("tokens were delivered without a frame".to_owned());
                };
                let delivered = self.nodes[i].requests.deliver(request, frame, skip);
                if let Err(violation) = delivered {
                    self.record_violation(violation);
                }
            }
            Effect::Finish { request, result } => self.on_finished(i, request, &result),
            Effect::FinishStored { request, .. } => {
                self.nodes[i].requests.open.remove(&request);
                self.report.completed += 1;
            }
            Effect::Cancel { server, id, .. } if self.is_disabled(Mechanism::Cancels) => {
                let confirmed = true;
                let event = Event::CancelEnded {
                    server,
                    id,
                    confirmed,
                };
                self.schedule_after(1_000, move |sim| sim.feed(i, boot, event));
            }
            Effect::Cancel { server, id, up_to } => {
                let delay_us = self.random_delay_us();
                self.schedule_after(delay_us, move |sim| {
                    sim.cancel_on_engine(i, boot, server, id, up_to)
                });
            }
            Effect::QueryAllocations(server) => {
                let engine = &self.engines[server.0 as usize];
                if engine.crashed || engine.hung {
                    return;
                }
                let allocations = engine.allocations(self.now_us);
                let delay_us = self.random_delay_us();
                self.schedule_after(delay_us, move |sim| {
                    sim.feed(
                        i,
                        boot,
                        Event::Allocations {
                            server,
                            allocations,
                        },
                    )
                });
            }
            Effect::ClaimInsert {
                request,
                key,
                token,
                fingerprint,
            } => self.insert_claim(i, boot, request, key, token, fingerprint),
            Effect::ClaimRead { request, key } => {
                let delay_us = self.random_delay_us();
                self.schedule_after(delay_us, move |sim| {
                    let lost = sim.claims.unavailable || sim.chance(5);
                    let response = match lost {
                        true => ClaimResponse::Unanswered,
                        false => sim.claims.read(&key),
                    };
                    sim.send_claim_response(i, boot, request, response);
                });
            }
            Effect::ClaimRelease { key, token, .. } => {
                let delay_us = self.random_delay_us();
                self.schedule_after(delay_us, move |sim| {
                    let confirmed = !sim.claims.unavailable && !sim.chance(10);
                    if !sim.claims.unavailable {
                        sim.claims.release(&key, &token);
                    }
                    sim.feed(i, boot, Event::ClaimReleased { key, confirmed });
                });
            }
            Effect::Peer { to, message } => self.send_peer(i, to.0 as usize, *message),
            // Leases and orders to load versions and adapters are not simulated.
            Effect::LeaseRead | Effect::LeaseWrite { .. } | Effect::Order { .. } => {}
            Effect::Log(_) | Effect::Stop => {}
        }
    }

    fn on_admitted(&mut self, i: usize, request: RequestKey, id: RequestId) {
        let Some((kind, deadline_us)) = self.nodes[i].pending_arrival.take() else {
            return self.record_violation(format!("{id}: admitted without a submitted request"));
        };
        self.report.admitted += 1;
        let open = OpenRequest {
            id,
            kind,
            deadline_us,
            received: 0,
            ran: false,
        };
        self.nodes[i].requests.open.insert(request, open);
        if self.chance(4) {
            let (boot, wait_us) = (self.nodes[i].boot, self.rng.random_range(0..2_000_000));
            self.schedule_after(wait_us, move |sim| {
                sim.feed(i, boot, Event::CallerDisconnected(request))
            });
        }
    }

    fn on_finished(
        &mut self,
        i: usize,
        request: RequestKey,
        result: &Result<notchwalk_decide::Completion, notchwalk_decide::Failure>,
    ) {
        let slot = &mut self.nodes[i];
        // A suspended node cannot meet deadlines; it finishes requests after it resumes.
        let slack_us = DEADLINE_SLACK_US
            + slot
                .suspended_until_us
                .saturating_sub(self.now_us - DEADLINE_SLACK_US);
        let recently_resumed = self.now_us < slot.suspended_until_us + 2 * DEADLINE_SLACK_US;
        let slack_us = if recently_resumed {
            u64::MAX / 4
        } else {
            slack_us
        };
        match slot.requests.finish(request, result, self.now_us, slack_us) {
            Ok(open) => {
                if let Err(failure) = result {
                    self.report.failed += 1;
                    if failure.outcome == notchwalk_wire::ExecutionOutcome::NotRun {
                        self.reported_not_run.insert(open.id);
                    }
                } else {
                    self.report.completed += 1;
                }
                self.closed.insert((open.id, Attempt(u16::MAX)));
            }
            Err(violation) => self.record_violation(violation),
        }
    }

    fn on_dispatch(&mut self, i: usize, boot: u64, dispatch: Dispatch) {
        let Some(open) = self.nodes[i].requests.open.get(&dispatch.request) else {
            return self.record_violation("work was dispatched for a finished request".to_owned());
        };
        let (id, kind) = (open.id, open.kind.clone());
        self.latest_attempts.insert(id, dispatch.attempt);
        let delay_us = self.random_delay_us();
        let RequestKind::Completion(max_tokens) = kind else {
            self.schedule_after(delay_us, move |sim| sim.start_call(i, boot, id, dispatch));
            return;
        };
        let engine = dispatch.server.0 as usize;
        let resumed_at_us = self.nodes[i].suspended_until_us;
        if let Some(since) = self.engines[engine].draining_since_us {
            let since_notice_us = self.now_us.saturating_sub(since.max(resumed_at_us));
            if since_notice_us > DRAIN_NOTICE_LIMIT_US {
                self.record_violation(format!("{id}: dispatched to draining engine {engine}"));
            }
        }
        self.schedule_after(delay_us, move |sim| {
            sim.start_generation(i, boot, id, dispatch, max_tokens)
        });
    }
}
