//! Applies the operator's configuration.

use std::rc::Rc;

use notchwalk_core::{Findings, LogEvent, LogEventKind};
use notchwalk_platform::{Row, StoreVersion};
use notchwalk_route::Event;

use crate::{shell::Shell, table_watch::TableReader, DecodedConfig};

/// Reads the table that holds the configuration.
pub(crate) struct ConfigReader {
    shell: Rc<Shell>,
    /// The epoch of the store in which the configuration was last read.
    epoch: u64,
}

impl ConfigReader {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell, epoch: 0 }
    }

    fn apply(&self, row: &Row) {
        let (_, key) = self.shell.dialect.config_row();
        let Some(value) = row.value.as_ref().filter(|_| row.key == key) else {
            return;
        };
        let DecodedConfig { site, findings } = match self.shell.dialect.config(value) {
            Ok(decoded) => decoded,
            Err(reason) => return log_rejected(row.version.rev, &reason),
        };
        let active_version = self.shell.router.borrow().version();
        if site.version <= active_version {
            if site.version < active_version {
                log_rejected(site.version, "it is older than the one in force");
            }
            return;
        }
        log_ignored_values(site.version, &findings);
        let facts = format!(
            "version={} routes={} services={}",
            site.version,
            site.routes.len(),
            site.services.len()
        );
        self.shell.set_limits(site.limits);
        self.shell.metrics.config_version.set(site.version as i64);
        self.shell.step(Event::Configured(site));
        LogEvent::new(LogEventKind::ConfigActivated, facts).emit();
    }
}

fn log_ignored_values(version: u64, findings: &Findings) {
    /// Bounds the length of the line.
    const MAX_LOGGED: usize = 5;
    if findings.0.is_empty() {
        return;
    }
    let logged = findings.0.iter().take(MAX_LOGGED).map(ToString::to_string);
    let logged = logged.collect::<Vec<_>>().join("; ");
    let facts = format!(
        "version={version} count={} first={logged:?}",
        findings.0.len()
    );
    LogEvent::new(LogEventKind::ConfigValuesIgnored, facts).emit();
}

fn log_rejected(version: u64, reason: &str) {
    let facts = format!("version={version} reason={reason:?}");
    LogEvent::new(LogEventKind::ConfigRejected, facts).emit();
}

impl TableReader for ConfigReader {
    fn table(&self) -> &str {
        self.shell.dialect.config_row().0
    }

    fn is_behind(&self) -> bool {
        let active_version = self.shell.router.borrow().version();
        let peer_is_ahead = self.shell.peers.borrow().newest_config() > active_version;
        peer_is_ahead || self.shell.newest_epoch() > self.epoch
    }

    fn has_one_row(&self) -> bool {
        true
    }

    fn set_current(&mut self, version: StoreVersion) {
        self.epoch = version.epoch;
    }

    fn replace_all(&mut self, rows: Vec<Row>) {
        self.apply_changes(rows);
    }

    fn apply_changes(&mut self, rows: Vec<Row>) {
        for row in &rows {
            self.apply(row);
        }
    }
}
