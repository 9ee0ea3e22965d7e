//! Memory set aside before a request is sent, and given back after it.

use notchwalk_core::Instant;

use super::Router;
use crate::{
    reservations::HOLD, wait_queue::Waiting, Assignment, Effect, FailedReservation, Helper,
    RequestKey, ReservationOrder, ServerKey,
};

impl Router {
    /// Sets memory aside on the engines of an assignment before it is sent.
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
        // The engine that generates holds a part too.
        let own = Helper {
            addr: assignment.addr,
            reservation: None,
        };
        assignment.helpers.push(own);
        let mut orders = Vec::with_capacity(assignment.helpers.len());
        for helper in &mut assignment.helpers {
            helper.reservation = Some(id.clone());
            orders.push(ReservationOrder {
                addr: helper.addr,
                id: id.clone(),
                tokens: Some(tokens),
                hold: HOLD,
            });
        }
        self.reservations.hold(key, &orders, now);
        for order in &orders {
            self.count_order(order, now);
        }
        if let Some(Some(request)) = self.requests.get_mut(key) {
            request.reserving = Some(assignment);
            request.holds = true;
        }
        out.push(Effect::Reserve {
            request: key,
            orders,
        });
    }

    pub(super) fn reserved(
        &mut self,
        key: RequestKey,
        failed: &[FailedReservation],
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let Some(Some(request)) = self.requests.get_mut(key) else {
            // Its caller left meanwhile and the memory was given back.
            return;
        };
        let Some(assignment) = request.reserving.take() else {
            return;
        };
        // A server may have said that it leaves, or that it wants nothing, while memory
        // was being set aside.
        let fleet = &self.fleet;
        let servers = request.helpers.iter().chain(&request.at);
        let ready = |&key: &ServerKey| fleet.get(key).is_some_and(|server| server.wants_work(now));
        if failed.is_empty() && servers.into_iter().all(ready) {
            out.push(Effect::Send {
                request: key,
                to: assignment,
            });
            return;
        }
        // No server saw the request; another set of engines may do.
        for &server in request.helpers.iter().chain(&request.at) {
            self.fleet.note_unsent(server, now);
        }
        request.sends -= 1;
        request.tried.retain(|server| Some(*server) != request.at);
        for engine in failed {
            let Some(server) = self.fleet.by_addr(engine.addr) else {
                continue;
            };
            request.tried.push(server);
            if engine.unreachable {
                self.fleet.note_unreachable(server, now);
            }
        }
        self.give_back(key, now, out);
        self.lift(key);
        let Some(Some(request)) = self.requests.get(key) else {
            return;
        };
        let placement = self.engine_placement(&request.service, now);
        let demand = self.demand(request, now);
        let read_ms = placement.map_or(0.0, |placement| placement.read_ms(&demand));
        self.waiting.push(Waiting {
            request: key,
            workspace: request.facts.workspace,
            read_ms,
        });
    }

    /// Gives the memory of requests back that had not begun to generate on a server that
    /// went off the record. One that fell silent for good is not noticed otherwise while
    /// no other engines are free: memory stayed set aside for 7 s after its request's end,
    /// where 4 s are allowed. Where the server lives, it cuts the request, which goes on
    /// elsewhere.
    pub(super) fn give_back_unbegun(
        &mut self,
        server: ServerKey,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let requests = self.requests.iter();
        let requests = requests.filter_map(|(key, request)| Some((key, request.as_ref()?)));
        let unbegun = requests
            .filter(|(_, request)| request.holds && !request.started && request.at == Some(server));
        let unbegun: Vec<RequestKey> = unbegun.map(|(key, _)| key).collect();
        for key in unbegun {
            self.give_back(key, now, out);
        }
    }

    pub(super) fn give_back(&mut self, key: RequestKey, now: Instant, out: &mut Vec<Effect>) {
        for order in self.reservations.give_back(key, now) {
            self.order(order, now, out);
        }
    }

    /// Has an order sent. One that gives memory back goes whatever the engine's limit,
    /// as a renewal does: what others wait for costs more.
    pub(super) fn order(&mut self, order: ReservationOrder, now: Instant, out: &mut Vec<Effect>) {
        self.count_order(&order, now);
        out.push(Effect::Order(order));
    }

    fn count_order(&mut self, order: &ReservationOrder, now: Instant) {
        if let Some(engine) = self.fleet.by_addr(order.addr) {
            self.fleet.note_message(engine, now);
        }
    }
}
