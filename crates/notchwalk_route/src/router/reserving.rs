//! Reserves engine memory before a request is sent and releases it afterwards.

use notchwalk_core::Instant;

use super::Router;
use crate::{
    reservations::RESERVATION_TTL, wait_queue::QueuedRequest, Assignment, Effect,
    FailedReservation, PrefillWorker, RequestKey, ReservationOrder, ServerKey,
};

impl Router {
    /// Reserves memory on the engines of an assignment before it is sent.
    pub(super) fn reserve(
        &mut self,
        key: RequestKey,
        mut assignment: Assignment,
        tokens: u32,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.reservation_number += 1;
        let id = format!(
            "{}-{}-{}",
            self.config.name, self.config.seed, self.reservation_number
        );
        // The decoding engine prefills a segment too.
        let decoder = PrefillWorker {
            addr: assignment.addr,
            reservation: None,
        };
        assignment.prefill_workers.push(decoder);
        let mut orders = Vec::with_capacity(assignment.prefill_workers.len());
        for worker in &mut assignment.prefill_workers {
            worker.reservation = Some(id.clone());
            orders.push(ReservationOrder {
                addr: worker.addr,
                id: id.clone(),
                tokens: Some(tokens),
                ttl: RESERVATION_TTL,
            });
        }
        self.reservations.add(key, &orders, now);
        for order in &orders {
            self.count_order(order, now);
        }
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.pending_assignment = Some(assignment);
            request.holds_reservations = true;
        }
        out.push(Effect::Reserve {
            request: key,
            orders,
        });
    }

    pub(super) fn handle_reserved(
        &mut self,
        key: RequestKey,
        failed: &[FailedReservation],
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get(key).and_then(Option::as_ref);
        let is_in_time = request.is_some_and(|request| self.can_end_before_exit(request, now));
        let Some(Some(request)) = self.requests.get_mut(key) else {
            // The caller disconnected, and the memory was released.
            return;
        };
        let Some(assignment) = request.pending_assignment.take() else {
            return;
        };
        // A server may have announced draining or requested a backoff in the meantime.
        let fleet = &self.fleet;
        let servers = request.prefill_workers.iter().chain(&request.server);
        let is_ready = |&key: &ServerKey| {
            fleet
                .get(key)
                .is_some_and(|server| server.accepts_requests(now))
        };
        if failed.is_empty() && is_in_time && servers.into_iter().all(is_ready) {
            return self.send(key, assignment, now, out);
        }
        // No server received the request. Retry with other engines.
        for &server in request.prefill_workers.iter().chain(&request.server) {
            self.fleet.roll_back_message(server, now);
        }
        request.sends -= 1;
        request
            .attempted
            .retain(|server| Some(*server) != request.server);
        for engine in failed {
            let is_wanted = |service: &str| service == request.service;
            let Some(server) = self.fleet.by_addr_and_service(engine.addr, is_wanted) else {
                continue;
            };
            request.attempted.push(server);
            if engine.unreachable {
                self.fleet.record_unreachable(server, now);
            }
        }
        self.release_reservations(key, now, out);
        self.remove_from_servers(key);
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let placement = self.engine_placement(&request.service, now);
        let demand = self.demand(request, now);
        let prefill_ms = placement.map_or(0.0, |placement| placement.prefill_ms(&demand));
        self.queue.push(QueuedRequest {
            request: key,
            workspace: request.facts.workspace,
            prefill_ms,
        });
    }

    /// Releases the memory of requests that have not started decoding on a server that was
    /// deregistered. If the server is unresponsive but keeps its connections open, the
    /// reservations would otherwise be renewed until the deadline of the request.
    pub(super) fn release_unstarted_reservations(
        &mut self,
        server: ServerKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let requests = self.requests.iter();
        let requests = requests.filter_map(|(key, request)| Some((key, request.as_ref()?)));
        let unstarted = requests.filter(|(_, request)| {
            request.holds_reservations && !request.started && request.server == Some(server)
        });
        let unstarted: Vec<RequestKey> = unstarted.map(|(key, _)| key).collect();
        for key in unstarted {
            self.release_reservations(key, now, out);
        }
    }

    pub(super) fn release_reservations(
        &mut self,
        key: RequestKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        for order in self.reservations.release(key, now) {
            self.send_order(order, now, out);
        }
    }

    /// Sends a reservation order, regardless of the engine's rate limit. A missed release
    /// would block memory, and a missed renewal would abort the request.
    pub(super) fn send_order(
        &mut self,
        order: ReservationOrder,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.count_order(&order, now);
        out.push(Effect::SendReservationOrder(order));
    }

    fn count_order(&mut self, order: &ReservationOrder, now: Instant) {
        if let Some(engine) = self.engine_at(order.addr) {
            self.fleet.count_message(engine, now);
        }
    }
}
