//! Chooses the server of a request and, for a long prompt, the engines that
//! read parts of it.
//!
//! Every choice is the one with the least expected loss. Losses are counted in
//! milliseconds of engine time of the requests that would be late, so that
//! requests of all kinds are weighed alike: what is lost on a late request is
//! the work that it stands for.

use notchwalk_core::Instant;

use crate::{
    board::ServerLoad, engine_cost::EngineCost, Board, EngineParameters, Fleet, Grounds,
    RequestFacts, ServerKey,
};

/// Part of a request's worth that is lost when its answer is late; on the
/// deployments known a late answer earns a quarter.
const LATE_LOSS: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought possible.
const SURELY_IN_TIME: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought certain.
const SURELY_LATE: f64 = 1.15;
/// What a millisecond until the first event costs even if it is in time.
const SOONER_SHARE: f64 = 0.05;
/// Part of an engine's slots that short requests fill before the next engine is
/// opened for them. Measured: see docs/BENCHES.md.
const SHORT_SLOT_SHARE: f64 = 0.875;
/// Engines beyond those in use that are kept for short requests.
const SPARE_SHORT_ENGINES: usize = 0;
/// How much a short request on an engine speaks for keeping the engine in the
/// short pool, in milliseconds of reading that speak against it.
const SHORT_SUITS_MS: f64 = 40.0;
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
/// Engines named with one request at most, as engines allow: helpers, and the
/// engine that generates if it has a reservation too.
const MAX_NAMED: usize = 16;
/// Mean time between deciding and the request's arrival at the engine, in
/// milliseconds.
const TRANSIT_MS: f64 = 3.0;
/// Events of a short answer over which its slot costs others time.
const USUAL_EVENTS: f64 = 25.0;
/// Tokens that a stream's event holds, roughly; one pass generates them.
const TOKENS_PER_EVENT: f64 = 51.0;
/// The tightest pause objective taken for requests whose own is not known yet,
/// in milliseconds.
const SHORT_PAUSE_MS: f64 = 250.0;
/// Part of a pause objective that a pass may take as predicted.
const PAUSE_SHARE: f64 = 0.85;
/// The same on an engine without short requests, where parts of several
/// prompts meet.
const LONG_PAUSE_SHARE: f64 = 0.75;
/// The longest pass that is planned on an engine without short requests, in
/// milliseconds: long streams too must go on.
const LONGEST_PASS_MS: f64 = 900.0;
/// Reading of a prompt that exceeds one engine, divided by the engines for long
/// requests, up to which it is read in time, in milliseconds. Measured on 18
/// engines, reading 17 s at once made a second's short requests late.
const OVERSIZED_EACH_MS: f64 = 250.0;
/// Reading up to which an engine counts as idle, in milliseconds.
const IDLE_READING_MS: f64 = 30.0;
/// The longest part of a prompt on an engine where nothing generates, in
/// milliseconds.
const LONGEST_PART_MS: f64 = 2_000.0;
/// The longest part of a long prompt on an engine with short requests, in
/// milliseconds: their first events wait for it.
const THINNEST_MS: f64 = 60.0;
/// Memory that is set aside over what a prompt and its answer are thought to
/// take.
const RESERVED_MORE: f64 = 1.03;
/// Reading that an engine may have before it gets a further part, in
/// milliseconds: enough that it never waits for the next one, little enough
/// that a cheaper request that comes later can go before.
const QUEUED_MS: f64 = 150.0;
/// What it costs that one engine more reads a long prompt of its own, in
/// milliseconds: it gets no parts of others meanwhile.
const OPENING_MS: f64 = 60.0;
/// What each further engine costs a long prompt, in milliseconds: it may fail,
/// and it begins only with its next pass.
const EACH_PART_MS: f64 = 15.0;
/// Part of an engine's memory that prompts may fill, leaving room for what is
/// generated.
const MEMORY_SHARE: f64 = 0.92;

/// A server of a choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub server: ServerKey,
    /// Predicted time until its reading is done, in milliseconds.
    pub read_end_ms: f64,
}

