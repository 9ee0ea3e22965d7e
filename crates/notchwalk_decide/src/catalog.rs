//! Compact keys of workspaces, models and services that are stable across
//! bundle versions.

use std::{collections::HashMap, sync::Arc};

use notchwalk_bundle::{Bundle, ModelKey, ServiceKey, WorkspaceKey};
use notchwalk_core::leading_u64;

/// Identifies a workspace for the lifetime of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceSlot(pub u32);

impl WorkspaceSlot {
    /// Returns the index into the catalog's list.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies a model or plain service for the lifetime of the node. The
/// servers of a group are interchangeable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey(pub u32);

impl GroupKey {
    /// Returns the index into the catalog's list.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Returns the hash that identifies a name between daemons.
pub fn name_hash(name: &str) -> u64 {
    leading_u64(blake3::hash(name.as_bytes()).as_bytes())
}

/// A node's state of a workspace.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    pub name: String,
    /// The weight in the active bundle.
    pub weight: f64,
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Maximum number of running requests.
    pub max_in_flight: u32,
    /// Cost served by this node since boot, in microseconds.
    pub served_us: u64,
}

/// A group's name and kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum GroupName {
    Model(String),
    Service(String),
}

/// The active bundle, and stable keys for the names in it.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    pub bundle: Option<Arc<Bundle>>,
    /// The workspaces of all bundles so far.
    pub workspaces: Vec<WorkspaceState>,
    /// The groups of all bundles so far.
    pub groups: Vec<GroupName>,
    by_workspace_name: HashMap<String, WorkspaceSlot>,
    by_workspace_hash: HashMap<u64, WorkspaceSlot>,
    by_group_name: HashMap<GroupName, GroupKey>,
    slot_of_workspace: Vec<WorkspaceSlot>,
    group_of_model: Vec<GroupKey>,
    group_of_service: Vec<GroupKey>,
}

impl Catalog {
    /// Activates a bundle if it is newer than the active one. Returns whether
    /// it did.
    pub fn apply(&mut self, bundle: Arc<Bundle>) -> bool {
        let present = self.bundle.as_ref().map(|b| b.version);
        if present.is_some_and(|version| version >= bundle.version) {
            return false;
        }
        let workspaces = bundle.workspaces.iter();
        self.slot_of_workspace = workspaces.map(|w| self.slot_for(w)).collect::<Vec<_>>();
        let models = bundle.models.iter();
        let models = models.map(|m| GroupName::Model(m.name.clone()));
        self.group_of_model = models.map(|name| self.group_for(name)).collect::<Vec<_>>();
        let services = bundle.services.iter();
        let services = services.map(|s| GroupName::Service(s.name.clone()));
        self.group_of_service = services
            .map(|name| self.group_for(name))
            .collect::<Vec<_>>();
        self.bundle = Some(bundle);
        true
    }

    fn slot_for(&mut self, workspace: &notchwalk_bundle::Workspace) -> WorkspaceSlot {
        let slot = match self.by_workspace_name.get(&workspace.name) {
            Some(slot) => *slot,
            None => {
                let slot = WorkspaceSlot(self.workspaces.len() as u32);
                self.by_workspace_name.insert(workspace.name.clone(), slot);
                self.by_workspace_hash
                    .insert(name_hash(&workspace.name), slot);
                self.workspaces.push(WorkspaceState {
                    name: workspace.name.clone(),
                    weight: workspace.weight,
                    in_flight: 0,
                    queued: 0,
                    max_in_flight: workspace.max_in_flight,
                    served_us: 0,
                });
                slot
            }
        };
        let state = &mut self.workspaces[slot.index()];
        state.weight = workspace.weight;
        state.max_in_flight = workspace.max_in_flight;
        slot
    }

    fn group_for(&mut self, name: GroupName) -> GroupKey {
        if let Some(group) = self.by_group_name.get(&name) {
            return *group;
        }
        let group = GroupKey(self.groups.len() as u32);
        self.by_group_name.insert(name.clone(), group);
        self.groups.push(name);
        group
    }

    /// Returns the stable key of a workspace of the active bundle.
    pub fn slot(&self, key: WorkspaceKey) -> WorkspaceSlot {
        self.slot_of_workspace[key.index()]
    }

    /// Returns the stable key of a model of the active bundle.
    pub fn model_group(&self, key: ModelKey) -> GroupKey {
        self.group_of_model[key.index()]
    }

    /// Returns the stable key of a service of the active bundle.
    pub fn service_group(&self, key: ServiceKey) -> GroupKey {
        self.group_of_service[key.index()]
    }

    pub fn model_named(&self, name: &str) -> Option<GroupKey> {
        self.by_group_name
            .get(&GroupName::Model(name.to_owned()))
            .copied()
    }

    pub fn service_named(&self, name: &str) -> Option<GroupKey> {
        self.by_group_name
            .get(&GroupName::Service(name.to_owned()))
            .copied()
    }

    pub fn workspace_by_hash(&self, hash: u64) -> Option<WorkspaceSlot> {
        self.by_workspace_hash.get(&hash).copied()
    }

    pub fn group_hash(&self, group: GroupKey) -> u64 {
        let (GroupName::Model(text) | GroupName::Service(text)) = &self.groups[group.index()];
        name_hash(text)
    }

    pub fn workspace(&mut self, slot: WorkspaceSlot) -> &mut WorkspaceState {
        &mut self.workspaces[slot.index()]
    }
}
