//! Weighted fair queueing over workspaces, in virtual time.
//!
//! A workspace's virtual time is the cost served for it over its weight. In
//! each lane the workspace with the highest priority goes first and, within a
//! priority, the one with the least virtual time. Every [`FLOOR_PICKS`]th pick
//! looks at virtual time alone, so that no priority starves another for good.
//! A workspace that becomes busy starts at the present virtual time: idleness
//! banks nothing.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use crate::{
    catalog::{GroupKey, WorkspaceSlot},
    lane::{Lane, LANES},
    request::RequestKey,
};

/// Of so many picks, one disregards priorities.
const FLOOR_PICKS: u32 = 8;
/// How far ahead of the others a workspace that comes back may stand, in
/// nanoseconds of engine time at weight 1.
const MAX_LEAD: u64 = 60_000_000_000;
/// Virtual time is kept in thousandths of a microsecond.
const SCALE: f64 = 1_000.0;

/// Cost over weight.
type VirtualTime = u64;
/// A higher priority sorts first.
type Rank = Reverse<u8>;

/// Where a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// The group.
    pub group: GroupKey,
    /// The lane.
    pub lane: Lane,
    /// The workspace.
    pub workspace: WorkspaceSlot,
    /// The request's priority.
    pub priority: u8,
    /// The request's place among all of the node.
    pub seq: u64,
    /// Its expected cost, in microseconds.
    pub cost_us: u64,
}

impl Place {
    fn lane_index(&self) -> usize {
        lane_index(self.group, self.lane)
    }
}

fn lane_index(group: GroupKey, lane: Lane) -> usize {
    group.index() * LANES.len() + lane.index()
}

/// The requests of one workspace in one lane.
#[derive(Debug, Default)]
struct Waiting {
    requests: BTreeMap<(Rank, u64), RequestKey>,
    /// The key under which the workspace stands in the lane's orders, unless
    /// it is parked.
    listed: Option<(Rank, VirtualTime)>,
}

#[derive(Debug, Default)]
struct LaneQueue {
    by_priority: BTreeSet<(Rank, VirtualTime, WorkspaceSlot)>,
    by_time: BTreeSet<(VirtualTime, WorkspaceSlot)>,
    waiting: HashMap<WorkspaceSlot, Waiting>,
    picks: u32,
    len: usize,
}

impl LaneQueue {
    fn unlist(&mut self, slot: WorkspaceSlot) {
        let Some(waiting) = self.waiting.get_mut(&slot) else {
            return;
        };
        if let Some((rank, time)) = waiting.listed.take() {
            self.by_priority.remove(&(rank, time, slot));
            self.by_time.remove(&(time, slot));
        }
    }

    fn list(&mut self, slot: WorkspaceSlot, time: VirtualTime) {
        self.unlist(slot);
        let Some(waiting) = self.waiting.get_mut(&slot) else {
            return;
        };
        let Some(((rank, _), _)) = waiting.requests.first_key_value() else {
            return;
        };
        waiting.listed = Some((*rank, time));
        self.by_priority.insert((*rank, time, slot));
        self.by_time.insert((time, slot));
    }

    fn first(&self) -> Option<(WorkspaceSlot, RequestKey)> {
        let slot = if self.picks % FLOOR_PICKS == FLOOR_PICKS - 1 {
            self.by_time.first()?.1
        } else {
            self.by_priority.first()?.2
        };
        let (_, request) = self.waiting.get(&slot)?.requests.first_key_value()?;
        Some((slot, *request))
    }
}

/// A workspace's place in virtual time.
#[derive(Clone, Debug, Default)]
struct Account {
    time: VirtualTime,
    /// Lanes in which it waits, by index.
    lanes: Vec<usize>,
    parked: bool,
    queued_cost_us: u64,
}

