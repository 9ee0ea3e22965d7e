//! Assertions of internal invariants.

/// Asserts an invariant in every build. A violation is a bug and never caused
/// by input.
macro_rules! invariant {
    ($condition:expr, $($what:tt)+) => {
        assert!($condition, "invariant violated: {}", format_args!($($what)+));
    };
}

pub(crate) use invariant;
