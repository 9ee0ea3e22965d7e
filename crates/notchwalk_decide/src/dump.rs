//! A serialisable dump of the node's state.

use notchwalk_core::Instant;
use serde::Serialize;

use crate::{
    catalog::{GroupName, WorkspaceSlot},
    credit,
    lane::LANES,
    node::{Counters, Node},
};

/// The state of a workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceDump {
    /// The name.
    pub name: String,
    /// The weight.
    pub weight: f64,
    /// Requests running.
    pub in_flight: u32,
    /// Requests queued.
    pub queued: u32,
    /// Cost served by this node since boot, in microseconds.
    pub served_us: u64,
    /// Lead over the virtual time, in microseconds at weight 1.
    pub lead_us: u64,
}

/// The state of a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// The server's id.
    pub id: u32,
    /// The kind: engine or plain service.
    pub kind: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The node that is its home.
    pub home: u32,
    /// Whether it is draining.
    pub leaving: bool,
    /// The state of the circuit.
    pub circuit: String,
    /// The models or the service it serves.
    pub serves: Vec<String>,
    /// This node's share of the server's time, in thousandths.
    pub share_per_mille: u64,
    /// Requests of this node running there.
    pub running: u32,
    /// Tokens reserved by this node, excluding long work.
    pub held_tokens: u64,
    /// Tokens reserved for long work, if this node is its home.
    pub long_held_tokens: u64,
    /// Prompt tokens sent by this node and not yet prefilled.
    pub backlog_tokens: u64,
    /// Memory capacity as last reported, in tokens.
    pub capacity_tokens: u64,
    /// Memory in use as last reported, in tokens.
    pub used_tokens: u64,
    /// Milliseconds since the last report, if there is one.
    pub report_age_ms: Option<u64>,
    /// Estimated number of cached prompt blocks.
    pub cached_blocks: usize,
}

/// The state of a peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerDump {
    /// The VM it runs on.
    pub vm: u32,
    /// The liveness state.
    pub state: String,
    /// The boot number, if a heartbeat ever arrived.
    pub boot: Option<u64>,
    /// Whether it is draining.
    pub leaving: bool,
    /// The version of its active bundle.
    pub bundle_version: u64,
    /// Milliseconds since its last heartbeat, if there is one.
    pub heard_ms_ago: Option<u64>,
}

/// A lane with queued requests.
#[derive(Clone, Debug, Serialize)]
pub struct LaneDump {
    /// The model or service.
    pub group: String,
    /// The length class.
    pub lane: String,
    /// Requests queued.
    pub waiting: usize,
}

/// The state of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeDump {
    /// The VM.
    pub vm: u32,
    /// The boot number.
    pub boot: u64,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it is ready.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// The version of the active bundle.
    pub bundle_version: u64,
    /// Milliseconds since that bundle became active here.
    pub bundle_age_ms: u64,
    /// Open requests.
    pub open_requests: usize,
    /// Requests queued.
    pub queued_requests: usize,
    /// Unconfirmed cancels.
    pub open_cancels: usize,
    /// Unconfirmed claim releases.
    pub open_claim_releases: usize,
    /// Timers set.
    pub timers: usize,
    /// Retries available.
    pub retry_budget: f64,
    /// The fencing token under which this node may send orders, if it holds
    /// the lease.
    pub order_fence: Option<u64>,
    /// Counts since boot.
    pub counters: Counters,
    /// Lanes with queued requests.
    pub lanes: Vec<LaneDump>,
    /// Workspaces that have had work.
    pub workspaces: Vec<WorkspaceDump>,
    /// Backend servers.
    pub servers: Vec<ServerDump>,
    /// Peers.
    pub peers: Vec<PeerDump>,
}

impl Node {
    /// Returns a dump of the whole state.
    pub fn dump(&mut self, now: Instant) -> NodeDump {
        NodeDump {
            vm: self.cfg.vm.0,
            boot: self.cfg.boot.0,
            failure_domain: self.cfg.failure_domain.clone(),
            ready: self.is_ready(),
            draining: self.drain.is_draining(),
            bundle_version: self.bundle_version(),
            bundle_age_ms: now.since(self.bundle_applied_at).as_millis() as u64,
            open_requests: self.requests.len(),
            queued_requests: self.queue.len(),
            open_cancels: self.cancels.len(),
            open_claim_releases: self.claim_releases.len(),
            timers: self.timers.len(),
            retry_budget: self.retry_budget.available(),
            order_fence: self.orders.fencing_token(now),
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
            leaving: server.draining,
            circuit: format!("{:?}", server.circuit),
            serves: groups.map(group_text).collect(),
            share_per_mille: credit::share_of(node, now, key),
            running: server.running,
            held_tokens: server.reserved,
            long_held_tokens: node.reservation_ledgers.reserved_on(id),
            backlog_tokens: server.total_backlog(),
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
        leaving: peer.draining,
        bundle_version: peer.bundle_version,
        heard_ms_ago: peer.last_seen.map(|at| now.since(at).as_millis() as u64),
    });
    peers.collect()
}
