//! Statistics of measured calls, and tables for the terminal.

use std::{collections::BTreeMap, time::Duration};

use comfy_table::{presets::UTF8_FULL_CONDENSED, CellAlignment, Table};
use hdrhistogram::Histogram;
use notchwalk_wire::ExecutionOutcome;

use crate::{caller::CallEnd, workload::MeasuredCall};

/// Prompt length classes: the maximum length in tokens and the name.
pub const LENGTH_CLASSES: [(u64, &str); 4] = [
    (4_096, "up to 4k"),
    (32_768, "up to 32k"),
    (131_072, "up to 128k"),
    (u64::MAX, "up to 1M"),
];

/// Returns the index of a prompt's class in [`LENGTH_CLASSES`].
pub fn length_class(prompt_tokens: u64) -> usize {
    let index = LENGTH_CLASSES
        .iter()
        .position(|(max_tokens, _)| prompt_tokens <= *max_tokens);
    index.unwrap_or(LENGTH_CLASSES.len() - 1)
}

/// A histogram of durations.
#[derive(Clone, Debug)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        const SIGNIFICANT_DIGITS: u8 = 3;
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("invalid histogram precision"))
    }
}

impl Durations {
    /// Records a duration.
    pub fn add(&mut self, d: Duration) {
        // Recording can't fail, since the histogram resizes automatically.
        let _ = self.0.record(d.as_micros().max(1) as u64);
    }

    /// Returns a quantile in milliseconds, or 0 if the histogram is empty.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1_000.0
    }

    /// Returns the number of recorded durations.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns whether no duration was recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns times to first token by prompt length class.
pub fn ttft_by_class(measured: &[MeasuredCall]) -> [Durations; 4] {
    let mut classes: [Durations; 4] = Default::default();
    for m in measured {
        if let Some(ttft) = m.result.ttft {
            classes[length_class(m.planned.prompt_tokens)].add(ttft);
        }
    }
    classes
}

/// Formats the outcome of a call.
pub fn outcome_text(end: &CallEnd) -> String {
    match end {
        CallEnd::Complete => "complete".to_owned(),
        CallEnd::InvalidResponse(reason) => format!("INVALID: {reason}"),
        CallEnd::ConnectionLost(reason) => format!("connection lost: {reason}"),
        CallEnd::Failed { code, outcome, .. } => {
            let outcome_name = match outcome {
                ExecutionOutcome::NotRun => "not run",
                ExecutionOutcome::Ran => "ran",
                ExecutionOutcome::Unknown => "unknown",
            };
            format!("{code} ({outcome_name})")
        }
    }
}

/// Counts calls by outcome.
pub fn outcomes(measured: &[MeasuredCall]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for m in measured {
        *counts.entry(outcome_text(&m.result.end)).or_default() += 1;
    }
    counts
}

/// Returns whether every response was complete.
pub fn all_complete(measured: &[MeasuredCall]) -> bool {
    measured.iter().all(|m| m.result.end == CallEnd::Complete)
}

/// Returns an empty table with headings. All columns but the first are right-aligned.
pub fn table(headers: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(headers);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Returns the table of times to first token.
pub fn ttft_table(measured: &[MeasuredCall]) -> Table {
    let mut table = table(&[
        "prompt, tokens",
        "requests",
        "time to first token p50",
        "p95",
    ]);
    for ((_, name), times) in LENGTH_CLASSES.iter().zip(ttft_by_class(measured)) {
        if times.is_empty() {
            continue;
        }
        table.add_row([
            (*name).to_owned(),
            times.len().to_string(),
            format!("{:.0} ms", times.quantile_ms(0.5)),
            format!("{:.0} ms", times.quantile_ms(0.95)),
        ]);
    }
    table
}

/// Returns the table of outcomes.
pub fn outcome_table(measured: &[MeasuredCall]) -> Table {
    let mut table = table(&["outcome", "requests"]);
    for (outcome, count) in outcomes(measured) {
        table.add_row([outcome, count.to_string()]);
    }
    table
}
