//! Weighted fair queueing over workspaces, in virtual time.
//!
//! A workspace's virtual time is the cost served for it divided by its weight.
//! In each lane the workspace with the highest priority goes first and, within
//! a priority, the one with the least virtual time. Every
//! [`ANTI_STARVATION_INTERVAL`]th pick ignores priorities, so that none
//! starves. A workspace that becomes busy starts at the current virtual time,
//! so idle time earns no credit.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use crate::{
    catalog::{GroupKey, WorkspaceSlot},
    lane::{Lane, LANES},
    request::RequestKey,
};

/// One of this many picks ignores priorities.
const ANTI_STARVATION_INTERVAL: u32 = 8;
/// Maximum lead of a workspace that becomes busy, in nanoseconds of
/// engine time at weight 1.
const MAX_LEAD_NS: u64 = 60_000_000_000;
/// Converts costs, in microseconds, to virtual time, in nanoseconds.
const NS_PER_US: f64 = 1_000.0;

/// Cost over weight, in nanoseconds.
type VirtualTime = u64;
/// Higher priorities sort first.
type Rank = Reverse<u8>;

/// The position of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub group: GroupKey,
    pub lane: Lane,
    pub workspace: WorkspaceSlot,
    pub priority: u8,
    /// The request's sequence number on this node.
    pub seq: u64,
    /// The expected cost, in microseconds.
    pub cost_us: u64,
}

impl QueuePosition {
    fn lane_index(&self) -> usize {
        lane_index(self.group, self.lane)
    }
}

fn lane_index(group: GroupKey, lane: Lane) -> usize {
    group.index() * LANES.len() + lane.index()
}

/// The requests of one workspace in one lane.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    requests: BTreeMap<(Rank, u64), RequestKey>,
    /// The key of the workspace in the lane's ordered sets; `None` while it is
    /// parked.
    linked: Option<(Rank, VirtualTime)>,
}

#[derive(Debug, Default)]
struct LaneQueue {
    by_priority: BTreeSet<(Rank, VirtualTime, WorkspaceSlot)>,
    by_time: BTreeSet<(VirtualTime, WorkspaceSlot)>,
    waiting: HashMap<WorkspaceSlot, WorkspaceQueue>,
    picks: u32,
    len: usize,
}

impl LaneQueue {
    fn unlink(&mut self, slot: WorkspaceSlot) {
        let Some(waiting) = self.waiting.get_mut(&slot) else {
            return;
        };
        if let Some((rank, time)) = waiting.linked.take() {
            self.by_priority.remove(&(rank, time, slot));
            self.by_time.remove(&(time, slot));
        }
    }

    fn link(&mut self, slot: WorkspaceSlot, time: VirtualTime) {
        self.unlink(slot);
        let Some(waiting) = self.waiting.get_mut(&slot) else {
            return;
        };
        let Some(((rank, _), _)) = waiting.requests.first_key_value() else {
            return;
        };
        waiting.linked = Some((*rank, time));
        self.by_priority.insert((*rank, time, slot));
        self.by_time.insert((time, slot));
    }

    fn first(&self) -> Option<(WorkspaceSlot, RequestKey)> {
        let slot = if self.picks % ANTI_STARVATION_INTERVAL == ANTI_STARVATION_INTERVAL - 1 {
            self.by_time.first()?.1
        } else {
            self.by_priority.first()?.2
        };
        let (_, request) = self.waiting.get(&slot)?.requests.first_key_value()?;
        Some((slot, *request))
    }
}

/// The virtual time and queued cost of a workspace.
#[derive(Clone, Debug, Default)]
struct Account {
    time: VirtualTime,
    /// Indices of the lanes in which it has requests.
    lanes: Vec<usize>,
    /// Whether it is skipped because it has reached its limit of running requests.
    parked: bool,
    queued_cost_us: u64,
}

/// The queues of all lanes.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lanes: Vec<LaneQueue>,
    accounts: Vec<Account>,
    /// The current virtual time of the queue.
    now: VirtualTime,
    queued_cost_us: Vec<u64>,
    active_weight: f64,
    len: usize,
}

impl FairQueue {
    fn account(&mut self, slot: WorkspaceSlot) -> &mut Account {
        if self.accounts.len() <= slot.index() {
            self.accounts.resize(slot.index() + 1, Account::default());
        }
        &mut self.accounts[slot.index()]
    }

    fn ensure_lanes(&mut self, index: usize) {
        if self.lanes.len() <= index {
            self.lanes.resize_with(index + 1, LaneQueue::default);
            self.queued_cost_us.resize(index + 1, 0);
        }
    }

    /// Advances the virtual time to that of the least served workspace with
    /// queued requests.
    fn advance(&mut self) {
        let firsts = self.lanes.iter().filter_map(|lane| lane.by_time.first());
        if let Some(least) = firsts.map(|(time, _)| *time).min() {
            self.now = self.now.max(least);
        }
    }

