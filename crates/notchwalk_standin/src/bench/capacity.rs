//! Measures the control-plane cost of a node over fleet sizes, fits a line to each cost and
//! extrapolates it to the target size. `docs/CAPACITY.md` contains the printed table.

use std::{
    sync::Arc,
    time::{Duration, Instant as WallInstant},
};

use notchwalk_bundle::Bundle;
use notchwalk_core::{BootNumber, Instant, ServerId, VmId};
use notchwalk_decide::{Effect, Event, Node, NodeConfig, PeerRecord, ServerKind, ServerRecord};
use notchwalk_wire::{to_cbor, Heartbeat, LoadReport, LoadedModel, PeerMessage};
use serde_json::json;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    fleet::{Fleet, FleetConfig},
    operators::{BundleSpec, Operators, WorkspaceSpec},
    report,
};

/// Numbers of peers, servers and workspaces at which the costs are measured.
const PEERS: [usize; 4] = [2, 4, 6, 8];
const SERVERS: [usize; 4] = [20, 40, 80, 160];
const WORKSPACES: [usize; 4] = [1_000, 5_000, 15_000, 37_000];
/// Target sizes.
const TARGET_PEERS: f64 = 8.0;
const TARGET_SERVERS: f64 = 5_500.0;
const TARGET_WORKSPACES: f64 = 37_000.0;
const TARGET_CHANGES_PER_DAY: f64 = 3_800.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Load polls of one node per engine and second.
const POLLS_PER_S: f64 = 5.0;

/// A least-squares line through measured points.
#[derive(Clone, Copy, Debug)]
struct Fit {
    base: f64,
    slope: f64,
    /// Largest deviation of a point, as a fraction of the largest value.
    residual: f64,
}

impl Fit {
    fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let sum_xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let sum_xx: f64 = points.iter().map(|p| (p.0 - x) * (p.0 - x)).sum();
        let slope = sum_xy / sum_xx;
        let base = y - slope * x;
        let deviations = points.iter().map(|p| (base + slope * p.0 - p.1).abs());
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::EPSILON, f64::max);
        Self {
            base,
            slope,
            residual: deviations.fold(0.0, f64::max) / largest,
        }
    }

    fn value_at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// A row of the table.
struct Row {
    what: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    fit: Fit,
    target: f64,
}

impl Row {
    fn new(
        what: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
        target_size: f64,
    ) -> Self {
        let fit = Fit::new(&points);
        Self {
            what,
            unit,
            target: fit.value_at(target_size),
            points,
            fit,
        }
    }
}

pub fn run(options: &BenchOptions) -> Metrics {
    let costs_by_peers: Vec<_> = PEERS.iter().map(|n| control_cost(*n, 20)).collect();
    let costs_by_servers: Vec<_> = SERVERS.iter().map(|n| control_cost(5, *n)).collect();
    let points = |sizes: &[usize], costs: &[ControlCost], f: fn(&ControlCost) -> f64| {
        let pairs = sizes.iter().zip(costs);
        pairs
            .map(|(n, cost)| (*n as f64, f(cost)))
            .collect::<Vec<_>>()
    };
    let costs_by_workspaces: Vec<_> = WORKSPACES.iter().map(|n| bundle_cost(*n)).collect();
    let workspace_points = |f: fn(&BundleCost) -> f64| {
        let pairs = WORKSPACES.iter().zip(&costs_by_workspaces);
        pairs
            .map(|(n, cost)| (*n as f64, f(cost)))
            .collect::<Vec<_>>()
    };
    let rows = [
        Row::new(
            "heartbeats sent, by peers",
            "B/s",
            points(&PEERS, &costs_by_peers, |c| c.bytes_per_s),
            TARGET_PEERS,
        ),
        Row::new(
            "reducer for heartbeats, by peers",
            "us/s",
            points(&PEERS, &costs_by_peers, |c| c.cpu_us_per_s),
            TARGET_PEERS,
        ),
        Row::new(
            "heartbeats sent, by servers",
            "B/s",
            points(&SERVERS, &costs_by_servers, |c| c.bytes_per_s),
            TARGET_SERVERS,
        ),
        Row::new(
            "reducer for reports, by servers",
            "us/s",
            points(&SERVERS, &costs_by_servers, |c| c.cpu_us_per_s),
            TARGET_SERVERS,
        ),
        Row::new(
            "bundle in memory, by workspaces",
            "KB",
            workspace_points(|c| c.memory_kb),
            TARGET_WORKSPACES,
        ),
        Row::new(
            "bundle parsed and put in force, by workspaces",
            "ms",
            workspace_points(|c| c.apply_ms),
            TARGET_WORKSPACES,
        ),
        Row::new(
            "workspaces part of a bundle",
            "KB",
            workspace_points(|c| c.largest_part_kb),
            TARGET_WORKSPACES,
        ),
    ];
    print_table(&rows);
    let idle_fleet = measure_idle_fleet(options);
    let mut metrics = Metrics::new();
    metrics.insert(
        "control_bytes_per_s".to_owned(),
        rounded(idle_fleet.bytes_per_s, 0),
    );
    metrics.insert(
        "control_core_percent".to_owned(),
        rounded(idle_fleet.core_percent, 2),
    );
    metrics.insert("rss_mb".to_owned(), rounded(idle_fleet.rss_mb, 1));
    let change_ms = rows[5].target * TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let target_us = rows[1].target + rows[3].target + change_ms * 1_000.0;
    let report_bytes_per_s = load_report_bytes() * POLLS_PER_S * TARGET_SERVERS;
    metrics.insert(
        "target".to_owned(),
        json!({
            "heartbeat_bytes_per_s": rows[0].target.round(),
            "report_bytes_per_s_if_all_are_polled": report_bytes_per_s.round(),
            "reducer_core_percent": (target_us / 10_000.0 * 100.0).round() / 100.0,
            "bundle_mb": (rows[4].target / 100.0).round() / 10.0,
        }),
    );
    let measured = rows.iter().map(|row| {
        json!({
            "what": row.what, "unit": row.unit, "points": row.points,
            "base": row.fit.base, "slope": row.fit.slope, "residual": row.fit.residual,
            "target": row.target,
        })
    });
    metrics.insert("lines".to_owned(), measured.collect());
    metrics
}

