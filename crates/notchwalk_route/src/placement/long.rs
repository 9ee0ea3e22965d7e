//! Long prompts: engines with room, so that nobody else becomes late.

use super::{
    late_part, short::SOONER_SHARE, Demand, EnginePlacement, Plan, View, MAX_NAMED, RESERVED_MORE,
};
use crate::{Grounds, ServerKey};

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
/// Engines outside the short pool that a prompt over one engine leaves to
/// others: the next questions and the next long prompt need one each.
const KEPT_IDLE: usize = 2;
/// The longest part of a prompt on an engine where nothing generates, in
/// milliseconds.
const LONGEST_PART_MS: f64 = 2_000.0;
/// The longest part of a long prompt on an engine with short requests, in
/// milliseconds: their first events wait for it.
const THINNEST_MS: f64 = 60.0;
/// What it costs that one engine more reads a long prompt of its own, in
/// milliseconds: it gets no parts of others meanwhile.
const OPENING_MS: f64 = 60.0;
/// What each further engine costs a long prompt, in milliseconds: it may fail,
/// and it begins only with its next pass.
const EACH_PART_MS: f64 = 15.0;

/// Engines that a prompt may hope for while it waits to be read in time: about
/// a third of a small fleet. With fewer it is given up too early, with more it waits
/// in vain.
const USUALLY_FREE: usize = 6;

/// The memory that a prompt takes, in tokens.
struct Held {
    /// On the engine that generates.
    generating: f64,
    /// On each of the others.
    elsewhere: f64,
    /// To set aside on each; `None` if nothing has to be.
    reserved: Option<u32>,
}

impl EnginePlacement<'_> {
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

    /// Chooses engines for a long prompt so that nobody's pauses grow beyond
    /// their objectives; `None` if that can't be had now.
    ///
    /// An engine reads parts for others before prompts of its own, so that an
    /// engine that generates for a long request must not get parts while it
    /// still reads.
    pub fn place_long(&self, service: &str, demand: &Demand, tried: &[ServerKey]) -> Option<Plan> {
        if self.most_engines(demand) == 1 && demand.crash_risk > 0.0 {
            // Where least is at stake, rather than where it fits in best.
            return self.place_whole(&self.views(service, tried), demand);
        }
        let cost = self.cost();
        let worth_ms = demand.worth_ms();
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
                    && view.may_help()
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
            best = Some(Plan {
                reserve_tokens: held.reserved,
                loss_ms,
                grounds: Grounds::Room,
                ..self.spread_plan(&chosen, generating.key, demand, part_ms, first_ms)
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

    /// Returns the time to the first event of a long prompt if engines were
    /// idle, in milliseconds.
    pub fn soonest_ms(&self, demand: &Demand) -> f64 {
        let most = self.most_engines(demand).min(USUALLY_FREE) as f64;
        let part_ms = self.cost().read_ms(demand.prompt / most, demand.prompt);
        part_ms + self.cost().pass_ms(1, demand.prompt)
    }

    /// Chooses one engine that serves a long prompt within `limit_ms`, though
    /// late: the one with the fewest short requests, then the least to read.
    ///
    /// Engines read parts for others before prompts of their own, so that a late
    /// prompt gives way where it is read whole. Spread, it would hold up those
    /// that can still be in time.
    pub fn place_late(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[ServerKey],
        limit_ms: f64,
    ) -> Option<Plan> {
        let part_ms = self.read_ms(demand);
        let tokens = demand.prompt + demand.answer;
        let mut best: Option<((usize, usize), f64, Plan)> = None;
        for view in &self.views(service, tried) {
            let first_ms = self.first_ms(view, demand.prompt, part_ms);
            if first_ms > limit_ms || !self.has_memory(view, tokens) {
                continue;
            }
            let long = view.load.writers + view.load.own_long_reads;
            let disturbed = (view.load.short, long);
            let busy_ms = view.load.reading_ms + view.distrust_ms + self.at_stake_ms(view, demand);
            let order = (disturbed, busy_ms);
            if best.as_ref().is_some_and(|best| (best.0, best.1) <= order) {
                continue;
            }
            let plan = Plan {
                loss_ms: self.harm_ms(view, part_ms),
                grounds: Grounds::Late,
                ..self.whole_plan(view, demand, part_ms, first_ms)
            };
            best = Some((disturbed, busy_ms, plan));
        }
        best.map(|(_, _, plan)| plan)
    }

    /// Chooses engines for a prompt over one engine so that its first event
    /// comes within `limit_ms` and its parts keep engines from other work no
    /// longer than `longest_part_ms`. `None` if too few are idle.
    pub fn place_oversized(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[ServerKey],
        limit_ms: f64,
        longest_part_ms: f64,
    ) -> Option<Plan> {
        let mut views = self.views(service, tried);
        views.retain(|view| !view.in_short_pool && view.may_help());
        let cost = self.cost();
        let trial_ms = cost.read_ms(demand.prompt / MAX_NAMED as f64, demand.prompt);
        let harm = |view: &View| self.harm_ms(view, trial_ms) + view.distrust_ms;
        views.sort_by(|a, b| {
            let busy = |view: &View| view.load.reading_ms + view.load.context_tokens / 1e3;
            harm(a)
                .total_cmp(&harm(b))
                .then(busy(a).total_cmp(&busy(b)))
        });
        let kept = KEPT_IDLE.min(views.len());
        let most = self.most_engines(demand).min(views.len() - kept);
        let mut best: Option<Plan> = None;
        for k in 2..=most {
            let part_ms = cost.read_ms(demand.prompt / k as f64, demand.prompt);
            let held = self.held(demand, k);
            let Some((generating, chosen)) = self.with_memory(&views, &held, k) else {
                continue;
            };
            let part_tokens = demand.prompt / k as f64;
            let firsts = chosen.iter();
            let firsts = firsts.map(|view| self.first_ms(view, part_tokens, part_ms));
            let first_ms = firsts.fold(0.0, f64::max);
            if first_ms > limit_ms || part_ms > longest_part_ms {
                continue;
            }
            let harm_ms: f64 = chosen.iter().map(|view| self.harm_ms(view, part_ms)).sum();
            let loss_ms = harm_ms + part_ms * SOONER_SHARE;
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                reserve_tokens: held.reserved,
                loss_ms,
                grounds: Grounds::Late,
                ..self.spread_plan(&chosen, generating, demand, part_ms, first_ms)
            });
        }
        best
    }

    /// Returns the first `k` engines with the memory for a prompt, and which of
    /// them generates.
    fn with_memory<'v>(
        &self,
        views: &'v [View],
        held: &Held,
        k: usize,
    ) -> Option<(ServerKey, Vec<&'v View>)> {
        let mut generating = views.iter();
        let generating = generating.find(|view| self.has_memory(view, held.generating))?;
        let others = views
            .iter()
            .filter(|view| view.key != generating.key && self.has_memory(view, held.elsewhere));
        let mut chosen = vec![generating];
        chosen.extend(others.take(k - 1));
        (chosen.len() == k).then_some((generating.key, chosen))
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
}
