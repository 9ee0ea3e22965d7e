//! The names that users of this crate nearly always need.

pub use crate::{
    run, AnswerFacts, AnswerWord, BackendRequest, CallerFacts, ComeBack, Dialect, DirectoryAnswer,
    RelaySettings, Surroundings,
};
