//! Presence records: each node writes a row to the platform's store when it starts, by
//! which peers discover it.

use std::{collections::HashSet, rc::Rc, time::Duration};

use bytes::Bytes;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use notchwalk_platform::{PlatformError, Row, RowWrite, WriteOutcome};
use notchwalk_route::Event;

use crate::{
    peer_link,
    presence_record::{PresenceRecord, PRESENCE_TABLE},
    quarantine,
    shell::Shell,
};

/// Writes this node's record, retrying until it succeeds, and discovers peers
/// meanwhile. If two nodes start together, it suffices that one finds the other's
/// record: its heartbeat introduces it.
pub(crate) async fn announce(shell: Rc<Shell>) {
    // Concurrent with the write, so that a slow store does not delay the discovery of
    // peers.
    monoio::spawn(discover_peers(shell.clone()));
    register(&shell).await;
    // `discover_peers` may have read the records before this node's record was written. Of two
    // nodes that start together, the one whose record is written last finds the other's record
    // by this second read.
    if let Err(e) = read_records(&shell).await {
        log::debug!("can't read the presence records: {e}");
    }
}

/// Writes this node's first record, and replaces that of its previous process if there is one.
async fn register(shell: &Rc<Shell>) {
    let Some(write) = record_write(shell) else {
        return;
    };
    let create = RowWrite {
        expected: Some(0),
        ..write
    };
    let mut backoff = Backoff::new(Duration::from_millis(200));
    loop {
        match shell.store.write(create.clone()).await {
            Ok(WriteOutcome::Written) => {
                shell.step(Event::NoPreviousProcess);
                return log_registered(shell);
            }
            Ok(WriteOutcome::Conflict) => return write_record(shell).await,
            // The record may be that of this process.
            Err(e) if e.may_have_taken_effect() => return write_record(shell).await,
            Err(_) => backoff.wait().await,
        }
    }
}

/// Writes this node's record, retrying until it succeeds.
pub(crate) async fn write_record(shell: &Shell) {
    let Some(write) = record_write(shell) else {
        return;
    };
    let mut backoff = Backoff::new(Duration::from_millis(200));
    // Safe to repeat: the write is idempotent.
    while shell.store.write(write.clone()).await.is_err() {
        backoff.wait().await;
    }
    log_registered(shell);
}

/// Returns the unconditional write of this node's record.
fn record_write(shell: &Shell) -> Option<RowWrite> {
    let record = shell.presence_record();
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&record, &mut value) {
        log::error!("can't encode this node's presence record: {e}");
        return None;
    }
    Some(RowWrite {
        table: PRESENCE_TABLE.to_owned(),
        key: record.name,
        value: Some(Bytes::from(value)),
        expected: None,
    })
}

fn log_registered(shell: &Shell) {
    let facts = format!("name={} boot={}", shell.settings.name, shell.boot);
    LogEvent::new(LogEventKind::NodeRegistered, facts).emit();
}

/// Removes this node's record before exit, unless it may have sent retries recently: the next
/// process must then know of this one. Makes one attempt; peers detect an unreachable node by
/// themselves.
pub(crate) async fn withdraw(shell: &Shell) {
    const TIMEOUT: Duration = Duration::from_millis(200);
    if shell.router.borrow().may_have_retried(shell.now()) {
        return;
    }
    let write = RowWrite {
        table: PRESENCE_TABLE.to_owned(),
        key: shell.settings.name.clone(),
        value: None,
        expected: None,
    };
    let written = monoio::time::timeout(TIMEOUT, shell.store.write(write)).await;
    if !matches!(written, Ok(Ok(_))) {
        log::warn!("could not remove this node's presence record: {written:?}");
    }
}

/// Reads the presence records of all nodes, retrying on failure, and rereads them
/// periodically.
async fn discover_peers(shell: Rc<Shell>) {
    /// How long after a successful read the presence records are read again. New nodes
    /// introduce themselves by heartbeats; the later reads find nodes whose heartbeats were
    /// lost.
    const REREAD_INTERVAL: Duration = Duration::from_secs(30);
    let mut backoff = Backoff::new(Duration::from_millis(200));
    loop {
        match read_records(&shell).await {
            Ok(()) => {
                backoff.reset();
                let is_first = shell.peers.borrow_mut().mark_records_read();
                peer_link::update_node_count(&shell);
                if is_first {
                    // The peers respond with the known server notices, before callers
                    // send requests to this node.
                    shell.peers.borrow_mut().schedule_group_sync();
                    shell.publish_wake.notify();
                }
                monoio::time::sleep(REREAD_INTERVAL).await;
            }
            Err(e) => {
                log::debug!("can't read the presence records: {e}");
                backoff.wait().await;
            }
        }
    }
}

async fn read_records(shell: &Rc<Shell>) -> Result<(), PlatformError> {
    for_each_row(shell, |row| apply_row(shell, row)).await
}

/// Returns the keys of all rows of the table.
///
/// # Errors
///
/// Fails while the store is unavailable.
pub(crate) async fn keys(shell: &Shell) -> Result<HashSet<String>, PlatformError> {
    let mut keys = HashSet::new();
    for_each_row(shell, |row| {
        keys.insert(row.key.clone());
    })
    .await?;
    Ok(keys)
}

async fn for_each_row(shell: &Shell, mut visit: impl FnMut(&Row)) -> Result<(), PlatformError> {
    let mut from = String::new();
    loop {
        let page = shell.store.read(PRESENCE_TABLE, &from).await?;
        shell.observe_store_clock(&page);
        shell.observe_store_version(page.version);
        page.rows.iter().for_each(&mut visit);
        let Some(last) = page.rows.last().filter(|_| page.more) else {
            return Ok(());
        };
        from = format!("{}\0", last.key);
    }
}

fn apply_row(shell: &Rc<Shell>, row: &Row) {
    if quarantine::is_quarantine(row) {
        return quarantine::apply_row(shell, row);
    }
    let Some(value) = &row.value else {
        return;
    };
    match ciborium::from_reader::<PresenceRecord, _>(value.as_ref()) {
        Ok(record) if record.name != row.key => {
            log::warn!("the presence record of node {} names another node", row.key);
        }
        Ok(record) if record.name == shell.settings.name => {}
        Ok(record) => shell.peers.borrow_mut().add(&record, shell.now()),
        Err(e) => log::warn!("can't decode the presence record of node {}: {e}", row.key),
    }
}
