//! Memory reservations on engines for prompts that exceed one engine.
//!
//! A reservation expires after [`RESERVATION_TTL`] unless it is renewed, which frees the
//! memory of a crashed node. A request reserves on all of its engines or on none, in the
//! order of their addresses, and releases its reservations when it ends. An order without a
//! response may still be carried out late, so its release is repeated for a while.

use std::{net::SocketAddr, time::Duration};

use notchwalk_core::Instant;

use crate::{RequestKey, ReservationOrder};

/// Lifetime of a reservation without renewal. The memory of a crashed node must be free
/// within four seconds.
pub(crate) const RESERVATION_TTL: Duration = Duration::from_millis(3_400);
/// Interval between renewals. One renewal may be lost without the reservation expiring.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between repeated releases.
const RELEASE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a release is repeated. An order without a response may be carried out up to
/// 12 s later.
const RELEASE_REPEAT_TIME: Duration = Duration::from_secs(13);

#[derive(Debug)]
struct Reservation {
    request: RequestKey,
    order: ReservationOrder,
    renew_at: Instant,
    /// When the engine releases the memory unless the reservation is renewed.
    expires_at: Instant,
    /// Whether an order for this reservation had no response and may be carried out late.
    is_unanswered: bool,
}

#[derive(Debug)]
struct PendingRelease {
    order: ReservationOrder,
    repeat_at: Instant,
    until: Instant,
}

/// The reservations of this node.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    active: Vec<Reservation>,
    releases: Vec<PendingRelease>,
}

impl Reservations {
    /// Adds the reservations of a request. [`Self::due`] returns their renewals.
    pub fn add(&mut self, request: RequestKey, orders: &[ReservationOrder], now: Instant) {
        for order in orders {
            self.active.push(Reservation {
                request,
                order: order.clone(),
                renew_at: now.after(RENEWAL_INTERVAL),
                expires_at: now.after(RESERVATION_TTL),
                is_unanswered: false,
            });
        }
    }

    /// Records that an order had no response. A release is repeated. A reservation or
    /// renewal may still be carried out after its request has ended, so the release at the
    /// end of the request is repeated too.
    pub fn record_unanswered(&mut self, order: &ReservationOrder, now: Instant) {
        if order.tokens.is_none() {
            self.repeat_release(order.clone(), now);
            return;
        }
        let is_same = |reservation: &&mut Reservation| {
            reservation.order.addr == order.addr && reservation.order.id == order.id
        };
        match self.active.iter_mut().find(is_same) {
            Some(reservation) => reservation.is_unanswered = true,
            // Its request has ended.
            None => {
                let tokens = None;
                self.repeat_release(
                    ReservationOrder {
                        tokens,
                        ..order.clone()
                    },
                    now,
                );
            }
        }
    }

    fn repeat_release(&mut self, order: ReservationOrder, now: Instant) {
        let pending = self.releases.iter();
        let mut pending = pending.filter(|release| release.order == order);
        if pending.next().is_some() {
            return;
        }
        self.releases.push(PendingRelease {
            order,
            repeat_at: now.after(RELEASE_INTERVAL),
            until: now.after(RELEASE_REPEAT_TIME),
        });
    }

    /// Ends the reservations of a request; returns the orders that release them.
    pub fn release(&mut self, request: RequestKey, now: Instant) -> Vec<ReservationOrder> {
        let (ended, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|reservation| reservation.request == request);
        self.active = active;
        let mut orders = Vec::new();
        for Reservation {
            order,
            is_unanswered,
            ..
        } in ended
        {
            let order = ReservationOrder {
                tokens: None,
                ..order
            };
            if is_unanswered {
                self.repeat_release(order.clone(), now);
            }
            orders.push(order);
        }
        orders
    }

    /// Removes the reservations on a restarted engine: a renewal would reserve memory there
    /// for a request that no longer uses it.
    pub fn remove_at(&mut self, addr: SocketAddr) {
        self.active
            .retain(|reservation| reservation.order.addr != addr);
    }

    /// Returns the orders that are due: renewals and repeated releases.
    pub fn due(&mut self, now: Instant) -> Vec<ReservationOrder> {
        let mut due = Vec::new();
        for reservation in &mut self.active {
            // If this node was suspended past the expiry, the engine has released the memory
            // and aborted the request. A renewal would reserve it again for no request.
            if now < reservation.renew_at || now >= reservation.expires_at {
                continue;
            }
            reservation.renew_at = now.after(RENEWAL_INTERVAL);
            reservation.expires_at = now.after(RESERVATION_TTL);
            due.push(reservation.order.clone());
        }
        for release in &mut self.releases {
            if now < release.repeat_at {
                continue;
            }
            release.repeat_at = now.after(RELEASE_INTERVAL);
            due.push(release.order.clone());
        }
        self.releases.retain(|release| now < release.until);
        due
    }

    /// Returns the number of active reservations.
    pub fn count(&self) -> usize {
        self.active.len()
    }
}
