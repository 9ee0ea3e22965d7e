//! Follows the table of backend servers.

use std::{collections::HashMap, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_platform::{Row, StoreVersion};
use notchwalk_route::{Event, ServerChange, ServerRecord};

use crate::{
    shell::Shell,
    table_watch::{TableReader, POLL_WAIT},
};

/// How long servers have to renew registrations that lapsed during an outage of the store
/// before they are removed. They are back about two seconds after the store.
const RENEWAL_GRACE: Duration = Duration::from_millis(1_800);

/// Shortest outage of the store in which registrations can lapse. Servers renew about once
/// per second, and three renewals must fail.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(1_000);

/// Maintains the router's servers from their registrations.
pub(crate) struct ServerReader {
    shell: Rc<Shell>,
    /// Servers whose registrations lapsed during an outage, and when they are removed.
    lapsed: HashMap<String, Instant>,
    /// End of the period in which a missing registration may have lapsed due to an
    /// outage or a restore of the store.
    grace_until: Instant,
    /// Whether the table is read for the first time since the store was restored from a
    /// snapshot: its rows may be of former incarnations.
    reading_snapshot: bool,
    /// The registered servers, by instance id.
    servers: HashMap<String, RegisteredServer>,
}

/// A registered server.
struct RegisteredServer {
    record: ServerRecord,
    /// The version of its row; older ones that arrive later are ignored.
    version: StoreVersion,
}

impl ServerReader {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self {
            shell,
            lapsed: HashMap::new(),
            grace_until: Instant::ZERO,
            reading_snapshot: false,
            servers: HashMap::new(),
        }
    }

    /// Decodes a registration. Rejects a registration without a start time if an earlier
    /// one of the server had one: the row then has a different writer.
    fn decode_record(&self, row: &Row) -> Option<ServerRecord> {
        let record = self.shell.dialect.server(row);
        let known = self.servers.get(&row.key);
        let had_start_time = known.is_some_and(|known| known.record.started_ms.is_some());
        let record =
            record.and_then(
                |record| match had_start_time && record.started_ms.is_none() {
                    true => Err("it no longer says when the server started".to_owned()),
                    false => Ok(record),
                },
            );
        match record {
            Ok(record) => Some(record),
            Err(reason) => {
                let facts = format!("server={} reason={reason:?}", row.key);
                LogEvent::new(LogEventKind::ServerRecordInvalid, facts).emit();
                None
            }
        }
    }

    fn upsert(&mut self, record: ServerRecord, version: StoreVersion) {
        self.lapsed.remove(&record.instance);
        let known = self.servers.get_mut(&record.instance);
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
            record.started_ms.unwrap_or(0)
        );
        LogEvent::new(LogEventKind::ServerRegistered, facts).emit();
        self.close_idle_connections(&record);
        let known = RegisteredServer {
            record: record.clone(),
            version,
        };
        self.servers.insert(record.instance.clone(), known);
        let change = match self.reading_snapshot {
            true => ServerChange::Restored(record),
            false => ServerChange::Registered(record),
        };
        self.shell.step(Event::Servers(change));
    }

    /// Returns whether a row of a snapshot is of an incarnation before the known one.
    fn is_former_incarnation(&self, record: &ServerRecord) -> bool {
        let known = self.servers.get(&record.instance);
        let started_ms = known.and_then(|known| known.record.started_ms);
        self.reading_snapshot && started_ms > record.started_ms
    }

    /// Closes idle connections to the former incarnation of a server, which may have
    /// ended without closing them.
    fn close_idle_connections(&self, record: &ServerRecord) {
        let Some(known) = self.servers.get(&record.instance) else {
            return;
        };
        if known.record.started_ms != record.started_ms {
            self.shell.client.close_idle_to(known.record.addr);
        }
    }

    /// Returns whether a newer row of the same server was seen.
    fn is_outdated(&self, row: &Row) -> bool {
        let known = self.servers.get(&row.key);
        known.is_some_and(|known| row.version < known.version)
    }

    fn handle_lapsed(&mut self, instance: &str) {
        if !self.servers.contains_key(instance) {
            return;
        }
        let now = self.shell.now();
        if now < self.grace_until {
            self.lapsed
                .entry(instance.to_owned())
                .or_insert(self.grace_until);
            return;
        }
        self.remove_server(instance);
    }

    fn remove_server(&mut self, instance: &str) {
        self.lapsed.remove(instance);
        self.servers.remove(instance);
        let facts = format!("server={instance}");
        LogEvent::new(LogEventKind::ServerDeregistered, facts).emit();
        let change = ServerChange::Removed(instance.to_owned());
        self.shell.step(Event::Servers(change));
    }

    fn remove_unrenewed(&mut self) {
        let now = self.shell.now();
        let due = self.lapsed.iter().filter(|(_, &at)| now >= at);
        let due: Vec<String> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            self.remove_server(&instance);
        }
    }
}

impl TableReader for ServerReader {
    fn table(&self) -> &str {
        self.shell.dialect.server_table()
    }

    fn poll_wait(&self) -> Duration {
        if self.lapsed.is_empty() {
            return POLL_WAIT;
        }
        RENEWAL_GRACE / 4
    }

    fn is_behind(&self) -> bool {
        let newest = self.shell.peers.borrow().newest_server_change();
        let known = self.shell.server_table_version.get();
        newest > known || self.shell.newest_epoch() > known.epoch
    }

    fn has_lapsed_rows(&self) -> bool {
        !self.lapsed.is_empty()
    }

    fn replace_all(&mut self, rows: Vec<Row>) {
        let known: Vec<String> = self.servers.keys().cloned().collect();
        for instance in known {
            if !rows.iter().any(|row| row.key == instance) {
                self.handle_lapsed(&instance);
            }
        }
        self.apply_changes(rows);
        self.reading_snapshot = false;
    }

    fn apply_changes(&mut self, rows: Vec<Row>) {
        let versions = rows.iter().map(|row| row.version);
        let newest = versions.max().unwrap_or_default();
        self.shell.observe_server_change(newest);
        for row in rows {
            if self.is_outdated(&row) {
                continue;
            }
            if row.value.is_none() {
                self.handle_lapsed(&row.key);
                continue;
            }
            match self.decode_record(&row) {
                // The current incarnation will register again.
                Some(record) if self.is_former_incarnation(&record) => self.handle_lapsed(&row.key),
                Some(record) => self.upsert(record, row.version),
                // An invalid row is treated as a removed one.
                None => self.handle_lapsed(&row.key),
            }
        }
    }

    fn set_current(&mut self, version: StoreVersion) {
        self.shell.server_table_version.set(version);
        // Publishes the new epoch even if no row changed.
        self.shell
            .observe_server_change(StoreVersion::new(version.epoch, 0));
        self.remove_unrenewed();
        self.shell.servers_refreshed_at.set(self.shell.now());
        self.shell.metrics.servers.set(self.servers.len() as i64);
    }

    fn store_recovered(&mut self, outage: Duration) {
        if outage < MIN_LAPSE_OUTAGE {
            return;
        }
        self.grace_until = self.shell.now().after(RENEWAL_GRACE);
    }

    /// Servers whose registrations are newer than the snapshot register again, within
    /// the same grace period as after an outage.
    fn store_restored(&mut self) {
        self.grace_until = self.shell.now().after(RENEWAL_GRACE);
        self.reading_snapshot = true;
    }
}
