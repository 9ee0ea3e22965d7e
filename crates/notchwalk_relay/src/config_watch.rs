//! Brings the operator's configuration into force.

use std::rc::Rc;

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_platform::{Row, StoreVersion};
use notchwalk_route::Event;

use crate::{shell::Shell, table_watch::TableReader};

/// Reads the table that holds the configuration.
pub(crate) struct ConfigReader {
    shell: Rc<Shell>,
    /// The era of the store in which the configuration was last read.
    era: u64,
}

impl ConfigReader {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell, era: 0 }
    }

    fn take(&self, row: &Row) {
        let (_, key) = self.shell.dialect.config_row();
        let Some(value) = row.value.as_ref().filter(|_| row.key == key) else {
            return;
        };
        let site = match self.shell.dialect.config(value) {
            Ok(site) => site,
            Err(reason) => return refused(row.version.rev, &reason),
        };
        let in_force = self.shell.router.borrow().version();
        if site.version <= in_force {
            if site.version < in_force {
                refused(site.version, "it is older than the one in force");
            }
            return;
        }
        let facts = format!(
            "version={} routes={} services={}",
            site.version,
            site.routes.len(),
            site.services.len()
        );
        self.shell.limits.set(site.limits);
        self.shell.metrics.config_version.set(site.version as i64);
        self.shell.step(Event::Configured(site));
        LogEvent::new(LogEventKind::ConfigInForce, facts).emit();
    }
}

fn refused(version: u64, reason: &str) {
    let facts = format!("version={version} reason={reason:?}");
    LogEvent::new(LogEventKind::ConfigRefused, facts).emit();
}

impl TableReader for ConfigReader {
    fn table(&self) -> &str {
        self.shell.dialect.config_row().0
    }

    fn is_behind(&self) -> bool {
        let in_force = self.shell.router.borrow().version();
        let is_told = self.shell.peers.borrow().newest_config() > in_force;
        is_told || self.shell.newest_era() > self.era
    }

    fn has_one_row(&self) -> bool {
        true
    }

    fn current(&mut self, version: StoreVersion) {
        self.era = version.era;
    }

    fn whole(&mut self, rows: Vec<Row>) {
        self.changed(rows);
    }

    fn changed(&mut self, rows: Vec<Row>) {
        for row in &rows {
            self.take(row);
        }
    }
}
