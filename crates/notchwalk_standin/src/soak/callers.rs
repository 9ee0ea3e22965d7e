//! Open requests as seen by their callers, and checks of what callers receive.

use std::collections::HashMap;

use notchwalk_core::RequestId;
use notchwalk_decide::{Completion, Failure, RequestKey};
use notchwalk_wire::ExecutionOutcome;

/// The kind of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion of exactly this many tokens.
    Completion(u32),
    /// A service call, with its idempotency key if any.
    Call(Option<String>),
}

/// An admitted request that has not finished.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// The request ID.
    pub id: RequestId,
    /// What the caller requested.
    pub kind: RequestKind,
    /// The caller's deadline, in microseconds of virtual time.
    pub deadline_us: u64,
    /// The number of tokens received so far.
    pub received: u32,
    /// Whether a backend server accepted any attempt.
    pub ran: bool,
}

/// The open requests of one incarnation of a node.
#[derive(Debug, Default)]
pub struct OpenRequests {
    /// The open requests, by the node's request key.
    pub open: HashMap<RequestKey, OpenRequest>,
}

impl OpenRequests {
    /// Records a frame of tokens that the node delivered to the caller.
    ///
    /// # Errors
    ///
    /// Returns a description if the request is not open, the frame belongs to
    /// another request, or the tokens do not continue those already received.
    pub fn deliver(
        &mut self,
        request: RequestKey,
        frame: (RequestId, u32, u32),
        skip: u32,
    ) -> Result<(), String> {
        let (id, offset, count) = frame;
        let Some(open) = self.open.get_mut(&request) else {
            return Err(format!("{id}: received tokens after the request finished"));
        };
        if open.id != id {
            return Err(format!("{}: received tokens of {id}", open.id));
        }
        if offset + skip != open.received || skip >= count {
            let got = open.received;
            return Err(format!(
                "{id}: received {got} tokens, next frame has offset {offset}, skip {skip}, count {count}"
            ));
        }
        open.received = offset + count;
        Ok(())
    }

    /// Closes a request and returns it.
    ///
    /// # Errors
    ///
    /// Returns a description if the request is not open, is past its deadline by
    /// more than `slack_us`, received the wrong number of tokens, or ran but is
    /// reported as not run.
    pub fn finish(
        &mut self,
        request: RequestKey,
        result: &Result<Completion, Failure>,
        now_us: u64,
        slack_us: u64,
    ) -> Result<OpenRequest, String> {
        let Some(open) = self.open.remove(&request) else {
            return Err("a request finished twice".to_owned());
        };
        if now_us > open.deadline_us + slack_us {
            return Err(format!("{}: finished after its deadline", open.id));
        }
        match (result, &open.kind) {
            (Ok(_), RequestKind::Completion(tokens)) if open.received != *tokens => Err(format!(
                "{}: completed with {} of {tokens} tokens",
                open.id, open.received
            )),
            (Err(failure), _) if failure.outcome == ExecutionOutcome::NotRun && open.ran => Err(
                format!("{}: ran but was reported as not run: {failure:?}", open.id),
            ),
            _ => Ok(open),
        }
    }

    /// Returns an open request that is past its deadline by more than `slack_us`.
    pub fn find_overdue(&self, now_us: u64, slack_us: u64) -> Option<RequestId> {
        let is_late = |o: &&OpenRequest| now_us > o.deadline_us + slack_us;
        self.open.values().find(is_late).map(|o| o.id)
    }
}