    /// Adds a request of a workspace with the given weight.
    pub fn push(&mut self, position: &QueuePosition, request: RequestKey, weight: f64) {
        let index = position.lane_index();
        self.ensure_lanes(index);
        if self.account(position.workspace).lanes.is_empty() {
            self.advance();
            let now = self.now;
            let account = self.account(position.workspace);
            account.time = account.time.clamp(now, now + MAX_LEAD_NS);
            self.active_weight += weight;
        }
        let account = self.account(position.workspace);
        account.queued_cost_us += position.cost_us;
        if !account.lanes.contains(&index) {
            account.lanes.push(index);
        }
        let (time, parked) = (account.time, account.parked);
        self.queued_cost_us[index] += position.cost_us;
        self.len += 1;
        let lane = &mut self.lanes[index];
        lane.len += 1;
        let waiting = lane.waiting.entry(position.workspace).or_default();
        let key = (Reverse(position.priority), position.seq);
        waiting.requests.insert(key, request);
        if !parked {
            lane.link(position.workspace, time);
        }
    }

    /// Returns the next request of a lane.
    pub fn first(&self, group: GroupKey, lane: Lane) -> Option<(WorkspaceSlot, RequestKey)> {
        self.lanes.get(lane_index(group, lane))?.first()
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, position: &QueuePosition, weight: f64) -> bool {
        let index = position.lane_index();
        let Some(lane) = self.lanes.get_mut(index) else {
            return false;
        };
        let Some(waiting) = lane.waiting.get_mut(&position.workspace) else {
            return false;
        };
        let key = (Reverse(position.priority), position.seq);
        if waiting.requests.remove(&key).is_none() {
            return false;
        }
        let emptied = waiting.requests.is_empty();
        lane.len -= 1;
        self.len -= 1;
        self.queued_cost_us[index] -= position.cost_us;
        let account = &mut self.accounts[position.workspace.index()];
        account.queued_cost_us -= position.cost_us;
        let (time, parked) = (account.time, account.parked);
        if !emptied {
            if !parked {
                lane.link(position.workspace, time);
            }
            return true;
        }
        lane.unlink(position.workspace);
        lane.waiting.remove(&position.workspace);
        account.lanes.retain(|i| *i != index);
        if account.lanes.is_empty() {
            self.active_weight = (self.active_weight - weight).max(0.0);
        }
        if self.len == 0 {
            self.now = self.now.max(time);
            self.active_weight = 0.0;
        }
        true
    }

    /// Counts a pick from a lane.
    pub fn record_pick(&mut self, group: GroupKey, lane: Lane) {
        if let Some(lane) = self.lanes.get_mut(lane_index(group, lane)) {
            lane.picks = lane.picks.wrapping_add(1);
        }
        self.advance();
    }

    /// Charges a workspace for cost served; a negative cost is a refund.
    pub fn charge(&mut self, slot: WorkspaceSlot, cost_us: i64, weight: f64) {
        let change = (cost_us as f64 * NS_PER_US / weight) as i64;
        let account = self.account(slot);
        account.time = account.time.saturating_add_signed(change);
        self.relink(slot);
    }

    fn relink(&mut self, slot: WorkspaceSlot) {
        let account = &self.accounts[slot.index()];
        for index in &account.lanes {
            if account.parked {
                self.lanes[*index].unlink(slot);
                continue;
            }
            self.lanes[*index].link(slot, account.time);
        }
    }

    /// Skips a workspace until [`Self::unpark`], because it has reached its
    /// limit of running requests.
    pub fn park(&mut self, slot: WorkspaceSlot) {
        self.account(slot).parked = true;
        self.relink(slot);
    }

    /// Stops skipping a workspace. Returns whether it was parked.
    pub fn unpark(&mut self, slot: WorkspaceSlot) -> bool {
        if !self.account(slot).parked {
            return false;
        }
        self.account(slot).parked = false;
        self.relink(slot);
        true
    }

    /// Returns the number of requests queued in a lane.
    pub fn lane_len(&self, group: GroupKey, lane: Lane) -> usize {
        self.lanes.get(lane_index(group, lane)).map_or(0, |l| l.len)
    }

    /// Returns the number of requests queued in all lanes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost queued for a group, in microseconds.
    pub fn group_cost_us(&self, group: GroupKey) -> u64 {
        let lanes = LANES.iter().map(|lane| lane_index(group, *lane));
        lanes.filter_map(|i| self.queued_cost_us.get(i)).sum()
    }

    /// Returns the cost queued for a workspace, in microseconds.
    pub fn workspace_cost_us(&self, slot: WorkspaceSlot) -> u64 {
        self.accounts
            .get(slot.index())
            .map_or(0, |a| a.queued_cost_us)
    }

    /// Returns the sum of the weights of all workspaces with queued requests.
    pub fn active_weight(&self) -> f64 {
        self.active_weight
    }

    /// Returns a workspace's lead over the virtual time, in microseconds at
    /// weight 1.
    pub fn lead_us(&self, slot: WorkspaceSlot) -> u64 {
        let time = self.accounts.get(slot.index()).map_or(0, |a| a.time);
        time.saturating_sub(self.now) / NS_PER_US as u64
    }
}