/// The queues of all lanes.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lanes: Vec<LaneQueue>,
    accounts: Vec<Account>,
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

    /// Brings the virtual time forward to that of the least served workspace
    /// that waits.
    fn advance(&mut self) {
        let firsts = self.lanes.iter().filter_map(|lane| lane.by_time.first());
        if let Some(least) = firsts.map(|(time, _)| *time).min() {
            self.now = self.now.max(least);
        }
    }

    /// Adds a request. `weight` is its workspace's.
    pub fn push(&mut self, place: &Place, request: RequestKey, weight: f64) {
        let index = place.lane_index();
        self.ensure_lanes(index);
        if self.account(place.workspace).lanes.is_empty() {
            self.advance();
            let now = self.now;
            let account = self.account(place.workspace);
            account.time = account.time.clamp(now, now + MAX_LEAD);
            self.active_weight += weight;
        }
        let account = self.account(place.workspace);
        account.queued_cost_us += place.cost_us;
        if !account.lanes.contains(&index) {
            account.lanes.push(index);
        }
        let (time, parked) = (account.time, account.parked);
        self.queued_cost_us[index] += place.cost_us;
        self.len += 1;
        let lane = &mut self.lanes[index];
        lane.len += 1;
        let waiting = lane.waiting.entry(place.workspace).or_default();
        let key = (Reverse(place.priority), place.seq);
        waiting.requests.insert(key, request);
        if !parked {
            lane.list(place.workspace, time);
        }
    }

    /// Returns the request that is next in a lane.
    pub fn first(&self, group: GroupKey, lane: Lane) -> Option<(WorkspaceSlot, RequestKey)> {
        self.lanes.get(lane_index(group, lane))?.first()
    }

    /// Takes a request out; tells whether it was there.
    pub fn remove(&mut self, place: &Place, weight: f64) -> bool {
        let index = place.lane_index();
        let Some(lane) = self.lanes.get_mut(index) else {
            return false;
        };
        let Some(waiting) = lane.waiting.get_mut(&place.workspace) else {
            return false;
        };
        let key = (Reverse(place.priority), place.seq);
        if waiting.requests.remove(&key).is_none() {
            return false;
        }
        let emptied = waiting.requests.is_empty();
        lane.len -= 1;
        self.len -= 1;
        self.queued_cost_us[index] -= place.cost_us;
        let account = &mut self.accounts[place.workspace.index()];
        account.queued_cost_us -= place.cost_us;
        let (time, parked) = (account.time, account.parked);
        if !emptied {
            if !parked {
                lane.list(place.workspace, time);
            }
            return true;
        }
        lane.unlist(place.workspace);
        lane.waiting.remove(&place.workspace);
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

    /// Notes that a lane's first request was taken to be served.
    pub fn picked(&mut self, group: GroupKey, lane: Lane) {
        if let Some(lane) = self.lanes.get_mut(lane_index(group, lane)) {
            lane.picks = lane.picks.wrapping_add(1);
        }
        self.advance();
    }

    /// Charges a workspace for cost served, or gives back what was charged too
    /// much.
    pub fn charge(&mut self, slot: WorkspaceSlot, cost_us: i64, weight: f64) {
        let change = (cost_us as f64 * SCALE / weight) as i64;
        let account = self.account(slot);
        account.time = account.time.saturating_add_signed(change);
        self.relist(slot);
    }

    fn relist(&mut self, slot: WorkspaceSlot) {
        let account = &self.accounts[slot.index()];
        for index in &account.lanes {
            if account.parked {
                self.lanes[*index].unlist(slot);
                continue;
            }
            self.lanes[*index].list(slot, account.time);
        }
    }

    /// Passes a workspace over until [`Self::unpark`]: it has as much running
    /// as it may.
    pub fn park(&mut self, slot: WorkspaceSlot) {
        self.account(slot).parked = true;
        self.relist(slot);
    }

    /// Ends a workspace's being passed over; tells whether it was.
    pub fn unpark(&mut self, slot: WorkspaceSlot) -> bool {
        if !self.account(slot).parked {
            return false;
        }
        self.account(slot).parked = false;
        self.relist(slot);
        true
    }

    /// Returns how many requests wait in a lane.
    pub fn lane_len(&self, group: GroupKey, lane: Lane) -> usize {
        self.lanes.get(lane_index(group, lane)).map_or(0, |l| l.len)
    }

    /// Returns how many requests wait in all.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost that waits in a group, in microseconds.
    pub fn group_cost_us(&self, group: GroupKey) -> u64 {
        let lanes = LANES.iter().map(|lane| lane_index(group, *lane));
        lanes.filter_map(|i| self.queued_cost_us.get(i)).sum()
    }

    /// Returns the cost that waits for a workspace, in microseconds.
    pub fn workspace_cost_us(&self, slot: WorkspaceSlot) -> u64 {
        self.accounts
            .get(slot.index())
            .map_or(0, |a| a.queued_cost_us)
    }

    /// Returns the sum of the weights of all workspaces that wait.
    pub fn active_weight(&self) -> f64 {
        self.active_weight
    }

    /// Returns a workspace's lead over the virtual time, in microseconds at
    /// weight 1.
    pub fn lead_us(&self, slot: WorkspaceSlot) -> u64 {
        let time = self.accounts.get(slot.index()).map_or(0, |a| a.time);
        time.saturating_sub(self.now) / SCALE as u64
    }
}
