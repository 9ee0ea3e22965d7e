//! The difference between two texts of a part, so that a small change of a
//! large part moves few bytes.

use serde::{Deserialize, Serialize};
use similar::{capture_diff_slices, Algorithm, DiffOp};

/// Lines that take the place of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Hunk {
    /// The first line of the old text that goes.
    line: usize,
    /// How many go.
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
        for op in capture_diff_slices(Algorithm::Myers, &old, &new) {
            if matches!(op, DiffOp::Equal { .. }) {
                continue;
            }
            let (from, to) = (op.old_range(), op.new_range());
            hunks.push(Hunk {
                line: from.start,
                remove: from.len(),
                insert: new[to].concat(),
            });
        }
        Self { hunks }
    }

    /// Applies the difference; `None` if it does not fit the text.
    pub fn apply(&self, old: &str) -> Option<String> {
        let old_lines = lines(old);
        let mut text = String::with_capacity(old.len());
        let mut at = 0;
        for hunk in &self.hunks {
            let kept = old_lines.get(at..hunk.line)?;
            text.extend(kept.iter().copied());
            text.push_str(&hunk.insert);
            at = hunk.line.checked_add(hunk.remove)?;
        }
        text.extend(old_lines.get(at..)?.iter().copied());
        Some(text)
    }
}
