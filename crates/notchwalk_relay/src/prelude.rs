//! The names that users of this crate nearly always need.

pub use crate::{
    run, start_logging, AnswerFacts, AnswerWord, BackendRequest, CallerFacts, ComeBack, Dialect,
    DirectoryAnswer, RelayError, RelaySettings, Signals, Surroundings,
};
