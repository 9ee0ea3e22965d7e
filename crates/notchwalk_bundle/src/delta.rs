//! Line deltas between two versions of a part, so that a small change of a large part
//! transfers few bytes.

use serde::{Deserialize, Serialize};
use similar::{capture_diff_slices, Algorithm, DiffOp};

/// A number of unchanged lines, and the replacement of the lines after them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Hunk {
    /// The number of unchanged lines.
    keep: usize,
    /// The number of lines removed after them.
    remove: usize,
    /// The text inserted in their place.
    insert: String,
}

/// A delta from one text to another. It contains no digest: check the digest of the result
/// after [`Delta::apply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    hunks: Vec<Hunk>,
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

impl Delta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let (old, new) = (lines(old), lines(new));
        let mut hunks = Vec::new();
        let mut hunk = Hunk::default();
        // Only the order of the operations is used, not their old indices: the old index of an
        // insertion can be less than that of a preceding removal.
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

    /// Applies the delta; returns `None` if `old` has too few lines.
    pub fn apply(&self, old: &str) -> Option<String> {
        let old_lines = lines(old);
        let mut text = String::with_capacity(old.len());
        let mut next_line = 0;
        for hunk in &self.hunks {
            let end = usize::checked_add(next_line, hunk.keep)?;
            let unchanged = old_lines.get(next_line..end)?;
            text.extend(unchanged.iter().copied());
            text.push_str(&hunk.insert);
            next_line = end.checked_add(hunk.remove)?;
        }
        text.extend(old_lines.get(next_line..)?.iter().copied());
        Some(text)
    }
}
