//! Asserting what must always hold, inside the program.

/// Asserts an invariant in every build. A breach is a bug, never an input.
macro_rules! invariant {
    ($condition:expr, $($what:tt)+) => {
        assert!($condition, "invariant broken: {}", format_args!($($what)+));
    };
}

pub(crate) use invariant;