fn print_table(rows: &[Row]) {
    let mut table = report::table(&["what", "unit", "points", "slope", "residual", "at target"]);
    for row in rows {
        let points = row.points.iter().map(|(x, y)| format!("{x}: {y:.1}"));
        table.add_row([
            row.what.to_owned(),
            row.unit.to_owned(),
            points.collect::<Vec<_>>().join(", "),
            format!("{:.3}", row.fit.slope),
            format!("{:.1}%", row.fit.residual * 100.0),
            format!("{:.0}", row.target),
        ]);
    }
    println!("{table}");
}

struct ControlCost {
    bytes_per_s: f64,
    cpu_us_per_s: f64,
}

fn sample_load_report() -> LoadReport {
    LoadReport {
        capacity_tokens: 400_000,
        used_tokens: 123_456,
        running: 12,
        waiting: 1,
        slots: 64,
        backlog_tokens: 12_345,
        backlog_by_priority: vec![(125, 345), (45, 12_000)],
        prefill_token_ns: 40_000,
        decode_token_ns: 100_000,
        loaded: vec![LoadedModel {
            model: "lampwise".to_owned(),
            versions: vec!["v1".to_owned()],
            adapters: vec!["tour".to_owned()],
        }],
        draining: false,
        evictions: 3,
    }
}

fn load_report_bytes() -> f64 {
    serde_json::to_vec(&sample_load_report()).map_or(0.0, |json| json.len() as f64)
}

/// Runs one node with peers and servers but without requests, in virtual time.
fn control_cost(peers: usize, servers: usize) -> ControlCost {
    const SECONDS: u64 = 30;
    const TICK_MS: u64 = 5;
    let mut node = Node::new(NodeConfig::new(VmId(0), BootNumber(1), "d0", 1));
    let mut out = Vec::new();
    let mut now = Instant::from_millis(10_000);
    node.step(now, Event::Bundle(Arc::new(small_bundle(10))), &mut out);
    let records = (0..servers).map(|id| ServerRecord {
        id: ServerId(id as u32),
        kind: ServerKind::Engine,
        failure_domain: format!("d{}", id % 3),
        draining: false,
    });
    let nodes = (0..=peers).map(|id| PeerRecord {
        vm: VmId(id as u32),
        caller_address: "127.0.0.1:1".to_owned(),
        failure_domain: format!("d{}", id % 3),
        draining: false,
    });
    let vm_list = Event::VmList {
        servers: records.collect(),
        nodes: nodes.collect(),
    };
    node.step(now, vm_list, &mut out);
    let (mut bytes, mut cpu_time) = (0_usize, Duration::ZERO);
    for ms in (0..SECONDS * 1_000).step_by(TICK_MS as usize) {
        let mut events = vec![Event::Tick];
        if ms % 500 == 0 {
            events.extend((1..=peers).map(|vm| peer_heartbeat(vm as u32, ms / 500 + 1)));
        }
        if ms % 200 == 0 {
            events.extend((0..servers).map(|id| Event::Load {
                server: ServerId(id as u32),
                report: Box::new(sample_load_report()),
            }));
        }
        out.clear();
        let started = WallInstant::now();
        for event in events {
            node.step(now, event, &mut out);
        }
        cpu_time += started.elapsed();
        for effect in &out {
            if let Effect::Peer { message, .. } = effect {
                bytes += to_cbor(message).len();
            }
        }
        now = now.after(Duration::from_millis(TICK_MS));
    }
    ControlCost {
        bytes_per_s: bytes as f64 / SECONDS as f64,
        cpu_us_per_s: cpu_time.as_micros() as f64 / SECONDS as f64,
    }
}

