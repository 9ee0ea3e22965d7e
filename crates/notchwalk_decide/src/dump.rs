//! The node's whole state, made to be read.

use notchwalk_core::Instant;
use serde::Serialize;

use crate::{
    catalog::{GroupName, WorkspaceSlot},
    credit,
    lane::LANES,
    node::{Counters, Node},
};

/// A workspace's state.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceDump {
    /// The name.
    pub name: String,
    /// The share.
    pub weight: f64,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Cost served here since the boot, in microseconds.
    pub served_us: u64,
    /// How far it is ahead of the others, in microseconds at weight 1.
    pub lead_us: u64,
}

/// A backend server's state.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// The number.
    pub id: u32,
    /// What it is.
    pub kind: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The entry that is its home.
    pub home: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// The circuit.
    pub circuit: String,
    /// Models or the service it serves.
    pub serves: Vec<String>,
    /// This entry's share, in thousandths.
    pub share_per_mille: u64,
    /// Requests running from here.
    pub running: u32,
    /// Tokens held from here, long work aside.
    pub held_tokens: u64,
    /// Tokens held for long work, if this entry is its home.
    pub long_held_tokens: u64,
    /// Prompt tokens sent from here and not yet computed.
    pub backlog_tokens: u64,
    /// Memory as last reported, in tokens.
    pub capacity_tokens: u64,
    /// Memory in use as last reported, in tokens.
    pub used_tokens: u64,
    /// Milliseconds since the last report, if one ever came.
    pub report_age_ms: Option<u64>,
    /// Prompt blocks believed to be cached.
    pub cached_blocks: usize,
}

/// A peer's state.
#[derive(Clone, Debug, Serialize)]
pub struct PeerDump {
    /// The VM.
    pub vm: u32,
    /// How it stands.
    pub state: String,
    /// Its boot, if it was ever heard.
    pub boot: Option<u64>,
    /// Whether it leaves.
    pub leaving: bool,
    /// The bundle in force there.
    pub bundle_version: u64,
    /// Milliseconds since it was heard.
    pub heard_ms_ago: Option<u64>,
}

/// A lane with waiting requests.
#[derive(Clone, Debug, Serialize)]
pub struct LaneDump {
    /// The model or service.
    pub group: String,
    /// The length class.
    pub lane: String,
    /// Requests waiting.
    pub waiting: usize,
}

/// The state of one daemon.
#[derive(Clone, Debug, Serialize)]
pub struct NodeDump {
    /// The VM.
    pub vm: u32,
    /// The boot.
    pub boot: u64,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it is ready.
    pub ready: bool,
    /// Whether it drains.
    pub draining: bool,
    /// The bundle in force.
    pub bundle_version: u64,
    /// How long it has been in force here, in milliseconds.
    pub bundle_age_ms: u64,
    /// Requests admitted and not over.
    pub open_requests: usize,
    /// Requests waiting.
    pub queued_requests: usize,
    /// Cancels not confirmed.
    pub open_cancels: usize,
    /// Claim releases not confirmed.
    pub open_claim_releases: usize,
    /// Timers set.
    pub timers: usize,
    /// Retries saved up.
    pub retry_budget: f64,
    /// The fencing number under which this node may give orders, if it holds
    /// the lease.
    pub order_fence: Option<u64>,
    /// Counts since the boot.
    pub counters: Counters,
    /// Lanes with waiting requests.
    pub lanes: Vec<LaneDump>,
    /// Workspaces that have had work.
    pub workspaces: Vec<WorkspaceDump>,
    /// Backend servers.
    pub servers: Vec<ServerDump>,
    /// Peers.
    pub peers: Vec<PeerDump>,
}

