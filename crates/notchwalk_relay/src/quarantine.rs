//! Logs, counts and persists the router's findings about requests that crash servers.
//!
//! Quarantines are persisted in the platform's store: if all nodes restart together,
//! each such request would otherwise crash further servers before it is quarantined
//! again. Quarantines are stored in the table of presence records, which each node
//! reads when it starts.

use std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use notchwalk_http::prelude::*;
use notchwalk_platform::{Row, RowWrite};
use notchwalk_quarantine::{
    Crash, EndReason, Fingerprint, QuarantineDeclared, QuarantineFinding, SubjectKind, Verdict,
    MAX_RECORDED_PARTS,
};
use notchwalk_route::{Event, Fleet};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{presence_record::PRESENCE_TABLE, shell::Shell};

/// Key prefix of quarantines; names of nodes contain no slash.
const KEY_PREFIX: &str = "quarantine/";
/// What precedes the fingerprint of a part of prompts in a key.
const PART_PREFIX: &str = "part-";
/// How long an ended quarantine's row is retained before a node that reads it removes
/// it.
const RETENTION_AFTER_END: Duration = Duration::from_secs(3_600);

/// A persisted quarantine.
#[derive(Debug, Serialize_tuple, Deserialize_tuple)]
struct QuarantineRow {
    /// When it ends, by the store's clock, in milliseconds since its origin.
    until_ms: u64,
    /// How often the content was quarantined so far.
    times: u32,
}

fn row_key(content: Fingerprint, kind: SubjectKind) -> String {
    let part_prefix = match kind {
        SubjectKind::Content => "",
        SubjectKind::Part => PART_PREFIX,
    };
    format!("{KEY_PREFIX}{part_prefix}{content}")
}

/// Parses the key of a quarantine; `None` if it is malformed.
fn parse_row_key(key: &str) -> Option<(Fingerprint, SubjectKind)> {
    let subject = key.strip_prefix(KEY_PREFIX)?;
    let (fingerprint, kind) = match subject.strip_prefix(PART_PREFIX) {
        Some(fingerprint) => (fingerprint, SubjectKind::Part),
        None => (subject, SubjectKind::Content),
    };
    Some((fingerprint.parse().ok()?, kind))
}

/// Returns the name of a subject's fingerprint in logs and in the state.
pub(crate) fn kind_label(kind: SubjectKind) -> &'static str {
    match kind {
        SubjectKind::Content => "content",
        SubjectKind::Part => "part",
    }
}

/// Returns whether a row holds a quarantine.
pub(crate) fn is_quarantine(row: &Row) -> bool {
    row.key.starts_with(KEY_PREFIX)
}

/// Logs, counts and persists a finding.
pub(crate) fn handle_finding(shell: &Rc<Shell>, finding: QuarantineFinding) {
    match finding {
        QuarantineFinding::Crashed {
            content,
            kind,
            crash,
            incidents,
        } => log_crash(shell, content, kind, &crash, incidents),
        QuarantineFinding::Quarantined(quarantined) => {
            log_quarantined(shell, &quarantined);
            if quarantined.declared_locally && quarantined.parts <= MAX_RECORDED_PARTS {
                monoio::spawn(persist(
                    shell.clone(),
                    quarantined.content,
                    quarantined.kind,
                    quarantined.quarantine_count,
                ));
            }
        }
        QuarantineFinding::Ended {
            content,
            kind,
            reason,
        } => {
            let facts = format!("{}={content} reason={reason:?}", kind_label(kind));
            LogEvent::new(LogEventKind::QuarantineEnded, facts).emit();
            if matches!(reason, EndReason::Succeeded | EndReason::Released) {
                monoio::spawn(remove(shell.clone(), content, kind));
            }
        }
    }
}

