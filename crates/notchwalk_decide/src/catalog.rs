//! Workspaces, models and services by small keys that stay the same from one
//! bundle version to the next.

use std::{collections::HashMap, sync::Arc};

use notchwalk_bundle::{Bundle, ModelKey, ServiceKey, WorkspaceKey};
use notchwalk_core::leading_u64;

/// Names a workspace for as long as the node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceSlot(pub u32);

impl WorkspaceSlot {
    /// Returns the place in the node's list.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Names a model or a plain service for as long as the node runs: servers of
/// one group can stand in for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey(pub u32);

impl GroupKey {
    /// Returns the place in the node's list.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Returns the hash under which a name is known between daemons.
pub fn name_hash(name: &str) -> u64 {
    leading_u64(blake3::hash(name.as_bytes()).as_bytes())
}

/// What a node remembers of a workspace.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    /// The name.
    pub name: String,
    /// The share; the latest bundle's.
    pub weight: f64,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests it may have running.
    pub max_in_flight: u32,
    /// Cost served for it by this node since the boot, in microseconds.
    pub served_us: u64,
}

/// A group's name and kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum GroupName {
    /// A model.
    Model(String),
    /// A plain service.
    Service(String),
}

/// The bundle in force and the lasting keys of what it names.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    /// The bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// All workspaces ever named.
    pub workspaces: Vec<WorkspaceState>,
    /// All groups ever named.
    pub groups: Vec<GroupName>,
    by_workspace_name: HashMap<String, WorkspaceSlot>,
    by_workspace_hash: HashMap<u64, WorkspaceSlot>,
    by_group_name: HashMap<GroupName, GroupKey>,
    slot_of_workspace: Vec<WorkspaceSlot>,
    group_of_model: Vec<GroupKey>,
    group_of_service: Vec<GroupKey>,
}

impl Catalog {
    /// Puts a bundle into force unless it is older than the present one;
    /// tells whether it did.
    pub fn put_in_force(&mut self, bundle: Arc<Bundle>) -> bool {
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

    /// Returns the lasting key of a workspace of the bundle in force.
    pub fn slot(&self, key: WorkspaceKey) -> WorkspaceSlot {
        self.slot_of_workspace[key.index()]
    }

    /// Returns the lasting key of a model of the bundle in force.
    pub fn model_group(&self, key: ModelKey) -> GroupKey {
        self.group_of_model[key.index()]
    }

    /// Returns the lasting key of a service of the bundle in force.
    pub fn service_group(&self, key: ServiceKey) -> GroupKey {
        self.group_of_service[key.index()]
    }

    /// Finds a model's group by name.
    pub fn model_named(&self, name: &str) -> Option<GroupKey> {
        self.by_group_name
            .get(&GroupName::Model(name.to_owned()))
            .copied()
    }

    /// Finds a service's group by name.
    pub fn service_named(&self, name: &str) -> Option<GroupKey> {
        self.by_group_name
            .get(&GroupName::Service(name.to_owned()))
            .copied()
    }

    /// Finds a workspace by the hash of its name.
    pub fn workspace_hashed(&self, hash: u64) -> Option<WorkspaceSlot> {
        self.by_workspace_hash.get(&hash).copied()
    }

    /// Returns the hash of a group's name.
    pub fn group_hash(&self, group: GroupKey) -> u64 {
        let (GroupName::Model(text) | GroupName::Service(text)) = &self.groups[group.index()];
        name_hash(text)
    }

    /// Returns a workspace's state.
    pub fn workspace(&mut self, slot: WorkspaceSlot) -> &mut WorkspaceState {
        &mut self.workspaces[slot.index()]
    }
}
