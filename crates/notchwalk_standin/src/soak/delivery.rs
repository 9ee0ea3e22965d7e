//! What lies between nodes and fakes: streams, cancels, calls, claims and the
//! links between nodes, each with its own ways to fail.

use notchwalk_core::{Attempt, RequestId, ServerId, VmId};
use notchwalk_decide::{AttemptEnd, ClaimAnswer, ClaimRow, Dispatch, Event, RequestKey};
use notchwalk_wire::PeerMessage;
use rand::Rng;

use super::{
    callers::Wanted,
    world::{Mechanism, World},
};

impl World {
    /// Tells whether a stream's other end has been closed.
    pub(super) fn is_closed(&self, id: RequestId, attempt: Attempt) -> bool {
        self.closed.contains(&(id, Attempt(u16::MAX)))
            || self.latest.get(&id).is_some_and(|latest| *latest > attempt)
    }

    pub(super) fn note_ran(&mut self, i: usize, boot: u64, key: RequestKey, id: RequestId) {
        if self.called_not_run.contains(&id) {
            self.violated(format!("{id} was called not run and then ran"));
        }
        if self.nodes[i].boot == boot {
            if let Some(open) = self.nodes[i].requests.open.get_mut(&key) {
                open.ran = true;
            }
        }
    }

    pub(super) fn ended(
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

    pub(super) fn accept(
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
        if self.engines[engine].dead {
            return self.ended(i, boot, d.request, d.attempt, AttemptEnd::NotSent);
        }
        if self.engines[engine].hung {
            return;
        }
        if self.chance(3) {
            let code = "overloaded".to_owned();
            return self.ended(i, boot, d.request, d.attempt, AttemptEnd::Refused { code });
        }
        self.note_ran(i, boot, d.request, id);
        let now = self.now_us;
        self.engines[engine].accept(id, d.attempt, 1_000, now);
        self.stream(i, boot, id, d, d.offset, max_tokens);
    }

    /// Makes the next frame of a stream.
    pub(super) fn stream(
        &mut self,
        i: usize,
        boot: u64,
        id: RequestId,
        d: Dispatch,
        at: u32,
        max: u32,
    ) {
        let gap = self.rng.random_range(2_000..30_000);
        self.after(gap, move |w| {
            let engine = d.server.0 as usize;
            if !w.engines[engine].works_on(id, d.attempt) {
                return w.ended(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            if w.is_closed(id, d.attempt) || w.nodes[i].boot != boot {
                // The engine notices a closed connection most of the time.
                if w.chance(70) {
                    w.engines[engine].cancel(id, d.attempt);
                }
                return;
            }
            if w.engines[engine].hung {
                return w.stream(i, boot, id, d, at, max);
            }
            if w.chance(1) {
                // The connection breaks; the engine does not notice.
                return w.ended(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            let count = w.rng.random_range(1..=8).min(max - at);
            w.frame(i, boot, id, d, at, count);
            if at + count < max {
                return w.stream(i, boot, id, d, at + count, max);
            }
            w.engines[engine].held.remove(&id);
            let end = AttemptEnd::Complete {
                prompt_tokens: 100,
                cached_tokens: 0,
                completion_tokens: max,
            };
            w.ended(i, boot, d.request, d.attempt, end);
        });
    }

    pub(super) fn frame(
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
        if self.engines[engine].crossed {
            let other = RequestId {
                seq: id.seq + 1,
                ..id
            };
            self.feed(i, boot, frame(other, d.attempt, offset));
            self.feed(i, boot, frame(id, Attempt(d.attempt.0 - 1), offset));
        }
        self.feed(i, boot, frame(id, d.attempt, offset));
        if self.chance(2) {
            // The same frame comes again.
            self.feed(i, boot, frame(id, d.attempt, offset));
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn segment(
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
        if self.engines[engine].dead {
            return self.ended(i, boot, request, attempt, AttemptEnd::NotSent);
        }
        self.note_ran(i, boot, request, id);
        let now = self.now_us;
        self.engines[engine].accept(id, attempt, tokens, now);
        let took = self.rng.random_range(5_000..200_000);
        self.after(took, move |w| {
            let works = w.engines[engine].works_on(id, attempt) && !w.chance(5);
            match works {
                true => w.feed(i, boot, Event::SegmentReady { request, attempt }),
                false => w.ended(i, boot, request, attempt, AttemptEnd::Broken),
            }
        });
    }

    pub(super) fn cancel(
        &mut self,
        i: usize,
        boot: u64,
        server: ServerId,
        id: RequestId,
        up_to: Attempt,
    ) {
        let lost = self.chance(15);
        let engine = &mut self.engines[server.0 as usize];
        let reached = !engine.hung && !engine.dead && !lost;
        if reached {
            engine.cancel(id, up_to);
        }
        let confirmed = reached && !self.chance(5);
        let event = Event::CancelEnded {
            server,
            id,
            confirmed,
        };
        let delay = self.delay();
        self.after(delay, move |w| w.feed(i, boot, event));
    }

    pub(super) fn call(&mut self, i: usize, boot: u64, id: RequestId, d: Dispatch) {
        if self.is_closed(id, d.attempt) {
            return;
        }
        if self.chance(6) {
            return self.ended(i, boot, d.request, d.attempt, AttemptEnd::NotSent);
        }
        self.note_ran(i, boot, d.request, id);
        let open = self.nodes[i].requests.open.get(&d.request);
        let idempotency = open.filter(|o| o.id == id).and_then(|o| match &o.wanted {
            Wanted::Call(key) => key.clone(),
            Wanted::Answer(_) => None,
        });
        let workspace_key = idempotency.as_ref().map(|_| self.claim_of(id));
        let named = match self.lacks(Mechanism::Claims) {
            true => idempotency,
            false => workspace_key.clone().flatten(),
        };
        let name = named.unwrap_or_else(|| id.to_string());
        let runs = self.runs.entry(name.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violated(format!("call {name} ran twice"));
        }
        let took = self.rng.random_range(1_000..400_000);
        self.after(took, move |w| {
            if w.chance(8) {
                return w.ended(i, boot, d.request, d.attempt, AttemptEnd::Broken);
            }
            if let (Some(Some(key)), false) = (workspace_key, w.table.down) {
                w.table.finish(&key, &id.to_string());
            }
            let end = AttemptEnd::Complete {
                prompt_tokens: 0,
                cached_tokens: 0,
                completion_tokens: 0,
            };
            w.ended(i, boot, d.request, d.attempt, end);
        });
    }

    /// Returns the key of the claim that a request holds.
    pub(super) fn claim_of(&self, id: RequestId) -> Option<String> {
        let token = id.to_string();
        let mut rows = self.table.rows.iter();
        rows.find(|(_, row)| row.token == token)
            .map(|(key, _)| key.clone())
    }

    pub(super) fn claim_insert(
        &mut self,
        i: usize,
        boot: u64,
        request: RequestKey,
        key: String,
        token: String,
        fingerprint: String,
    ) {
        if self.lacks(Mechanism::Claims) {
            let own = ClaimRow {
                token,
                done: false,
                fingerprint,
            };
            return self.answer_claim(i, boot, request, ClaimAnswer::Row(own));
        }
        let delay = self.delay();
        self.after(delay, move |w| {
            if w.table.down {
                let late = w.chance(10);
                if late {
                    // The write takes effect long after it was given up.
                    let wait = w.rng.random_range(500_000..4_000_000);
                    w.after(wait, move |w| w.table.insert(&key, &token, &fingerprint));
                }
                return w.answer_claim(i, boot, request, ClaimAnswer::NoAnswer);
            }
            w.table.insert(&key, &token, &fingerprint);
            let answer = match w.chance(15) {
                true => ClaimAnswer::NoAnswer,
                false => w.table.read(&key),
            };
            w.answer_claim(i, boot, request, answer);
        });
    }

    pub(super) fn answer_claim(
        &mut self,
        i: usize,
        boot: u64,
        request: RequestKey,
        answer: ClaimAnswer,
    ) {
        let delay = self.delay();
        self.after(delay, move |w| {
            w.feed(i, boot, Event::Claim { request, answer })
        });
    }

    pub(super) fn send_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        if to >= self.nodes.len() || self.chance(5) {
            return;
        }
        if let Some(alone) = self.partition_at {
            if (from == alone) != (to == alone) {
                return;
            }
        }
        let copies = if self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let (delay, message) = (self.delay(), message.clone());
            self.after(delay, move |w| {
                let (boot, from) = (w.nodes[to].boot, VmId(from as u32));
                w.feed(to, boot, Event::Peer { from, message });
            });
        }
    }
}
