//! Memory set aside on engines for prompts that exceed one engine.
//!
//! A reservation lasts [`HOLD`] and is renewed while its request lives, so
//! that those of an entry that died lapse by themselves. Reservations are
//! placed all or none, in the order of the servers' addresses, and given back
//! at once when the request ended. An order whose answer was lost may be
//! carried out late, so giving back is repeated for a while.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;

use crate::{RequestKey, ReservationOrder};

/// How long a reservation holds without renewal. A dead entry's memory must be
/// free four seconds after its request ended.
pub(crate) const HOLD: Duration = Duration::from_millis(3_400);
/// How often a reservation in use is renewed: one renewal may get lost.
const RENEW_EVERY: Duration = Duration::from_millis(1_500);
/// How often giving back is repeated.
const REPEAT_EVERY: Duration = Duration::from_millis(1_500);
/// For how long giving back is repeated when an order's answer was lost: such
/// an order can be carried out up to twelve seconds later.
const REPEAT_FOR: Duration = Duration::from_secs(13);

#[derive(Debug)]
struct Held {
    request: RequestKey,
    order: ReservationOrder,
    renew_at: Instant,
    /// When it lapses on the engine, unless it is renewed.
    lapses_at: Instant,
    /// Whether an order for it went unanswered: it may be carried out late.
    unanswered: bool,
}

#[derive(Debug)]
struct GivenBack {
    order: ReservationOrder,
    again_at: Instant,
    until: Instant,
}

/// The reservations of this entry.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    held: Vec<Held>,
    given_back: Vec<GivenBack>,
}

impl Reservations {
    /// Keeps reservations alive from now on.
    pub fn hold(&mut self, request: RequestKey, orders: &[ReservationOrder], now: Instant) {
        for order in orders {
            self.held.push(Held {
                request,
                order: order.clone(),
                renew_at: now.after(RENEW_EVERY),
                lapses_at: now.after(HOLD),
                unanswered: false,
            });
        }
    }

    /// Notes that an order went unanswered. A giving back is repeated from now
    /// on; one that sets aside or renews may be carried out after its end.
    pub fn note_unanswered(&mut self, order: &ReservationOrder, now: Instant) {
        if order.tokens.is_none() {
            self.repeat(order.clone(), now);
            return;
        }
        let same = |held: &&mut Held| held.order.addr == order.addr && held.order.id == order.id;
        match self.held.iter_mut().find(same) {
            Some(held) => held.unanswered = true,
            // Its request ended meanwhile.
            None => {
                let tokens = None;
                self.repeat(
                    ReservationOrder {
                        tokens,
                        ..order.clone()
                    },
                    now,
                );
            }
        }
    }

    fn repeat(&mut self, order: ReservationOrder, now: Instant) {
        let known = self.given_back.iter();
        let mut known = known.filter(|given| given.order == order);
        if known.next().is_some() {
            return;
        }
        self.given_back.push(GivenBack {
            order,
            again_at: now.after(REPEAT_EVERY),
            until: now.after(REPEAT_FOR),
        });
    }

    /// Ends the reservations of a request; returns the orders that do.
    pub fn give_back(&mut self, request: RequestKey, now: Instant) -> Vec<ReservationOrder> {
        let (ended, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| held.request == request);
        self.held = held;
        let mut orders = Vec::new();
        for Held {
            order, unanswered, ..
        } in ended
        {
            let order = ReservationOrder {
                tokens: None,
                ..order
            };
            if unanswered {
                self.repeat(order.clone(), now);
            }
            orders.push(order);
        }
        orders
    }

    /// Forgets what was set aside on an engine that started again: a renewal would
    /// set memory aside there for a request that is not on it.
    pub fn forget_at(&mut self, addr: SocketAddr) {
        self.held.retain(|held| held.order.addr != addr);
    }

    /// Returns the orders that are due: renewals and repeated givings back.
    pub fn due(&mut self, now: Instant) -> Vec<ReservationOrder> {
        let mut due = Vec::new();
        for held in &mut self.held {
            // After a suspension or a freeze the engine has freed the memory and cut
            // the request; a renewal would set it aside anew, for nobody.
            if now < held.renew_at || now >= held.lapses_at {
                continue;
            }
            held.renew_at = now.after(RENEW_EVERY);
            held.lapses_at = now.after(HOLD);
            due.push(held.order.clone());
        }
        for given in &mut self.given_back {
            if now < given.again_at {
                continue;
            }
            given.again_at = now.after(REPEAT_EVERY);
            due.push(given.order.clone());
        }
        self.given_back.retain(|given| now < given.until);
        due
    }

    /// Returns all reservations in use.
    pub fn count(&self) -> usize {
        self.held.len()
    }
}