/// Probes whether a server's address accepts connections. Only a refused connection
/// proves that nothing listens; a network partition does not.
pub(crate) async fn probe(shell: Rc<Shell>, server: u32, addr: SocketAddr) {
    match shell.client.connection(addr, ConnectionReuse::Fresh).await {
        Err(HttpError::Connect(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            shell.step(Event::PortClosed { server });
        }
        Err(e) => log::debug!("could not determine whether {addr} accepts connections: {e}"),
        Ok(_) => {}
    }
}

fn log_crash(
    shell: &Shell,
    content: Fingerprint,
    kind: SubjectKind,
    crash: &Crash,
    incidents: u32,
) {
    shell.metrics.suspected_crashes.inc();
    let router = shell.router.borrow();
    let facts = format!(
        "{}={content} server={} others={} silent={} moments={incidents}",
        kind_label(kind),
        server_name(router.fleet(), crash.server),
        crash.other_requests,
        crash.silent
    );
    LogEvent::new(LogEventKind::CrashSuspected, facts).emit();
}

fn log_quarantined(shell: &Shell, quarantined: &QuarantineDeclared) {
    if quarantined.declared_locally {
        shell.metrics.quarantines.inc();
    }
    let router = shell.router.borrow();
    let (fleet, now) = (router.fleet(), shell.now());
    let crashes = quarantined.crashes.iter().map(|crash| {
        let server = server_name(fleet, crash.server);
        let age = now.since(crash.at).as_millis();
        format!("{server}:{age}ms:confirmed={}", crash.confirmed)
    });
    let crashes: Vec<String> = crashes.collect();
    let facts = format!(
        "{}={} parts={} lasts_s={} times={} declared_here={} crashes={}",
        kind_label(quarantined.kind),
        quarantined.content,
        quarantined.parts,
        quarantined.duration.as_secs(),
        quarantined.quarantine_count,
        quarantined.declared_locally,
        crashes.join(",")
    );
    LogEvent::new(LogEventKind::RequestQuarantined, facts).emit();
}

/// Returns the instance id of the server with this short id; the short id itself if
/// the server was removed.
fn server_name(fleet: &Fleet, short_id: u32) -> String {
    let known = fleet.by_short_id(short_id).and_then(|key| fleet.get(key));
    known.map_or_else(
        || format!("{short_id:08x}"),
        |server| server.record().instance.clone(),
    )
}

/// Persists a quarantine, retrying while it is active.
async fn persist(shell: Rc<Shell>, content: Fingerprint, kind: SubjectKind, times: u32) {
    let mut backoff = Backoff::new(Duration::from_millis(200));
    loop {
        let now = shell.now();
        let until = shell
            .router
            .borrow()
            .quarantine()
            .quarantined_until(content, now);
        let Some(until) = until else {
            return;
        };
        if let Some(store_now_ms) = shell.store_now_ms() {
            let left_ms = until.since(now).as_millis() as u64;
            let until_ms = store_now_ms.saturating_add(left_ms);
            let row = QuarantineRow { until_ms, times };
            if write(&shell, content, kind, Some(&row)).await {
                return;
            }
        }
        backoff.wait().await;
    }
}

/// Persists the active quarantines that are missing from the store; returns their
/// number.
pub(crate) async fn persist_missing(shell: &Rc<Shell>, stored: &HashSet<String>) -> usize {
    let now = shell.now();
    let missing: Vec<(Fingerprint, SubjectKind, u32)> = {
        let router = shell.router.borrow();
        let suspects = router.quarantine().suspect_views(now).into_iter();
        let quarantined = suspects.filter(|s| {
            matches!(s.verdict, Verdict::Quarantined { .. }) && s.parts <= MAX_RECORDED_PARTS
        });
        let missing = quarantined.filter(|s| !stored.contains(&row_key(s.content, s.kind)));
        let missing = missing.map(|s| (s.content, s.kind, s.quarantine_count));
        missing.collect()
    };
    for &(content, kind, times) in &missing {
        persist(shell.clone(), content, kind, times).await;
    }
    missing.len()
}

/// Removes a quarantine from the store, retrying until it succeeds.
async fn remove(shell: Rc<Shell>, content: Fingerprint, kind: SubjectKind) {
    let mut backoff = Backoff::new(Duration::from_millis(200));
    while !write(&shell, content, kind, None).await {
        backoff.wait().await;
    }
}

/// Writes a quarantine's row, or removes it if `row` is `None`; returns whether no retry
/// is needed.
async fn write(
    shell: &Shell,
    content: Fingerprint,
    kind: SubjectKind,
    row: Option<&QuarantineRow>,
) -> bool {
    let mut value = None;
    if let Some(row) = row {
        let mut buf = Vec::new();
        if let Err(e) = ciborium::into_writer(row, &mut buf) {
            log::error!("can't encode a quarantine: {e}");
            return true;
        }
        value = Some(Bytes::from(buf));
    }
    let write = RowWrite {
        table: PRESENCE_TABLE.to_owned(),
        key: row_key(content, kind),
        value,
        expected: None,
    };
    match shell.store.write(write).await {
        Ok(_) => true,
        Err(e) => {
            log::debug!("could not persist the quarantine of {content}, retrying: {e}");
            false
        }
    }
}

/// Applies a persisted quarantine.
pub(crate) fn apply_row(shell: &Rc<Shell>, row: &Row) {
    let subject = parse_row_key(&row.key);
    let value = row.value.as_ref().map(|value| value.as_ref());
    let stored = ciborium::from_reader::<QuarantineRow, _>(value.unwrap_or_default());
    let (Some((content, kind)), Ok(stored)) = (subject, stored) else {
        log::warn!("can't decode the quarantine in row {:?}", row.key);
        return;
    };
    let Some(store_now_ms) = shell.store_now_ms() else {
        return;
    };
    let left = Duration::from_millis(stored.until_ms.saturating_sub(store_now_ms));
    if !left.is_zero() {
        let times = stored.times;
        return shell.step(Event::QuarantineRestored {
            content,
            kind,
            left,
            quarantine_count: times,
        });
    }
    let ended_for = Duration::from_millis(store_now_ms.saturating_sub(stored.until_ms));
    if ended_for >= RETENTION_AFTER_END {
        monoio::spawn(remove(shell.clone(), content, kind));
    }
}

/// Returns the suspected contents, for the state dump.
pub(crate) fn state(shell: &Shell) -> Vec<serde_json::Value> {
    let (router, now) = (shell.router.borrow(), shell.now());
    let fleet = router.fleet();
    let suspects = router.quarantine().suspect_views(now);
    let suspects = suspects.into_iter().map(|suspect| {
        let crashes: Vec<serde_json::Value> = suspect
            .crashes
            .iter()
            .map(|crash| {
                serde_json::json!({
                    "server": server_name(fleet, crash.server),
                    "age_ms": now.since(crash.at).as_millis() as u64,
                    "others": crash.other_requests,
                    "confirmed": crash.confirmed,
                    "silent": crash.silent,
                    "seen_here": crash.observed_locally,
                })
            })
            .collect();
        let (label, left) = match suspect.verdict {
            Verdict::Allowed => ("free", None),
            Verdict::Suspected { .. } => ("suspected", None),
            Verdict::RunningElsewhere => ("runs_elsewhere", None),
            Verdict::Held => ("held", None),
            Verdict::Quarantined { until } => ("quarantined", Some(until.since(now))),
        };
        serde_json::json!({
            "content": suspect.content.to_string(),
            "kind": kind_label(suspect.kind),
            "parts": suspect.parts,
            "verdict": label,
            "left_ms": left.map(|left| left.as_millis() as u64),
            "times": suspect.quarantine_count,
            "crashes": crashes,
        })
    });
    suspects.collect()
}
