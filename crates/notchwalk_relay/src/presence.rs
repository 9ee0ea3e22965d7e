//! The record by which entries find each other: a row in the platform's store
//! that each writes when it starts.

use std::{collections::HashSet, rc::Rc, time::Duration};

use bytes::Bytes;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use notchwalk_platform::{PlatformError, Row, RowWrite};

use crate::{
    peer_link,
    presence_record::{PresenceRecord, TABLE},
    quarantine,
    shell::Shell,
};

/// Writes this entry's record, as often as it takes, and finds the others
/// meanwhile: what is told by heartbeats makes two entries that start at once know
/// each other as soon as one of them has found the other.
pub(crate) async fn announce(shell: Rc<Shell>) {
    // Not after the write: a store that is slow, or loses answers, held up a write
    // for four seconds after all entries had lost power, and none knew the others.
    monoio::spawn(find_entries(shell.clone()));
    write_record(&shell).await;
    // Of two entries that start at once, the one that writes last finds the other.
    if let Err(e) = read_records(&shell).await {
        log::debug!("the records of entries can't be read: {e}");
    }
}

/// Writes this entry's record, as often as it takes.
pub(crate) async fn write_record(shell: &Shell) {
    let record = shell.presence_record();
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&record, &mut value) {
        log::error!("the entry's record can't be written: {e}");
        return;
    }
    let write = RowWrite {
        table: TABLE.to_owned(),
        key: record.name.clone(),
        value: Some(Bytes::from(value)),
        expected: None,
    };
    let mut backoff = Backoff::new(Duration::from_millis(200));
    // A write whose answer was lost is repeated: it states the same facts.
    while shell.store.write(write.clone()).await.is_err() {
        backoff.pause().await;
    }
    let facts = format!("name={} boot={}", record.name, record.boot);
    LogEvent::new(LogEventKind::PresenceWritten, facts).emit();
}

/// Takes this entry's record back, before it ends. One try: peers notice a
/// silent entry by themselves.
pub(crate) async fn withdraw(shell: &Shell) {
    const WAIT: Duration = Duration::from_millis(200);
    let write = RowWrite {
        table: TABLE.to_owned(),
        key: shell.settings.name.clone(),
        value: None,
        expected: None,
    };
    let written = monoio::time::timeout(WAIT, shell.store.write(write)).await;
    if !matches!(written, Ok(Ok(_))) {
        log::warn!("the entry's record could not be withdrawn: {written:?}");
    }
}

/// Reads the records of all entries, as often as it takes, and again now and
/// then: entries that are heard need no record.
async fn find_entries(shell: Rc<Shell>) {
    /// An entry that starts reads the records and says to all that it lives, so
    /// that this only mends what got lost.
    const AGAIN_AFTER: Duration = Duration::from_secs(30);
    let mut backoff = Backoff::new(Duration::from_millis(200));
    loop {
        match read_records(&shell).await {
            Ok(()) => {
                backoff.reset();
                let is_first = shell.peers.borrow_mut().note_records_read();
                peer_link::count_entries(&shell);
                if is_first {
                    // They answer with what servers said to them, before callers come.
                    shell.peers.borrow_mut().greet_near();
                    shell.work_changed.raise();
                }
                monoio::time::sleep(AGAIN_AFTER).await;
            }
            Err(e) => {
                log::debug!("the records of entries can't be read: {e}");
                backoff.pause().await;
            }
        }
    }
}

async fn read_records(shell: &Rc<Shell>) -> Result<(), PlatformError> {
    for_each_row(shell, |row| learn(shell, row)).await
}

/// Returns the keys of all rows of the table.
///
/// # Errors
///
/// Fails while the store is down.
pub(crate) async fn keys(shell: &Shell) -> Result<HashSet<String>, PlatformError> {
    let mut keys = HashSet::new();
    for_each_row(shell, |row| {
        keys.insert(row.key.clone());
    })
    .await?;
    Ok(keys)
}

async fn for_each_row(shell: &Shell, mut take: impl FnMut(&Row)) -> Result<(), PlatformError> {
    let mut from = String::new();
    loop {
        let page = shell.store.read(TABLE, &from).await?;
        shell.note_store_ms(&page);
        shell.note_store_version(page.version);
        page.rows.iter().for_each(&mut take);
        let Some(last) = page.rows.last().filter(|_| page.more) else {
            return Ok(());
        };
        from = format!("{}\0", last.key);
    }
}

fn learn(shell: &Rc<Shell>, row: &Row) {
    if quarantine::is_quarantine(row) {
        return quarantine::learn(shell, row);
    }
    let Some(value) = &row.value else {
        return;
    };
    match ciborium::from_reader::<PresenceRecord, _>(value.as_ref()) {
        Ok(record) if record.name == shell.settings.name => {}
        Ok(record) => shell.peers.borrow_mut().add(&record, shell.now()),
        Err(e) => log::warn!("the record of entry {} can't be read: {e}", row.key),
    }
}
