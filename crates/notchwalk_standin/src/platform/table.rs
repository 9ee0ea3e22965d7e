//! Transactional table of the stand-in platform.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use notchwalk_wire::{Condition, Row, TableOp, TableTransaction, TableTransactionResponse};

struct StoredRow {
    value: String,
    version: u64,
    expires_at: Option<Instant>,
}

/// A table of versioned rows with optional expiry.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, StoredRow>,
    /// Number of transactions that changed a row.
    pub writes: u64,
}

impl Table {
    fn live_row(&self, key: &str) -> Option<&StoredRow> {
        let row = self.rows.get(key)?;
        let expired = row.expires_at.is_some_and(|at| Instant::now() >= at);
        (!expired).then_some(row)
    }

    /// Returns an unexpired row.
    pub fn get(&self, key: &str) -> Option<Row> {
        let row = self.live_row(key)?;
        Some(Row {
            key: key.to_owned(),
            value: row.value.clone(),
            version: row.version,
        })
    }

    fn condition_holds(&self, op: &TableOp) -> bool {
        let row = self.live_row(&op.key);
        match &op.condition {
            Condition::Any => true,
            Condition::Absent => row.is_none(),
            Condition::Version(version) => row.is_some_and(|r| r.version == *version),
            Condition::Value(value) => row.is_some_and(|r| r.value == *value),
        }
    }

    fn apply(&mut self, op: &TableOp) {
        let Some(value) = &op.value else {
            self.rows.remove(&op.key);
            return;
        };
        let version = self.live_row(&op.key).map_or(0, |r| r.version) + 1;
        let expires_at = op.ttl_s.map(|s| Instant::now() + Duration::from_secs(s));
        let stored = StoredRow {
            value: value.clone(),
            version,
            expires_at,
        };
        self.rows.insert(op.key.clone(), stored);
    }

    /// Executes a transaction.
    pub fn transact(&mut self, tx: &TableTransaction) -> TableTransactionResponse {
        let aborted = tx.all_or_none && !tx.ops.iter().all(|op| self.condition_holds(op));
        let mut applied = Vec::new();
        for op in &tx.ops {
            let should_apply = !aborted && self.condition_holds(op);
            if should_apply {
                self.apply(op);
            }
            applied.push(should_apply);
        }
        if applied.contains(&true) {
            self.writes += 1;
        }
        let rows = tx.ops.iter().map(|op| self.get(&op.key)).collect();
        TableTransactionResponse { applied, rows }
    }
}
