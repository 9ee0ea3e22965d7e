//! Chooses the server of a request and, for a long prompt, the engines that
//! read parts of it.
//!
//! Every choice is the one with the least expected loss. Losses are counted in
//! milliseconds of engine time of the requests that would be late, so that
//! requests of all kinds are weighed alike: what is lost on a late request is
//! the work that it stands for.

use notchwalk_core::Instant;

use crate::{
    board::{ServerLoad, NO_PAUSE_MS},
    engine_cost::EngineCost,
    Board, EngineParameters, Fleet, RequestFacts, ServerKey,
};

/// Part of a request's worth that is lost when its answer is late; on the
/// deployments known a late answer earns a quarter.
const LATE_LOSS: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought possible.
const SURELY_IN_TIME: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought certain.
const SURELY_LATE: f64 = 1.15;
/// Short requests on an engine up to which it is filled before the next one is
/// opened for them. Measured: see docs/BENCHES.md.
const SHORT_PER_ENGINE: f64 = 10.0;
/// Engines beyond those in use that are kept for short requests.
const SPARE_SHORT_ENGINES: usize = 1;
/// Added to the loss for an engine outside the short pool, in milliseconds of
/// engine time, for a short request.
const OUTSIDE_POOL_MS: f64 = 40.0;
/// Added to the loss for an engine of the short pool, for a part of a long
/// prompt.
const INSIDE_POOL_MS: f64 = 20.0;
/// Prompts at or below this many tokens are never spread. A part should keep
/// an engine busy for more than the message that starts it.
const SMALLEST_SPREAD_TOKENS: f64 = 12_000.0;
/// Least tokens of a part.
const SMALLEST_PART_TOKENS: f64 = 2_500.0;
/// Helpers of one request at most, as engines allow.
const MAX_HELPERS: usize = 16;
/// Mean time between deciding and the request's arrival at the engine, in
/// milliseconds.
const TRANSIT_MS: f64 = 3.0;
/// Events of a short answer over which its slot costs others time.
const USUAL_EVENTS: f64 = 25.0;
/// Tokens that a stream's event holds, roughly; one pass generates them.
const TOKENS_PER_EVENT: f64 = 51.0;
/// Part of an engine's memory that prompts may fill, leaving room for what is
/// generated.
const MEMORY_SHARE: f64 = 0.92;

/// A choice.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub server: ServerKey,
    pub helpers: Vec<ServerKey>,
    /// Reading at each of the servers, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first event, in milliseconds.
    pub first_ms: f64,
    /// Expected loss, in milliseconds of engine time.
    pub loss_ms: f64,
    /// Engine time of the request, in milliseconds.
    pub worth_ms: f64,
}

/// What a request needs, in the units of the cost model.
pub(crate) struct Demand {
    pub prompt: f64,
    pub answer: f64,
    pub objective_ms: f64,
    pub pause_ms: f64,
}

impl Demand {
    pub fn new(facts: &RequestFacts, now: Instant) -> Self {
        let waited = now.since(facts.arrived).as_secs_f64() * 1e3;
        let objective = facts.route.objective.as_secs_f64() * 1e3;
        let pause = facts.route.pause_objective;
        Self {
            prompt: f64::from(facts.prompt_tokens),
            answer: f64::from(facts.answer_tokens),
            objective_ms: (objective - waited).max(1.0),
            pause_ms: pause.map_or(NO_PAUSE_MS, |pause| pause.as_secs_f64() * 1e3),
        }
    }
}

/// One engine as placement sees it.
struct View {
    key: ServerKey,
    load: ServerLoad,
    /// A pass as it is now, without reading.
    pass_ms: f64,
    /// Until the engine looks at a new request.
    wait_ms: f64,
    /// Added to the loss for a server that often fails.
    distrust_ms: f64,
    in_short_pool: bool,
}

/// Places requests on the engines of one service.
pub(crate) struct EnginePlacement<'a> {
    pub parameters: &'a EngineParameters,
    pub fleet: &'a Fleet,
    pub board: &'a Board,
    pub now: Instant,
}

fn late_part(predicted_ms: f64, allowed_ms: f64) -> f64 {
    let ratio = predicted_ms / allowed_ms;
    LATE_LOSS * ((ratio - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME)).clamp(0.0, 1.0)
}