impl Node {
    /// Returns the whole state, made to be read.
    pub fn dump(&mut self, now: Instant) -> NodeDump {
        NodeDump {
            vm: self.cfg.vm.0,
            boot: self.cfg.boot.0,
            failure_domain: self.cfg.failure_domain.clone(),
            ready: self.is_ready(),
            draining: self.drain.is_on(),
            bundle_version: self.bundle_version(),
            bundle_age_ms: now.since(self.bundle_since).as_millis() as u64,
            open_requests: self.requests.len(),
            queued_requests: self.queue.len(),
            open_cancels: self.cancels.len(),
            open_claim_releases: self.releases.len(),
            timers: self.timers.len(),
            retry_budget: self.retry.saved(),
            order_fence: self.orders.fence(now),
            counters: self.counters.clone(),
            lanes: dump_lanes(self),
            workspaces: dump_workspaces(self),
            servers: dump_servers(self, now),
            peers: dump_peers(self, now),
        }
    }
}

fn group_text(name: &GroupName) -> String {
    match name {
        GroupName::Model(name) => format!("model {name}"),
        GroupName::Service(name) => format!("service {name}"),
    }
}

fn dump_lanes(node: &Node) -> Vec<LaneDump> {
    let mut lanes = Vec::new();
    for (i, name) in node.catalog.groups.iter().enumerate() {
        for lane in LANES {
            let waiting = node
                .queue
                .lane_len(crate::catalog::GroupKey(i as u32), lane);
            if waiting == 0 {
                continue;
            }
            lanes.push(LaneDump {
                group: group_text(name),
                lane: format!("{lane:?}").to_lowercase(),
                waiting,
            });
        }
    }
    lanes
}

fn dump_workspaces(node: &Node) -> Vec<WorkspaceDump> {
    let mut dumps = Vec::new();
    for (i, workspace) in node.catalog.workspaces.iter().enumerate() {
        let idle = workspace.in_flight == 0 && workspace.queued == 0;
        if idle && workspace.served_us == 0 {
            continue;
        }
        dumps.push(WorkspaceDump {
            name: workspace.name.clone(),
            weight: workspace.weight,
            in_flight: workspace.in_flight,
            queued: workspace.queued,
            served_us: workspace.served_us,
            lead_us: node.queue.lead_us(WorkspaceSlot(i as u32)),
        });
    }
    dumps
}

fn dump_servers(node: &mut Node, now: Instant) -> Vec<ServerDump> {
    let keys: Vec<_> = node.servers.arena.keys().collect();
    let mut dumps = Vec::new();
    for key in keys {
        let id = node.servers.arena[key].id;
        let home = credit::home_of(node, now, id);
        let server = &node.servers.arena[key];
        let groups = server
            .loaded
            .iter()
            .map(|l| &node.catalog.groups[l.group.index()]);
        let used = server.report.as_ref().map_or(0, |(_, r)| r.used_tokens);
        let age = server
            .report
            .as_ref()
            .map(|(at, _)| now.since(*at).as_millis() as u64);
        dumps.push(ServerDump {
            id: id.0,
            kind: format!("{:?}", server.kind),
            failure_domain: server.failure_domain.clone(),
            home: home.0,
            leaving: server.leaving,
            circuit: format!("{:?}", server.circuit),
            serves: groups.map(group_text).collect(),
            share_per_mille: credit::share_of(node, now, key),
            running: server.running,
            held_tokens: server.held,
            long_held_tokens: node.long.held_on(id),
            backlog_tokens: server.whole_backlog(),
            capacity_tokens: server.capacity(),
            used_tokens: used,
            report_age_ms: age,
            cached_blocks: server.prefix.len(),
        });
    }
    dumps.sort_by_key(|d| d.id);
    dumps
}

fn dump_peers(node: &Node, now: Instant) -> Vec<PeerDump> {
    let peers = node.membership.peers().map(|(vm, peer)| PeerDump {
        vm: vm.0,
        state: format!("{:?}", peer.state).to_lowercase(),
        boot: peer.boot.map(|b| b.0),
        leaving: peer.leaving,
        bundle_version: peer.bundle_version,
        heard_ms_ago: peer.heard.map(|at| now.since(at).as_millis() as u64),
    });
    peers.collect()
}
