//! Chooses the server of a request and, for a long prompt, the engines that
//! read parts of it.
//!
//! Every choice is the one with the least expected loss. What a request is
//! worth follows its tokens, read and generated, so that requests of all kinds
//! are weighed alike. Engine time would overrate the longest prompts: it grows
//! with the square of their length.
//!
//! An engine reads parts of others' prompts before its own, the newest part
//! first (seen on the users' engines; see docs/PLATFORM.md). A part that is
//! added to an engine with reading left therefore delays all of it.

mod call;
mod long;
mod short;

use notchwalk_core::Instant;

use crate::{
    board::ServerLoad, engine_cost::EngineCost, request::Request, Board, EngineParameters, Fleet,
    Grounds, ServerKey,
};

pub(crate) use call::place_call;

/// Part of a request's worth that is lost when its answer is late; on the
/// deployments known a late answer earns a quarter.
const LATE_LOSS: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought possible.
const SURELY_IN_TIME: f64 = 0.75;
/// Predicted over allowed time from which a miss is thought certain.
const SURELY_LATE: f64 = 1.15;
/// Part of an engine's slots that short requests fill before the next engine is
/// opened for them.
const SHORT_SLOT_SHARE: f64 = 0.875;
/// Engines beyond those in use that are kept for short requests.
const SPARE_SHORT_ENGINES: usize = 0;
/// How much a short request on an engine speaks for keeping the engine in the
/// short pool, in milliseconds of reading that speak against it.
const SHORT_SUITS_MS: f64 = 40.0;
/// Added to the loss for an engine of the short pool, for a part of a long
/// prompt.
const INSIDE_POOL_MS: f64 = 20.0;
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
/// What a generated token is worth in tokens of the prompt; the users' rules
/// state it.
const GENERATED_WEIGHT: f64 = 10.0;
/// Tokens that are worth a millisecond of engine time.
const WORTH_TOKENS_PER_MS: f64 = 100.0;
/// Tokens of an answer whose length is not known, as on the deployments known.
const USUAL_ANSWER_TOKENS: f64 = 1_000.0;
/// Memory that is set aside over what a prompt and its answer are thought to
/// take.
const RESERVED_MORE: f64 = 1.03;
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
    /// What the request is worth, in milliseconds of engine time.
    pub worth_ms: f64,
    /// Why it was chosen.
    pub grounds: Grounds,
}

/// What a request needs, in the units of the cost model.
pub(crate) struct Demand {
    pub prompt: f64,
    pub answer: f64,
    /// Time left for the first event to be in time, in milliseconds.
    pub objective_ms: f64,
    /// Time left until the caller gives up, in milliseconds.
    pub patience_ms: f64,
    /// Sends that failed by a helper.
    pub helpers_failed: u32,
    /// How likely it crashes its server, 0 to 1.
    pub crash_risk: f64,
}

fn ms_until(at: Instant, now: Instant) -> f64 {
    at.since(now).as_secs_f64() * 1e3
}

impl Demand {
    /// Returns what the request is worth, in milliseconds of engine time.
    pub fn worth_ms(&self) -> f64 {
        worth_ms(self.prompt, self.answer)
    }

