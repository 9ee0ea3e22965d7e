//! Short requests, and long ones that can't wait: the least expected loss.

use super::{late_part, Demand, EnginePlacement, Plan, View, INSIDE_POOL_MS};
use crate::{Grounds, ServerKey};

/// What a millisecond until the first event costs even if it is in time.
pub(super) const SOONER_SHARE: f64 = 0.05;
/// Added to the loss for an engine outside the short pool, in milliseconds of
/// engine time, for a short request.
const OUTSIDE_POOL_MS: f64 = 40.0;
/// Part of the tightest pause objective on an engine that its next pass may
/// take with a late request.
const SPARE_PAUSE_SHARE: f64 = 0.6;
/// Prompts at or below this many tokens are never spread. A part should keep
/// an engine busy for more than the message that starts it.
const SMALLEST_SPREAD_TOKENS: f64 = 12_000.0;

impl EnginePlacement<'_> {
    /// Returns a number that differs between entries for the same engine.
    pub(super) fn scatter_ms(&self, view: &View) -> f64 {
        /// About what one more short request adds to an engine's next pass.
        const SPREAD_MS: u32 = 30;
        let tag = self.fleet.get(view.key).map_or(0, |server| server.tag);
        let mixed = (tag ^ self.salt).wrapping_mul(0x9e37_79b1) >> 16;
        f64::from(mixed % SPREAD_MS)
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

    /// Chooses an engine with room to spare for a request that is late already:
    /// its reading makes nobody late and its slot is not missed.
    pub fn place_spare(&self, service: &str, demand: &Demand, tried: &[ServerKey]) -> Option<Plan> {
        let part_ms = self.cost().read_ms(demand.prompt, demand.prompt);
        let mut best: Option<Plan> = None;
        for view in &self.views(service, tried) {
            let load = &view.load;
            let pass_ms = view.pass_ms + load.reading_ms + part_ms;
            let in_way = load.occupied() as f64 >= self.short_per_engine()
                || pass_ms > SPARE_PAUSE_SHARE * load.tightest_coming_pause_ms
                || load.own_long_reads > 0
                || !self.memory_fits(view, demand);
            if in_way {
                continue;
            }
            let first_ms = self.first_ms(view, demand.prompt, part_ms);
            let loss_ms = first_ms + view.distrust_ms + self.at_stake_ms(view, demand);
            if best.as_ref().is_some_and(|best| best.loss_ms <= loss_ms) {
                continue;
            }
            best = Some(Plan {
                loss_ms,
                grounds: Grounds::Late,
                ..self.whole_plan(view, demand, part_ms, first_ms)
            });
        }
        best
    }

    pub(super) fn place_whole(&self, views: &[View], demand: &Demand) -> Option<Plan> {
        let worth_ms = demand.worth_ms();
        let part_ms = self.cost().read_ms(demand.prompt, demand.prompt);
        let is_short = demand.prompt <= SMALLEST_SPREAD_TOKENS * 2.0;
        let mut best: Option<Plan> = None;
        for view in views {
            let first_ms = self.first_ms(view, demand.prompt, part_ms);
            let mut loss_ms = worth_ms * late_part(first_ms, demand.objective_ms);
            loss_ms += self.harm_ms(view, part_ms) + view.distrust_ms;
            loss_ms += self.at_stake_ms(view, demand);
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
                loss_ms,
                ..self.whole_plan(view, demand, part_ms, first_ms)
            });
        }
        best
    }

    pub(super) fn place_spread(&self, mut views: Vec<View>, demand: &Demand) -> Option<Plan> {
        let cost = self.cost();
        let worth_ms = demand.worth_ms();
        // Engines that a long part disturbs least come first.
        let trial_ms = cost.read_ms(demand.prompt / 6.0, demand.prompt);
        let mut order: Vec<(f64, View)> = Vec::with_capacity(views.len());
        views.retain(View::may_help);
        for view in views {
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
            best = Some(Plan {
                reserve_tokens,
                loss_ms,
                ..self.spread_plan(&chosen, first, demand, part_ms, first_ms)
            });
        }
        best
    }
}
