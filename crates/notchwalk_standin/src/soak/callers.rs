//! The callers of a randomised run: what each was promised and what it got.

use std::collections::HashMap;

use notchwalk_core::RequestId;
use notchwalk_decide::{Completion, Failure, RequestKey};
use notchwalk_wire::OutcomeWord;

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// An answer of so many tokens.
    Answer(u32),
    /// A call, with its idempotency key if it has one.
    Call(Option<String>),
}

/// One admitted request, as its caller sees it.
#[derive(Clone, Debug)]
pub struct Open {
    /// The request's id.
    pub id: RequestId,
    /// What was asked for.
    pub wanted: Wanted,
    /// The deadline, in microseconds.
    pub deadline_us: u64,
    /// Tokens that came.
    pub received: u32,
    /// Whether a backend took the request in.
    pub ran: bool,
}

/// All open requests of one boot of a node.
#[derive(Debug, Default)]
pub struct OpenRequests {
    /// The requests.
    pub open: HashMap<RequestKey, Open>,
}

impl OpenRequests {
    /// Takes in tokens that were passed on.
    ///
    /// # Errors
    ///
    /// Says what is wrong with them.
    pub fn deliver(
        &mut self,
        request: RequestKey,
        frame: (RequestId, u32, u32),
        skip: u32,
    ) -> Result<(), String> {
        let (id, offset, count) = frame;
        let Some(open) = self.open.get_mut(&request) else {
            return Err(format!("{id} got tokens after its end"));
        };
        if open.id != id {
            return Err(format!("{} got tokens of {id}", open.id));
        }
        if offset + skip != open.received || skip >= count {
            let got = open.received;
            return Err(format!(
                "{id} has {got} tokens and got {offset}+{skip} of {count}"
            ));
        }
        open.received = offset + count;
        Ok(())
    }

    /// Takes in the end of a request.
    ///
    /// # Errors
    ///
    /// Says which promise it breaks.
    pub fn finish(
        &mut self,
        request: RequestKey,
        result: &Result<Completion, Failure>,
        now_us: u64,
        slack_us: u64,
    ) -> Result<Open, String> {
        let Some(open) = self.open.remove(&request) else {
            return Err("a request ended twice".to_owned());
        };
        if now_us > open.deadline_us + slack_us {
            return Err(format!("{} ended after its deadline", open.id));
        }
        match (result, &open.wanted) {
            (Ok(_), Wanted::Answer(tokens)) if open.received != *tokens => Err(format!(
                "{} ended with {} of {tokens} tokens",
                open.id, open.received
            )),
            (Err(failure), _) if failure.outcome == OutcomeWord::NotRun && open.ran => Err(
                format!("{} ran and was called not run: {failure:?}", open.id),
            ),
            _ => Ok(open),
        }
    }

    /// Returns a request that should have ended by now, if there is one.
    pub fn overdue(&self, now_us: u64, slack_us: u64) -> Option<RequestId> {
        let late = |o: &&Open| now_us > o.deadline_us + slack_us;
        self.open.values().find(late).map(|o| o.id)
    }
}