impl EnginePlacement<'_> {
    fn cost(&self) -> EngineCost<'_> {
        EngineCost::new(self.parameters)
    }

    /// Returns the engine time that a request stands for, in milliseconds.
    pub fn worth_ms(&self, demand: &Demand) -> f64 {
        let cost = self.cost();
        let events = (demand.answer / TOKENS_PER_EVENT).max(1.0);
        let slot_ms = self.parameters.steps_per_pass * self.parameters.step_ms
            / f64::from(self.parameters.slots.max(1));
        let writing = events * (cost.writer_ms(demand.prompt) + slot_ms);
        cost.read_ms(demand.prompt, demand.prompt) + writing
    }

    fn views(&self, service: &str, tried: &[ServerKey]) -> Vec<View> {
        let servers = self.fleet.of_service(service);
        let mut views = Vec::with_capacity(servers.len());
        let mut short = 0;
        for &key in servers {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            let load = self.board.load(key, self.now);
            short += load.short;
            if !server.takes_work(self.now) || tried.contains(&key) {
                continue;
            }
            let pass_ms = self.cost().pass_ms(load.writers, load.context_tokens);
            let wait_ms = match load.writers {
                0 => 0.0,
                _ => (pass_ms + load.reading_ms) / 2.0,
            };
            views.push(View {
                key,
                load,
                pass_ms,
                wait_ms,
                distrust_ms: 400.0 * server.failure_rate,
                in_short_pool: false,
            });
        }
        let pool = ((short + 1) as f64 / SHORT_PER_ENGINE).ceil() as usize + SPARE_SHORT_ENGINES;
        for view in views.iter_mut().take(pool) {
            view.in_short_pool = true;
        }
        views
    }

    /// Returns what is lost on the requests of an engine when `part_ms` more
    /// are read in its next pass.
    fn harm_ms(&self, view: &View, part_ms: f64) -> f64 {
        let before = view.pass_ms + view.load.reading_ms;
        let after = before + part_ms;
        let cost = self.cost();
        let mut harm = 0.0;
        for work in self.board.on(view.key) {
            let allowed = match work.phase {
                crate::WorkPhase::Writing => work.pause_ms,
                crate::WorkPhase::Reading => work.pause_ms * 1.2,
                _ => continue,
            };
            let more = late_part(after, allowed) - late_part(before, allowed);
            if more <= 0.0 {
                continue;
            }
            let worth = cost.read_ms(work.context_tokens, work.context_tokens)
                + USUAL_EVENTS * cost.writer_ms(work.context_tokens)
                + 80.0;
            harm += more * worth;
        }
        harm
    }

    fn first_ms(&self, view: &View, demand: &Demand, part_ms: f64) -> f64 {
        let load = &view.load;
        let writers = load.writers + load.readers + 1;
        let context = load.context_tokens + demand.prompt;
        let pass = self.cost().pass_ms(writers, context);
        // Beyond its slots an engine makes requests wait for a place.
        let excess = (load.occupied() + 1) as f64 - f64::from(self.parameters.slots);
        let queued = excess.max(0.0) / f64::from(self.parameters.slots) * USUAL_EVENTS * pass;
        TRANSIT_MS + view.wait_ms + load.reading_ms + part_ms + pass + queued
    }

    fn memory_fits(&self, view: &View, demand: &Demand) -> bool {
        let room = MEMORY_SHARE * self.parameters.memory_tokens as f64;
        view.load.context_tokens + demand.prompt + demand.answer <= room
    }

    /// Chooses servers for a request; `None` if there is no server at all.
    pub fn place(&self, service: &str, demand: &Demand, tried: &[ServerKey]) -> Option<Plan> {
        let views = self.views(service, tried);
        let whole = self.place_whole(&views, demand);
        if demand.prompt <= SMALLEST_SPREAD_TOKENS {
            return whole;
        }
        let spread = self.place_spread(views, demand);
        match (whole, spread) {
            (Some(whole), Some(spread)) if whole.loss_ms <= spread.loss_ms => Some(whole),
            (whole, spread) => spread.or(whole),
        }
    }

    fn place_whole(&self, views: &[View], demand: &Demand) -> Option<Plan> {
        let worth_ms = self.worth_ms(demand);
        let part_ms = self.cost().read_ms(demand.prompt, demand.prompt);
        let is_short = demand.prompt <= SMALLEST_SPREAD_TOKENS * 2.0;
        let mut best: Option<Plan> = None;
        for view in views {
            let first_ms = self.first_ms(view, demand, part_ms);
            let mut loss_ms = worth_ms * late_part(first_ms, demand.objective_ms);
            loss_ms += self.harm_ms(view, part_ms) + view.distrust_ms;
            loss_ms += match (is_short, view.in_short_pool) {
                (true, false) => OUTSIDE_POOL_MS,
                (false, true) => INSIDE_POOL_MS,
                _ => 0.0,
            };
            // Among engines that serve it in time, the one that does so soonest.
            loss_ms += first_ms / 20.0;
            if !self.memory_fits(view, demand) {
                loss_ms += worth_ms;
            }
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                server: view.key,
                helpers: Vec::new(),
                part_ms,
                first_ms,
                loss_ms,
                worth_ms,
            });
        }
        best
    }

    fn place_spread(&self, mut views: Vec<View>, demand: &Demand) -> Option<Plan> {
        let cost = self.cost();
        let worth_ms = self.worth_ms(demand);
        // Engines that a long part disturbs least come first.
        let trial_ms = cost.read_ms(demand.prompt / 6.0, demand.prompt);
        let mut order: Vec<(f64, View)> = Vec::with_capacity(views.len());
        for view in views.drain(..) {
            let pool = if view.in_short_pool { 150.0 } else { 0.0 };
            let ready = view.wait_ms + view.load.reading_ms;
            let key = self.harm_ms(&view, trial_ms) + ready + pool + view.distrust_ms;
            order.push((key, view));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let most = (demand.prompt / SMALLEST_PART_TOKENS) as usize;
        let most = most.min(MAX_HELPERS + 1).min(order.len());
        let mut best: Option<Plan> = None;
        for k in 2..=most {
            let part_ms = cost.read_ms(demand.prompt / k as f64, demand.prompt);
            let mut loss_ms = 0.0;
            let mut first_ms: f64 = 0.0;
            for (_, view) in &order[..k] {
                let pool = if view.in_short_pool {
                    INSIDE_POOL_MS
                } else {
                    0.0
                };
                loss_ms += self.harm_ms(view, part_ms) + pool + view.distrust_ms;
                first_ms = first_ms.max(self.first_ms(view, demand, part_ms));
            }
            loss_ms += worth_ms * late_part(first_ms, demand.objective_ms);
            loss_ms += first_ms / 20.0;
            // Each engine more is one more that can fail, and a pass more.
            loss_ms += 2.0 * k as f64;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            let Some(first) = self.first_of(&order[..k], demand) else {
                continue;
            };
            let keys = order[..k].iter().map(|(_, view)| view.key);
            best = Some(Plan {
                server: first,
                helpers: keys.filter(|&key| key != first).collect(),
                part_ms,
                first_ms,
                loss_ms,
                worth_ms,
            });
        }
        best
    }

    /// Chooses the engine that generates: one with memory for the whole prompt
    /// and the least other work that its passes wait for.
    fn first_of(&self, order: &[(f64, View)], demand: &Demand) -> Option<ServerKey> {
        let fitting = order
            .iter()
            .filter(|(_, view)| self.memory_fits(view, demand));
        let least = fitting.min_by(|(_, a), (_, b)| {
            let a = (a.in_short_pool, a.load.context_tokens);
            let b = (b.in_short_pool, b.load.context_tokens);
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        least.map(|(_, view)| view.key)
    }
}

/// Chooses the server of a plain service with the fewest calls for its slots,
/// one of the near failure domain if all else is equal.
pub(crate) fn place_call(
    fleet: &Fleet,
    board: &Board,
    service: &str,
    near: &str,
    tried: &[ServerKey],
    now: Instant,
) -> Option<Plan> {
    /// Added to the load of a server for its failure rate of 1.
    const DISTRUST: f64 = 3.0;
    /// Added to the load of a server in another failure domain.
    const FAR: f64 = 0.05;
    let mut best: Option<(f64, ServerKey)> = None;
    for &key in fleet.of_service(service) {
        let Some(server) = fleet.get(key) else {
            continue;
        };
        if !server.takes_work(now) || tried.contains(&key) {
            continue;
        }
        let load = board.load(key, now);
        let far = if server.record.failure_domain == near {
            0.0
        } else {
            FAR
        };
        let used = load.occupied() as f64 / f64::from(server.record.slots.max(1));
        let cost = used + DISTRUST * server.failure_rate + far;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, server)| Plan {
        server,
        helpers: Vec::new(),
        part_ms: 0.0,
        first_ms: 0.0,
        loss_ms: 0.0,
        worth_ms: 0.0,
    })
}
