//! Reports of runs: earned shares of value by kind and wave, and losses by outcome.

use std::{collections::HashMap, path::Path};

use plotters::prelude::*;

use super::{
    simulation::Outcome,
    traffic::{Arrival, KINDS, WAVES},
};

/// Share of its value that a late response earns.
const LATE_VALUE_SHARE: f64 = 0.25;

/// Total value of a group of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct ValueSum {
    /// Value if all arrivals meet their objectives.
    offered: f64,
    earned: f64,
}

impl ValueSum {
    fn share(self) -> f64 {
        match self.offered > 0.0 {
            true => self.earned / self.offered,
            false => 0.0,
        }
    }
}

/// Totals over the runs of one policy.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the policy.
    pub name: &'static str,
    /// Totals by kind and wave.
    groups: HashMap<(usize, usize), ValueSum>,
    losses: HashMap<Outcome, f64>,
    offered: f64,
}

impl Report {
    /// Creates a report without runs.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            groups: HashMap::new(),
            losses: HashMap::new(),
            offered: 0.0,
        }
    }

    /// Adds the arrivals of a run with their outcomes.
    pub fn add_run(&mut self, run: Vec<(Arrival, Outcome)>) {
        for (arrival, outcome) in run {
            let value = arrival.value();
            let earned = match outcome {
                Outcome::InTime => value,
                Outcome::LateFirstEvent | Outcome::LongGap => value * LATE_VALUE_SHARE,
                Outcome::Pending | Outcome::Refused | Outcome::Abandoned => 0.0,
            };
            let sum = self.groups.entry((arrival.kind, arrival.wave)).or_default();
            sum.offered += value;
            sum.earned += earned;
            self.offered += value;
            *self.losses.entry(outcome).or_default() += value - earned;
        }
    }

    /// Adds arrivals with the share of its value that each earned in time. The rest earns
    /// the value of a late response.
    pub fn add_shares<'a>(&mut self, run: impl Iterator<Item = (&'a Arrival, f64)>) {
        for (arrival, share) in run {
            let value = arrival.value();
            let earned = value * (LATE_VALUE_SHARE + (1.0 - LATE_VALUE_SHARE) * share);
            let sum = self.groups.entry((arrival.kind, arrival.wave)).or_default();
            sum.offered += value;
            sum.earned += earned;
            self.offered += value;
            *self.losses.entry(Outcome::LateFirstEvent).or_default() += value - earned;
        }
    }

    /// Returns the earned share of the total value.
    pub fn value_share(&self) -> f64 {
        self.share_of(|_, _| true)
    }

    /// Returns the earned share of the value of a kind, by index in [`KINDS`].
    pub fn value_share_of_kind(&self, kind: usize) -> f64 {
        self.share_of(|group_kind, _| group_kind == kind)
    }

    /// Returns the earned share of the value of a wave, by index in [`WAVES`].
    pub fn value_share_of_wave(&self, wave: usize) -> f64 {
        self.share_of(|_, group_wave| group_wave == wave)
    }

    fn share_of(&self, includes: impl Fn(usize, usize) -> bool) -> f64 {
        let mut total = ValueSum::default();
        for (&(kind, wave), sum) in &self.groups {
            if includes(kind, wave) {
                total.offered += sum.offered;
                total.earned += sum.earned;
            }
        }
        total.share()
    }

    /// Returns the share of the total value that was lost with an outcome.
    pub fn loss_share(&self, outcome: Outcome) -> f64 {
        self.losses.get(&outcome).copied().unwrap_or(0.0) / self.offered.max(1.0)
    }
}

/// Returns the reports as a table with one row per policy.
pub fn table(reports: &[Report]) -> comfy_table::Table {
    const LOSSES: [(&str, Outcome); 4] = [
        ("late first event", Outcome::LateFirstEvent),
        ("long gap", Outcome::LongGap),
        ("refused", Outcome::Refused),
        ("abandoned", Outcome::Abandoned),
    ];
    let mut table = comfy_table::Table::new();
    let mut header = vec!["policy".to_owned(), "value".to_owned()];
    header.extend(KINDS.iter().map(|kind| kind.name.to_owned()));
    header.extend(WAVES.iter().map(|wave| format!("in {}", wave.name)));
    header.extend(LOSSES.iter().map(|(name, _)| format!("lost: {name}")));
    table.set_header(header);
    for report in reports {
        let mut row = vec![
            report.name.to_owned(),
            format!("{:.3}", report.value_share()),
        ];
        row.extend((0..KINDS.len()).map(|kind| format!("{:.3}", report.value_share_of_kind(kind))));
        row.extend((0..WAVES.len()).map(|wave| format!("{:.3}", report.value_share_of_wave(wave))));
        let losses = LOSSES
            .iter()
            .map(|&(_, outcome)| report.loss_share(outcome));
        row.extend(losses.map(|share| format!("{share:.3}")));
        table.add_row(row);
    }
    table
}

/// Writes a bar chart of the earned shares by kind to an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot(reports: &[Report], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    const SIZE: (u32, u32) = (800, 400);
    const BARS: usize = KINDS.len() + 1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let report_count = reports.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("share of value earned", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..report_count, 0.0..1.0)?;
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
        let bars = reports.iter().enumerate().map(|(index, report)| {
            let share = match bar < KINDS.len() {
                true => report.value_share_of_kind(bar),
                false => report.value_share(),
            };
            let left = index as f64 + 0.1 + width * bar as f64;
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