    pub fn new(request: &Request, crash_risk: f64, now: Instant) -> Self {
        let facts = &request.facts;
        Self {
            prompt: f64::from(facts.prompt_tokens),
            answer: f64::from(facts.answer_tokens),
            objective_ms: ms_until(request.objective_at(), now).max(1.0),
            patience_ms: ms_until(request.patience_end(), now).max(1.0),
            helpers_failed: request.helpers_failed,
            crash_risk,
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
    /// Whether its limit leaves no requests for parts.
    is_scarce: bool,
}

impl View {
    /// Tells whether the engine may read a part of a prompt: what it still has
    /// to read would be delayed by it.
    fn may_help(&self) -> bool {
        /// Enough that an engine never waits for its next part, little enough
        /// that few are delayed.
        const QUEUED_MS: f64 = 150.0;
        !self.is_scarce && self.load.own_long_reads == 0 && self.load.reading_ms <= QUEUED_MS
    }
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

/// Returns what a request is worth, in milliseconds of engine time.
fn worth_ms(prompt_tokens: f64, answer_tokens: f64) -> f64 {
    (prompt_tokens + GENERATED_WEIGHT * answer_tokens) / WORTH_TOKENS_PER_MS
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
    ///
    /// After a send that failed by a helper it is half as many: when several
    /// engines die at once, a dozen helpers hardly ever all live, and each send
    /// finds one dead engine only.
    fn most_engines(&self, demand: &Demand) -> usize {
        /// Halvings after which any number of named engines is down to one.
        const MOST_HALVINGS: u32 = usize::BITS - (MAX_NAMED + 1).leading_zeros();
        let exceeds = self.exceeds_engine(demand);
        // What may crash its server is read by one only.
        if demand.crash_risk > 0.0 && !exceeds {
            return 1;
        }
        let by_size = (demand.prompt / SMALLEST_PART_TOKENS) as usize;
        let named = match exceeds {
            true => MAX_NAMED,
            false => MAX_NAMED + 1,
        };
        by_size.clamp(
            1,
            (named >> demand.helpers_failed.min(MOST_HALVINGS)).max(1),
        )
    }

    /// Returns how many short requests fill an engine before the next one is
    /// opened for them.
    fn short_per_engine(&self) -> f64 {
        (f64::from(self.parameters.slots) * SHORT_SLOT_SHARE).max(1.0)
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
        let servers = self.fleet.in_use(service, self.now);
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
                distrust_ms: 400.0 * server.failure_rate(self.now),
                in_short_pool: self.blind,
                is_scarce: server.is_scarce(),
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

    /// Returns what is lost on the requests of an engine when `part_ms` more
    /// are read in its next pass.
    fn harm_ms(&self, view: &View, part_ms: f64) -> f64 {
        let before = view.pass_ms + view.load.reading_ms;
        let after = before + part_ms;
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
            harm += more * worth_ms(work.context_tokens, USUAL_ANSWER_TOKENS);
        }
        harm
    }

    /// Returns what is lost on the requests of an engine, as likely as this one
    /// crashes it.
    fn at_stake_ms(&self, view: &View, demand: &Demand) -> f64 {
        if demand.crash_risk <= 0.0 {
            return 0.0;
        }
        let works = self.board.on(view.key).iter();
        let worth = works.map(|work| worth_ms(work.context_tokens, USUAL_ANSWER_TOKENS));
        demand.crash_risk * LATE_LOSS * worth.sum::<f64>()
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

    fn part(&self, view: &View, part_ms: f64) -> Part {
        Part {
            server: view.key,
            read_end_ms: TRANSIT_MS + view.wait_ms + view.load.reading_ms + part_ms,
        }
    }

    /// Returns the plan that one engine reads a prompt whole.
    fn whole_plan(&self, view: &View, demand: &Demand, part_ms: f64, first_ms: f64) -> Plan {
        Plan {
            first: self.part(view, part_ms),
            helpers: Vec::new(),
            reserve_tokens: None,
            part_ms,
            first_ms,
            loss_ms: 0.0,
            worth_ms: demand.worth_ms(),
            grounds: Grounds::LeastLoss,
        }
    }

    /// Returns the plan that engines read equal parts of a prompt, one of which
    /// generates.
    fn spread_plan(
        &self,
        chosen: &[&View],
        generating: ServerKey,
        demand: &Demand,
        part_ms: f64,
        first_ms: f64,
    ) -> Plan {
        let (first, helpers) = self.parts(chosen, generating, part_ms);
        Plan {
            first,
            helpers,
            reserve_tokens: None,
            part_ms,
            first_ms,
            loss_ms: 0.0,
            worth_ms: demand.worth_ms(),
            grounds: Grounds::LeastLoss,
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
