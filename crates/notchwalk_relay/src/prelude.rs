//! Commonly used names of this crate.

pub use crate::{
    run, AnswerFacts, AnswerWord, BackendRequest, CallerFacts, ComeBack, Dialect, DirectoryAnswer,
    RelaySettings, Surroundings,
};
