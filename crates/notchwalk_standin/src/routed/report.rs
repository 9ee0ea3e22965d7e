//! What runs came to: shares of worth by kind and wave, and reasons of loss.

use std::{collections::HashMap, path::Path};

use plotters::prelude::*;

use super::{
    traffic::{Arrival, KINDS, WAVES},
    world::Outcome,
};

/// Part of the credit that a late answer earns, as on the users' sheets.
const LATE_CREDIT: f64 = 0.25;

/// Sums of one group of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    owed: f64,
    earned: f64,
}

impl Sum {
    fn share(self) -> f64 {
        match self.owed > 0.0 {
            true => self.earned / self.owed,
            false => 0.0,
        }
    }
}

/// The runs of one policy.
#[derive(Clone, Debug)]
pub struct Report {
    /// The policy's name.
    pub name: &'static str,
    groups: HashMap<(usize, usize), Sum>,
    lost: HashMap<Outcome, f64>,
    owed: f64,
}

impl Report {
    /// Starts without runs.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            groups: HashMap::new(),
            lost: HashMap::new(),
            owed: 0.0,
        }
    }

    /// Adds a run.
    pub fn add(&mut self, run: Vec<(Arrival, Outcome)>) {
        for (arrival, outcome) in run {
            let worth = arrival.worth();
            let earned = match outcome {
                Outcome::InTime => worth,
                Outcome::FirstLate | Outcome::Paused => worth * LATE_CREDIT,
                Outcome::Open | Outcome::Refused | Outcome::Left => 0.0,
            };
            let sum = self.groups.entry((arrival.kind, arrival.wave)).or_default();
            sum.owed += worth;
            sum.earned += earned;
            self.owed += worth;
            *self.lost.entry(outcome).or_default() += worth - earned;
        }
    }

    /// Adds arrivals with the part of their in-time credit that each earned; the rest
    /// of it earned a late answer's.
    pub fn add_parts<'a>(&mut self, run: impl Iterator<Item = (&'a Arrival, f64)>) {
        for (arrival, part) in run {
            let worth = arrival.worth();
            let earned = worth * (LATE_CREDIT + (1.0 - LATE_CREDIT) * part);
            let sum = self.groups.entry((arrival.kind, arrival.wave)).or_default();
            sum.owed += worth;
            sum.earned += earned;
            self.owed += worth;
            *self.lost.entry(Outcome::FirstLate).or_default() += worth - earned;
        }
    }

    /// Returns the share of all credit that was earned.
    pub fn worth(&self) -> f64 {
        self.sum(|_, _| true)
    }

    /// Returns the share of a kind's credit, by place in [`KINDS`].
    pub fn worth_of_kind(&self, kind: usize) -> f64 {
        self.sum(|of, _| of == kind)
    }

    /// Returns the share of a wave's credit, by place in [`WAVES`].
    pub fn worth_of_wave(&self, wave: usize) -> f64 {
        self.sum(|_, of| of == wave)
    }

    fn sum(&self, counts: impl Fn(usize, usize) -> bool) -> f64 {
        let mut all = Sum::default();
        for (&(kind, wave), sum) in &self.groups {
            if counts(kind, wave) {
                all.owed += sum.owed;
                all.earned += sum.earned;
            }
        }
        all.share()
    }

    /// Returns the share of all credit that was lost for a reason.
    pub fn lost_by(&self, outcome: Outcome) -> f64 {
        self.lost.get(&outcome).copied().unwrap_or(0.0) / self.owed.max(1.0)
    }
}

/// Lays reports out as a table.
pub fn table(reports: &[Report]) -> comfy_table::Table {
    const LOSSES: [(&str, Outcome); 4] = [
        ("first late", Outcome::FirstLate),
        ("paused", Outcome::Paused),
        ("refused", Outcome::Refused),
        ("left", Outcome::Left),
    ];
    let mut table = comfy_table::Table::new();
    let mut head = vec!["policy".to_owned(), "worth".to_owned()];
    head.extend(KINDS.iter().map(|kind| kind.name.to_owned()));
    head.extend(WAVES.iter().map(|wave| format!("in {}", wave.name)));
    head.extend(LOSSES.iter().map(|(name, _)| format!("lost: {name}")));
    table.set_header(head);
    for report in reports {
        let mut row = vec![report.name.to_owned(), format!("{:.3}", report.worth())];
        row.extend((0..KINDS.len()).map(|kind| format!("{:.3}", report.worth_of_kind(kind))));
        row.extend((0..WAVES.len()).map(|wave| format!("{:.3}", report.worth_of_wave(wave))));
        let lost = LOSSES.iter().map(|&(_, outcome)| report.lost_by(outcome));
        row.extend(lost.map(|share| format!("{share:.3}")));
        table.add_row(row);
    }
    table
}

/// Draws the shares by kind as bars into an SVG file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn plot(reports: &[Report], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    const SIZE: (u32, u32) = (800, 400);
    const BARS: usize = KINDS.len() + 1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let groups = reports.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("share of worth earned", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..groups, 0.0..1.0)?;
    let name = |x: &f64| {
        let report = reports.get(*x as usize);
        report.map_or(String::new(), |report| report.name.to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(reports.len() + 1)
        .x_label_formatter(&name)
        .draw()?;
    for bar in 0..BARS {
        let style = Palette99::pick(bar).filled();
        let label = KINDS.get(bar).map_or("all", |kind| kind.name);
        let width = 0.8 / BARS as f64;
        let bars = reports.iter().enumerate().map(|(place, report)| {
            let share = match bar < KINDS.len() {
                true => report.worth_of_kind(bar),
                false => report.worth(),
            };
            let left = place as f64 + 0.1 + width * bar as f64;
            Rectangle::new([(left, 0.0), (left + width, share)], style)
        });
        let series = chart.draw_series(bars)?;
        series.label(label).legend(move |(x, y)| {
            Rectangle::new([(x, y - 5), (x + 10, y + 5)], Palette99::pick(bar).filled())
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