/// A choice.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Where the request goes.
    pub first: Part,
    /// Engines that read parts of its prompt.
    pub helpers: Vec<Part>,
    /// Memory to set aside on each of the servers, in tokens, for a prompt that
    /// no single one has room for.
    pub reserve_tokens: Option<u32>,
    /// Reading at each of the servers, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first event, in milliseconds.
    pub first_ms: f64,
    /// Expected loss, in milliseconds of engine time.
    pub loss_ms: f64,
    /// Engine time of the request, in milliseconds.
    pub worth_ms: f64,
    /// Why it was chosen.
    pub grounds: Grounds,
}

/// What a request needs, in the units of the cost model.
pub(crate) struct Demand {
    pub prompt: f64,
    pub answer: f64,
    pub objective_ms: f64,
}

impl Demand {
    pub fn new(facts: &RequestFacts, now: Instant) -> Self {
        let waited = now.since(facts.arrived).as_secs_f64() * 1e3;
        let objective = facts.route.objective.as_secs_f64() * 1e3;
        Self {
            prompt: f64::from(facts.prompt_tokens),
            answer: f64::from(facts.answer_tokens),
            objective_ms: (objective - waited).max(1.0),
        }
    }
}

/// The memory that a prompt takes, in tokens.
struct Held {
    /// On the engine that generates.
    generating: f64,
    /// On each of the others.
    elsewhere: f64,
    /// To set aside on each; `None` if nothing has to be.
    reserved: Option<u32>,
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
    /// Whether what others have on the engines is not known: the entry has just
    /// started.
    pub blind: bool,
    /// Tells entries apart, so that those that know nothing of each other don't
    /// all choose the same engines.
    pub salt: u32,
}

fn late_part(predicted_ms: f64, allowed_ms: f64) -> f64 {
    let ratio = predicted_ms / allowed_ms;
    LATE_LOSS * ((ratio - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME)).clamp(0.0, 1.0)
}

