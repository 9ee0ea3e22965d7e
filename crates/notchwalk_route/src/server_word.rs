//! What backend servers say of themselves in the heads of their answers.

use std::time::Duration;

/// One thing that a server said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerWord {
    /// It leaves: it ends soon.
    Leaving,
    /// It wants no requests of this entry for so long.
    WantsNothing(Duration),
}
