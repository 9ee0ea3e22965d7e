//! Keeps the register of backend servers.

use std::{collections::HashMap, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_platform::{Row, StoreVersion};
use notchwalk_route::{Event, ServerChange, ServerRecord};

use crate::{
    shell::Shell,
    table_watch::{TableReader, WAIT},
};

/// How long records that lapsed while the store was away may take to come
/// back, before their servers are taken as gone: about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(1_800);

/// Outages shorter than this make no record lapse: servers renew theirs about
/// once a second and three renewals must fail.
const LAPSE_TIME: Duration = Duration::from_millis(1_000);

/// Reads the table of backend servers.
pub(crate) struct ServerReader {
    shell: Rc<Shell>,
    /// Servers whose records lapsed while the store was away, and when they
    /// are taken as gone.
    missing: HashMap<String, Instant>,
    /// Until when a record that is missing may be one that lapsed.
    doubt_until: Instant,
    /// Whether the table is read for the first time since the store came back from an
    /// older copy: its records may be of lives that ended.
    reads_copy: bool,
    known: HashMap<String, KnownServer>,
}

/// A server on record.
struct KnownServer {
    record: ServerRecord,
    /// The version of its row: an older one that comes later says nothing.
    version: StoreVersion,
}

impl ServerReader {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self {
            shell,
            missing: HashMap::new(),
            doubt_until: Instant::ZERO,
            reads_copy: false,
            known: HashMap::new(),
        }
    }

    /// Reads a record. One that says less than before of a server that tells when
    /// it started has another writer.
    fn record(&self, row: &Row) -> Option<ServerRecord> {
        let record = self.shell.dialect.server(row);
        let known = self.known.get(&row.key);
        let told_birth = known.is_some_and(|known| known.record.born.is_some());
        let record = record.and_then(|record| match told_birth && record.born.is_none() {
            true => Err("it no longer says when the server started".to_owned()),
            false => Ok(record),
        });
        match record {
            Ok(record) => Some(record),
            Err(reason) => {
                let facts = format!("server={} reason={reason:?}", row.key);
                LogEvent::new(LogEventKind::ServerRecordFaulty, facts).emit();
                None
            }
        }
    }

    fn present(&mut self, record: ServerRecord, version: StoreVersion) {
        self.missing.remove(&record.instance);
        let known = self.known.get_mut(&record.instance);
        if let Some(known) = known.filter(|known| known.record == record) {
            known.version = version;
            return;
        }
        let facts = format!(
            "server={} service={} addr={} stage={:?} born={}",
            record.instance,
            record.service,
            record.addr,
            record.stage,
            record.born.unwrap_or(0)
        );
        LogEvent::new(LogEventKind::ServerRegistered, facts).emit();
        self.forget_connections(&record);
        let known = KnownServer {
            record: record.clone(),
            version,
        };
        self.known.insert(record.instance.clone(), known);
        let change = match self.reads_copy {
            true => ServerChange::Copied(record),
            false => ServerChange::Present(record),
        };
        self.shell.step(Event::Servers(change));
    }

    /// Tells whether a record of an older copy is of a life before the one known.
    fn is_former_life(&self, record: &ServerRecord) -> bool {
        let known = self.known.get(&record.instance);
        let born = known.and_then(|known| known.record.born);
        self.reads_copy && born > record.born
    }

    /// Closes the connections kept to a server that started again: they lead to a
    /// process that is gone, and may not say so.
    fn forget_connections(&self, record: &ServerRecord) {
        let Some(known) = self.known.get(&record.instance) else {
            return;
        };
        if known.record.born != record.born {
            self.shell.client.forget_idle_at(known.record.addr);
        }
    }

    /// Tells whether a newer row of the same server was seen.
    fn is_outdated(&self, row: &Row) -> bool {
        let known = self.known.get(&row.key);
        known.is_some_and(|known| row.version < known.version)
    }

    fn lapsed(&mut self, instance: &str) {
        if !self.known.contains_key(instance) {
            return;
        }
        let now = self.shell.now();
        if now < self.doubt_until {
            self.missing
                .entry(instance.to_owned())
                .or_insert(self.doubt_until);
            return;
        }
        self.gone(instance);
    }

    fn gone(&mut self, instance: &str) {
        self.missing.remove(instance);
        self.known.remove(instance);
        let facts = format!("server={instance}");
        LogEvent::new(LogEventKind::ServerGone, facts).emit();
        let change = ServerChange::Gone(instance.to_owned());
        self.shell.step(Event::Servers(change));
    }

    fn take_missing_as_gone(&mut self) {
        let now = self.shell.now();
        let due = self.missing.iter().filter(|(_, &at)| now >= at);
        let due: Vec<String> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            self.gone(&instance);
        }
    }
}

impl TableReader for ServerReader {
    fn table(&self) -> &str {
        self.shell.dialect.server_table()
    }

    fn wait(&self) -> Duration {
        if self.missing.is_empty() {
            return WAIT;
        }
        RETURN_TIME / 4
    }

    fn is_behind(&self) -> bool {
        let newest = self.shell.peers.borrow().newest_change_of_servers();
        let known = self.shell.servers_known.get();
        newest > known || self.shell.newest_era() > known.era
    }

    fn is_unsettled(&self) -> bool {
        !self.missing.is_empty()
    }

    fn whole(&mut self, rows: Vec<Row>) {
        let known: Vec<String> = self.known.keys().cloned().collect();
        for instance in known {
            if !rows.iter().any(|row| row.key == instance) {
                self.lapsed(&instance);
            }
        }
        self.changed(rows);
        self.reads_copy = false;
    }

    fn changed(&mut self, rows: Vec<Row>) {
        let versions = rows.iter().map(|row| row.version);
        let newest = versions.max().unwrap_or_default();
        self.shell.note_servers_changed(newest);
        for row in rows {
            if self.is_outdated(&row) {
                continue;
            }
            if row.value.is_none() {
                self.lapsed(&row.key);
                continue;
            }
            match self.record(&row) {
                // Its server writes again what it is now.
                Some(record) if self.is_former_life(&record) => self.lapsed(&row.key),
                Some(record) => self.present(record, row.version),
                // It names no server to use, whatever stood there before.
                None => self.lapsed(&row.key),
            }
        }
    }

    fn current(&mut self, version: StoreVersion) {
        self.shell.servers_known.set(version);
        // Peers learn of a new era by it, also where it brought no record.
        self.shell
            .note_servers_changed(StoreVersion::new(version.era, 0));
        self.take_missing_as_gone();
        self.shell.servers_current.set(self.shell.now());
        self.shell.metrics.servers.set(self.known.len() as i64);
    }

    fn regained(&mut self, away: Duration) {
        if away < LAPSE_TIME {
            return;
        }
        self.doubt_until = self.shell.now().after(RETURN_TIME);
    }

    /// A server whose record is younger than the copy writes it again, and has as long
    /// for it as after an outage, however short the store was away.
    fn restored(&mut self) {
        self.doubt_until = self.shell.now().after(RETURN_TIME);
        self.reads_copy = true;
    }
}
