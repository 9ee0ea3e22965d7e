//! What a request may crash servers with: its content, and the parts of its prompt.

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubjectKind {
    /// The content of a request.
    #[default]
    Content,
    /// A part of a prompt, in the requests of one workspace or of all.
    Part,
}

/// A part of a prompt that requests of one service may share.
///
/// Callers name the parts of their prompts, and may name them falsely. A part therefore has
/// evidence in its workspace, which affects no other one, and evidence in common, which
/// counts once several workspaces have lost servers with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    common: Fingerprint,
    scoped: Fingerprint,
    workspace: u32,
}

impl PromptPart {
    /// Creates the part with this id, by [`Fingerprint::of_part_id`], in the requests of a
    /// workspace to a service. `workspace` is a short id.
    pub fn new(service: &str, id: Fingerprint, workspace: u32) -> Self {
        Self::from_common(id.within(service.as_bytes()), workspace)
    }

    pub(crate) fn from_common(common: Fingerprint, workspace: u32) -> Self {
        Self {
            common,
            scoped: common.within(&workspace.to_le_bytes()),
            workspace,
        }
    }

    /// Returns the fingerprint of the part in the requests of all workspaces.
    pub fn common(&self) -> Fingerprint {
        self.common
    }

    /// Returns the fingerprint of the part in the requests of its workspace.
    pub fn scoped(&self) -> Fingerprint {
        self.scoped
    }

    pub(crate) fn workspace(&self) -> u32 {
        self.workspace
    }

    pub(crate) fn keys(&self) -> [Fingerprint; 2] {
        [self.scoped, self.common]
    }
}

/// The content of a request and the parts of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSubjects {
    /// The content.
    pub content: Fingerprint,
    /// The parts that other requests may share.
    pub parts: Vec<PromptPart>,
}

impl RequestSubjects {
    /// Returns whether a fingerprint identifies the content or one of the parts.
    pub fn contains(&self, subject: Fingerprint) -> bool {
        let mut keys = self.parts.iter().flat_map(PromptPart::keys);
        self.content == subject || keys.any(|key| key == subject)
    }
}

/// Whether one or several different ids were recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DistinctIds {
    first: Option<u32>,
    several: bool,
}

impl DistinctIds {
    fn record(&mut self, id: u32) {
        let first = *self.first.get_or_insert(id);
        self.several |= first != id;
    }
}

/// What the crashes of a part have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartEvidence {
    /// Whether it covers the requests of all workspaces.
    is_common: bool,
    workspaces: DistinctIds,
    contents: DistinctIds,
}

impl PartEvidence {
    pub fn new(is_common: bool) -> Self {
        Self {
            is_common,
            workspaces: DistinctIds::default(),
            contents: DistinctIds::default(),
        }
    }

    pub fn record(&mut self, origin: CrashOrigin) {
        self.workspaces.record(origin.workspace);
        self.contents.record(origin.content);
    }

    /// Returns the request that the evidence of one workspace comes from; `None` for the
    /// evidence in common.
    pub fn origin(&self) -> Option<CrashOrigin> {
        if self.is_common {
            return None;
        }
        Some(CrashOrigin {
            workspace: self.workspaces.first?,
            content: self.contents.first?,
        })
    }

    /// Returns whether the evidence affects requests: that in common only once it comes from
    /// several workspaces.
    pub fn applies(&self) -> bool {
        !self.is_common || self.workspaces.several
    }

    /// Returns whether the part may be at fault: one content that runs again may be so instead.
    pub fn may_be_cause(&self) -> bool {
        self.applies() && self.contents.several
    }
}

/// The request that ran a part on a server that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashOrigin {
    /// The short id of its workspace.
    pub workspace: u32,
    /// A short id of its content.
    pub content: u32,
}

/// A run of a part, as evidence for one of its two fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartRun {
    pub origin: CrashOrigin,
    pub is_common: bool,
}