impl EnginePlacement<'_> {
    fn cost(&self) -> EngineCost<'_> {
        EngineCost::new(self.parameters)
    }

    /// Returns over how many engines a prompt may be spread.
    fn most_engines(&self, demand: &Demand) -> usize {
        let by_size = (demand.prompt / SMALLEST_PART_TOKENS) as usize;
        let named = match self.exceeds_engine(demand) {
            true => MAX_NAMED,
            false => MAX_NAMED + 1,
        };
        by_size.clamp(1, named)
    }

    /// Returns how many short requests fill an engine before the next one is
    /// opened for them.
    fn short_per_engine(&self) -> f64 {
        (f64::from(self.parameters.slots) * SHORT_SLOT_SHARE).max(1.0)
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

    /// Tells whether no engine has the memory for a prompt and its answer.
    pub fn exceeds_engine(&self, demand: &Demand) -> bool {
        demand.prompt + demand.answer > MEMORY_SHARE * self.parameters.memory_tokens as f64
    }

    /// Returns the engine time of a prompt, in milliseconds.
    pub fn read_ms(&self, demand: &Demand) -> f64 {
        self.cost().read_ms(demand.prompt, demand.prompt)
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
            let pass_ms = self.cost().pass_ms(load.writers, load.pass_tokens);
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
                in_short_pool: self.blind,
            });
        }
        if self.blind {
            return views;
        }
        let pool =
            ((short + 1) as f64 / self.short_per_engine()).ceil() as usize + SPARE_SHORT_ENGINES;
        let mut order: Vec<usize> = (0..views.len()).collect();
        // Engines that serve short requests already stay in the pool; those
        // that long work keeps busy enter it last.
        order.sort_by(|&a, &b| {
            let suits =
                |view: &View| view.load.short as f64 * SHORT_SUITS_MS - view.load.reading_ms;
            suits(&views[b]).total_cmp(&suits(&views[a]))
        });
        for index in order.into_iter().take(pool) {
            views[index].in_short_pool = true;
        }
        views
    }

    /// Returns a number that differs between entries for the same engine.
    fn scatter_ms(&self, view: &View) -> f64 {
        /// About what one more short request adds to an engine's next pass.
        const SPREAD_MS: u32 = 30;
        let tag = self.fleet.get(view.key).map_or(0, |server| server.tag);
        let mixed = (tag ^ self.salt).wrapping_mul(0x9e37_79b1) >> 16;
        f64::from(mixed % SPREAD_MS)
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

    fn first_ms(&self, view: &View, part_tokens: f64, part_ms: f64) -> f64 {
        let load = &view.load;
        let writers = load.writers + load.readers + 1;
        let context = load.pass_tokens + part_tokens;
        let pass = self.cost().pass_ms(writers, context);
        // Beyond its slots an engine makes requests wait for a place.
        let excess = (load.occupied() + 1) as f64 - f64::from(self.parameters.slots);
        let queued = excess.max(0.0) / f64::from(self.parameters.slots) * USUAL_EVENTS * pass;
        TRANSIT_MS + view.wait_ms + load.reading_ms + part_ms + pass + queued
    }

    fn memory_fits(&self, view: &View, demand: &Demand) -> bool {
        self.has_memory(view, demand.prompt + demand.answer)
    }

    fn has_memory(&self, view: &View, tokens: f64) -> bool {
        let room = MEMORY_SHARE * self.parameters.memory_tokens as f64;
        view.load.context_tokens + tokens <= room
    }

    /// Returns the memory that a prompt takes on each of `k` engines: all of it
    /// on the one that generates, or equal shares that are set aside if it
    /// exceeds an engine.
    fn held(&self, demand: &Demand, k: usize) -> Held {
        if !self.exceeds_engine(demand) {
            return Held {
                generating: demand.prompt + demand.answer,
                elsewhere: 0.0,
                reserved: None,
            };
        }
        let share = (demand.prompt + demand.answer) / k as f64 * RESERVED_MORE;
        Held {
            generating: share,
            elsewhere: share,
            reserved: Some(share.ceil() as u32),
        }
    }

    /// Tells whether a prompt that exceeds one engine may be read at once: it
    /// keeps the engines that serve long requests busy for a short while only.
    pub fn may_read_oversized(&self, service: &str, demand: &Demand) -> bool {
        let views = self.views(service, &[]);
        let long = views.iter().filter(|view| !view.in_short_pool).count();
        let each_ms = self.read_ms(demand) / long.max(1) as f64;
        each_ms <= OVERSIZED_EACH_MS
    }

    fn part(&self, view: &View, part_ms: f64) -> Part {
        Part {
            server: view.key,
            read_end_ms: TRANSIT_MS + view.wait_ms + view.load.reading_ms + part_ms,
        }
    }

    /// Returns the part of the engine that generates, and those of the others.
    fn parts(&self, views: &[&View], first: ServerKey, part_ms: f64) -> (Part, Vec<Part>) {
        let mut generating = None;
        let mut helpers = Vec::with_capacity(views.len());
        for view in views {
            let part = self.part(view, part_ms);
            if view.key == first {
                generating = Some(part);
            } else {
                helpers.push(part);
            }
        }
        let first = generating.unwrap_or(Part {
            server: first,
            read_end_ms: part_ms,
        });
        (first, helpers)
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
            let first_ms = self.first_ms(view, demand.prompt, part_ms);
            let mut loss_ms = worth_ms * late_part(first_ms, demand.objective_ms);
            loss_ms += self.harm_ms(view, part_ms) + view.distrust_ms;
            loss_ms += match (is_short, view.in_short_pool) {
                (true, false) => OUTSIDE_POOL_MS,
                (false, true) => INSIDE_POOL_MS,
                _ => 0.0,
            };
            // Among engines that serve it in time, the one that does so soonest.
            let scatter_ms = if self.blind {
                self.scatter_ms(view)
            } else {
                0.0
            };
            loss_ms += (first_ms + scatter_ms) * SOONER_SHARE;
            if !self.memory_fits(view, demand) {
                loss_ms += worth_ms;
            }
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                first: self.part(view, part_ms),
                helpers: Vec::new(),
                reserve_tokens: None,
                part_ms,
                first_ms,
                loss_ms,
                worth_ms,
                grounds: Grounds::LeastLoss,
            });
        }
        best
    }

    /// Chooses engines for a long prompt so that nobody's pauses grow beyond
    /// their objectives; `None` if that can't be had now.
    ///
    /// An engine reads parts for others before prompts of its own, so that an
    /// engine that generates for a long request must not get parts while it
    /// still reads.
    pub fn place_long(&self, service: &str, demand: &Demand, tried: &[ServerKey]) -> Option<Plan> {
        let cost = self.cost();
        let worth_ms = self.worth_ms(demand);
        let mut views = self.views(service, tried);
        views.sort_by(|a, b| {
            let busy = |view: &View| view.wait_ms + view.load.reading_ms + view.distrust_ms;
            let order = a.in_short_pool.cmp(&b.in_short_pool);
            order.then(busy(a).total_cmp(&busy(b)))
        });
        let most = self.most_engines(demand).min(views.len());
        let mut best: Option<Plan> = None;
        for k in 1..=most {
            let part_ms = cost.read_ms(demand.prompt / k as f64, demand.prompt);
            let part_tokens = demand.prompt / k as f64;
            let held = self.held(demand, k);
            let Some(generating) = self.generating(&views, &held, part_tokens, part_ms) else {
                continue;
            };
            let roomy = views.iter().filter(|view| {
                view.key != generating.key
                    && self.has_memory(view, held.elsewhere)
                    && view.load.own_long_reads == 0
                    && view.load.reading_ms <= QUEUED_MS
                    && self.room_ms(view) >= part_ms
            });
            let mut chosen: Vec<&View> = roomy.take(k - 1).collect();
            if chosen.len() + 1 < k {
                continue;
            }
            chosen.push(generating);
            let mut first_ms = self.first_ms(generating, part_tokens, part_ms);
            let mut loss_ms = 0.0;
            for view in &chosen {
                let end_ms = view.wait_ms + view.load.reading_ms + part_ms;
                first_ms = first_ms.max(end_ms + generating.pass_ms);
                loss_ms += EACH_PART_MS + view.distrust_ms;
                if view.in_short_pool {
                    loss_ms += part_ms * view.load.short as f64 / self.short_per_engine();
                }
            }
            loss_ms += worth_ms * late_part(first_ms, demand.objective_ms) + first_ms;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            let (first, helpers) = self.parts(&chosen, generating.key, part_ms);
            best = Some(Plan {
                first,
                helpers,
                reserve_tokens: held.reserved,
                part_ms,
                first_ms,
                loss_ms,
                worth_ms,
                grounds: Grounds::Room,
            });
        }
        best
    }

    /// Chooses the engine that generates for a long prompt: the soonest one with
    /// room and memory, rather one that generates for long prompts already.
    fn generating<'v>(
        &self,
        views: &'v [View],
        held: &Held,
        part_tokens: f64,
        part_ms: f64,
    ) -> Option<&'v View> {
        let mut best: Option<(f64, &View)> = None;
        for view in views {
            if !self.has_memory(view, held.generating) || self.room_ms(view) < part_ms {
                continue;
            }
            let opening_ms = if view.in_short_pool { 0.0 } else { OPENING_MS };
            let first_ms = self.first_ms(view, part_tokens, part_ms);
            // Parts that were promised before go first.
            let cost_ms = first_ms + view.load.reading_ms + opening_ms;
            if best.is_none_or(|(least, _)| cost_ms < least) {
                best = Some((cost_ms, view));
            }
        }
        best.map(|(_, view)| view)
    }

    /// Chooses as few engines as serve a long prompt within `limit_ms`, though
    /// late: those with the fewest short requests, then the least to read.
    pub fn place_late(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[ServerKey],
        limit_ms: f64,
    ) -> Option<Plan> {
        let mut views = self.views(service, tried);
        views.sort_by(|a, b| {
            let disturbed = |view: &View| {
                let long = view.load.writers + view.load.own_long_reads;
                (view.load.short, long)
            };
            let busy = |view: &View| view.load.reading_ms + view.distrust_ms;
            let order = disturbed(a).cmp(&disturbed(b));
            order.then(busy(a).total_cmp(&busy(b)))
        });
        self.fewest(&views, demand, limit_ms)
    }

    /// Chooses engines for a prompt that exceeds one engine: as few as serve it
    /// within `limit_ms`, and only if twice as many are idle. Reading it takes
    /// so long that it would make many other requests late.
    pub fn place_oversized(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[ServerKey],
        limit_ms: f64,
    ) -> Option<Plan> {
        let mut views = self.views(service, tried);
        views.retain(|view| {
            let load = &view.load;
            !view.in_short_pool && load.occupied() == 0 && load.reading_ms < IDLE_READING_MS
        });
        let plan = self.fewest(&views, demand, limit_ms)?;
        (views.len() >= 2 * (plan.helpers.len() + 1)).then_some(plan)
    }

    fn fewest(&self, views: &[View], demand: &Demand, limit_ms: f64) -> Option<Plan> {
        let cost = self.cost();
        let worth_ms = self.worth_ms(demand);
        let most = self.most_engines(demand).min(views.len());
        for k in 1..=most {
            let part_ms = cost.read_ms(demand.prompt / k as f64, demand.prompt);
            let chosen: Vec<&View> = views.iter().take(k).collect();
            let Some((first, reserve_tokens)) = self.first_of(&chosen, demand) else {
                continue;
            };
            let part_tokens = demand.prompt / k as f64;
            let firsts = chosen.iter();
            let firsts = firsts.map(|view| self.first_ms(view, part_tokens, part_ms));
            let first_ms = firsts.fold(0.0, f64::max);
            if first_ms > limit_ms {
                continue;
            }
            let (first, helpers) = self.parts(&chosen, first, part_ms);
            return Some(Plan {
                first,
                helpers,
                reserve_tokens,
                part_ms,
                first_ms,
                loss_ms: worth_ms,
                worth_ms,
                grounds: Grounds::Late,
            });
        }
        None
    }

    /// Returns how much an engine can read in its next pass without making
    /// those that it serves late, in milliseconds.
    fn room_ms(&self, view: &View) -> f64 {
        let busy = view.pass_ms + view.load.reading_ms;
        if view.in_short_pool || view.load.short > 0 {
            let pause = view.load.tightest_pause_ms.min(SHORT_PAUSE_MS);
            return (PAUSE_SHARE * pause - busy).min(THINNEST_MS);
        }
        if view.load.writers == 0 && view.load.own_long_reads == 0 {
            return LONGEST_PART_MS - view.load.reading_ms;
        }
        let pause = view.load.tightest_coming_pause_ms.min(LONGEST_PASS_MS);
        LONG_PAUSE_SHARE * pause - busy
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
        let most = self.most_engines(demand).min(order.len());
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
                first_ms = first_ms.max(self.first_ms(view, demand.prompt / k as f64, part_ms));
            }
            loss_ms += worth_ms * late_part(first_ms, demand.objective_ms);
            loss_ms += first_ms * SOONER_SHARE;
            // Each engine more is one more that can fail, and a pass more.
            loss_ms += 2.0 * k as f64;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            let chosen: Vec<&View> = order[..k].iter().map(|(_, view)| view).collect();
            let Some((first, reserve_tokens)) = self.first_of(&chosen, demand) else {
                continue;
            };
            let (first, helpers) = self.parts(&chosen, first, part_ms);
            best = Some(Plan {
                first,
                helpers,
                reserve_tokens,
                part_ms,
                first_ms,
                loss_ms,
                worth_ms,
                grounds: Grounds::LeastLoss,
            });
        }
        best
    }

    /// Chooses the engine that generates: one with memory for the whole prompt
    /// and the least other work that its passes wait for. If none has the
    /// memory, tells how much to set aside on each of the engines; `None` if
    /// that doesn't fit either.
    fn first_of(&self, views: &[&View], demand: &Demand) -> Option<(ServerKey, Option<u32>)> {
        let order = |a: &&&View, b: &&&View| {
            let a = (a.in_short_pool, a.load.context_tokens);
            let b = (b.in_short_pool, b.load.context_tokens);
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let fitting = views.iter().filter(|view| self.memory_fits(view, demand));
        if let Some(view) = fitting.min_by(order) {
            return Some((view.key, None));
        }
        if views.len() > MAX_NAMED {
            return None;
        }
        let share = (demand.prompt + demand.answer) / views.len() as f64 * RESERVED_MORE;
        let room = MEMORY_SHARE * self.parameters.memory_tokens as f64;
        let mut views_with_room = views.iter();
        if !views_with_room.all(|view| view.load.context_tokens + share <= room) {
            return None;
        }
        let view = views.iter().min_by(order)?;
        Some((view.key, Some(share.ceil() as u32)))
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
        first: Part {
            server,
            read_end_ms: 0.0,
        },
        helpers: Vec::new(),
        reserve_tokens: None,
        part_ms: 0.0,
        first_ms: 0.0,
        loss_ms: 0.0,
        worth_ms: 0.0,
        grounds: Grounds::LeastLoss,
    })
}