fn peer_heartbeat(vm: u32, seq: u64) -> Event {
    let heartbeat = Heartbeat {
        vm: VmId(vm),
        boot: BootNumber(1),
        seq,
        draining: false,
        bundle_version: 1,
        peer_contacts: Vec::new(),
        demand: vec![(1, 4_000)],
        shares: Vec::new(),
        served: Vec::new(),
        draining_servers: Vec::new(),
        long_reservations: Vec::new(),
    };
    Event::Peer {
        from: VmId(vm),
        message: PeerMessage::Heartbeat(heartbeat),
    }
}

fn bundle_spec(workspaces: usize) -> BundleSpec {
    let workspaces = (0..workspaces).map(|i| WorkspaceSpec::new(&format!("workspace-{i}"), 1.0));
    BundleSpec {
        model: "lampwise".to_owned(),
        context_tokens: 1_100_000,
        versions: vec!["v1".to_owned()],
        checks_fencing_token: true,
        service: "bookdesk".to_owned(),
        workspaces: workspaces.collect(),
        policy: String::new(),
    }
}

fn small_bundle(workspaces: usize) -> Bundle {
    let parts = Operators::new(1).parts(&bundle_spec(workspaces));
    Bundle::parse(1, &parts).expect("invalid bundle")
}

struct BundleCost {
    memory_kb: f64,
    apply_ms: f64,
    largest_part_kb: f64,
}

/// Measures the memory of a bundle, by the growth of this process, and the time to parse and
/// apply it.
fn bundle_cost(workspaces: usize) -> BundleCost {
    const COPIES: u32 = 4;
    let parts = Operators::new(1).parts(&bundle_spec(workspaces));
    let largest_bytes = parts.iter().map(|p| p.text.len()).max().unwrap_or(0);
    let rss_before = super::rss_mb();
    let mut nodes = Vec::new();
    let started = WallInstant::now();
    for i in 0..COPIES {
        let bundle = Bundle::parse(1, &parts).expect("invalid bundle");
        let mut node = Node::new(NodeConfig::new(VmId(i), BootNumber(1), "d", 1));
        let mut out = Vec::new();
        node.step(
            Instant::from_millis(1),
            Event::Bundle(Arc::new(bundle)),
            &mut out,
        );
        nodes.push(node);
    }
    let apply_ms = started.elapsed().as_secs_f64() * 1_000.0 / f64::from(COPIES);
    let rss_growth_kb = (super::rss_mb() - rss_before).max(0.0) * 1_000.0 / f64::from(COPIES);
    drop(nodes);
    BundleCost {
        memory_kb: rss_growth_kb,
        apply_ms,
        largest_part_kb: largest_bytes as f64 / 1_000.0,
    }
}

struct IdleFleet {
    bytes_per_s: f64,
    core_percent: f64,
    rss_mb: f64,
}

/// Measures an idle fleet of six nodes and twenty engines.
fn measure_idle_fleet(options: &BenchOptions) -> IdleFleet {
    let config = FleetConfig::new(policy::workspaces()).with_node_program(policy::this_program());
    let fleet = Fleet::start(config);
    let node = fleet.nodes[0].as_ref().expect("node is not running");
    let pid = node.process_id().expect("node is not a process");
    let operator = node.addresses.operator;
    let bytes = || {
        let text = fleet.get_text(operator, "/metrics");
        let line = text
            .lines()
            .find(|l| l.starts_with("notchwalk_peer_bytes_total "));
        line.and_then(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let (bytes_before, cpu_before) = (bytes(), process_cpu_s(pid));
    let duration = Duration::from_secs(options.seconds);
    std::thread::sleep(duration);
    IdleFleet {
        bytes_per_s: (bytes() - bytes_before) / duration.as_secs_f64(),
        core_percent: (process_cpu_s(pid) - cpu_before) / duration.as_secs_f64() * 100.0,
        rss_mb: process_rss_mb(pid),
    }
}

fn process_cpu_s(pid: u32) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or("");
    // User and system time.
    let fields = after_name.split(' ').skip(11).take(2);
    fields.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_S
}

fn process_rss_mb(pid: u32) -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}
