//! The suspects of one node, for tests of parts of prompts.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{Fingerprint, PromptPart, Quarantine, RequestSubjects, Verdict};

pub const START: Instant = Instant::from_millis(3_600_000);
pub const WORKSPACE: u32 = 7;
pub const OTHER_WORKSPACE: u32 = 8;

pub fn part_of(workspace: u32, id: &str) -> PromptPart {
    PromptPart::new("engines", Fingerprint::of_part_id(id), workspace)
}

pub fn part(id: &str) -> PromptPart {
    part_of(WORKSPACE, id)
}

/// The suspects of a node, its clock, and a counter that gives each request its own content.
pub struct Node {
    pub quarantine: Quarantine,
    pub now: Instant,
    pub contents: u128,
}

impl Node {
    pub fn new() -> Self {
        let mut quarantine = Quarantine::default();
        quarantine.tick(START);
        Self {
            quarantine,
            now: START,
            contents: 0,
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        self.quarantine.tick(self.now);
    }

    pub fn request_of(&mut self, workspace: u32, ids: &[&str]) -> RequestSubjects {
        self.contents += 1;
        let parts = ids.iter().map(|id| part_of(workspace, id));
        RequestSubjects {
            // The first bytes make up the short id.
            content: Fingerprint::from(self.contents << 96),
            parts: parts.collect(),
        }
    }

    pub fn request(&mut self, ids: &[&str]) -> RequestSubjects {
        self.request_of(WORKSPACE, ids)
    }

    pub fn crash_request(&mut self, request: &RequestSubjects, server: u32) {
        let now = self.now;
        self.quarantine
            .record_request_broken(request, &[server], 4, false, false, now);
        self.quarantine.record_server_ended(server, false, now);
    }

    /// Crashes a server with a new request that has these parts.
    pub fn crash_of(&mut self, workspace: u32, ids: &[&str], server: u32) {
        let request = self.request_of(workspace, ids);
        self.crash_request(&request, server);
        self.advance(300);
    }

    pub fn crash(&mut self, ids: &[&str], server: u32) {
        self.crash_of(WORKSPACE, ids, server);
    }

    pub fn survive(&mut self, ids: &[&str]) {
        let request = self.request(ids);
        self.quarantine.record_survival(&request, self.now);
    }

    pub fn verdict_of(&mut self, workspace: u32, ids: &[&str]) -> Verdict {
        let request = self.request_of(workspace, ids);
        self.quarantine.request_verdict(&request, self.now).verdict
    }

    pub fn verdict(&mut self, ids: &[&str]) -> Verdict {
        self.verdict_of(WORKSPACE, ids)
    }

    pub fn is_quarantined(&mut self, ids: &[&str]) -> bool {
        matches!(self.verdict(ids), Verdict::Quarantined { .. })
    }

    pub fn send_updates(&mut self, other: &mut Self) {
        let updates = self.quarantine.take_updates();
        other.quarantine.apply_updates(1, &updates, other.now);
    }
}
