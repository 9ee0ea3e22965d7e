//! The difference between two texts of a part, so that a small change of a
//! large part moves few bytes.

use serde::{Deserialize, Serialize};
use similar::{capture_diff_slices, Algorithm, DiffOp};

/// Lines that stay, and what comes in the place of those behind them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Hunk {
    /// Lines of the old text that stay.
    keep: usize,
    /// Lines behind them that go.
    remove: usize,
    /// What comes instead.
    insert: String,
}

/// How a text becomes another one. Whoever applies it checks the result's
/// digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    hunks: Vec<Hunk>,
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

impl Delta {
    /// Finds how `old` becomes `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let (old, new) = (lines(old), lines(new));
        let mut hunks = Vec::new();
        let mut hunk = Hunk::default();
        // Only the order of the operations is relied on: an insertion may name
        // a place in the old text before a removal that precedes it.
        for op in capture_diff_slices(Algorithm::Myers, &old, &new) {
            if let DiffOp::Equal { len, .. } = op {
                if hunk.remove > 0 || !hunk.insert.is_empty() {
                    hunks.push(std::mem::take(&mut hunk));
                }
                hunk.keep += len;
                continue;
            }
            hunk.remove += op.old_range().len();
            hunk.insert.push_str(&new[op.new_range()].concat());
        }
        if hunk.remove > 0 || !hunk.insert.is_empty() {
            hunks.push(hunk);
        }
        Self { hunks }
    }

    /// Applies the difference; `None` if it does not fit the text.
    pub fn apply(&self, old: &str) -> Option<String> {
        let old_lines = lines(old);
        let mut text = String::with_capacity(old.len());
        let mut at = 0;
        for hunk in &self.hunks {
            let end = usize::checked_add(at, hunk.keep)?;
            let kept = old_lines.get(at..end)?;
            text.extend(kept.iter().copied());
            text.push_str(&hunk.insert);
            at = end.checked_add(hunk.remove)?;
        }
        text.extend(old_lines.get(at..)?.iter().copied());
        Some(text)
    }
}
