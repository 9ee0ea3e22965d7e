//! The transactional table.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use notchwalk_wire::{Condition, Row, TableOp, TableTransaction, TableTransactionAnswer};

struct Stored {
    value: String,
    version: u64,
    lapses: Option<Instant>,
}

/// Rows by key.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<String, Stored>,
    /// Transactions that changed something.
    pub writes: u64,
}

impl Table {
    fn live(&self, key: &str) -> Option<&Stored> {
        let row = self.rows.get(key)?;
        let lapsed = row.lapses.is_some_and(|at| Instant::now() >= at);
        (!lapsed).then_some(row)
    }

    /// Returns a row.
    pub fn get(&self, key: &str) -> Option<Row> {
        let row = self.live(key)?;
        Some(Row {
            key: key.to_owned(),
            value: row.value.clone(),
            version: row.version,
        })
    }

    fn holds(&self, op: &TableOp) -> bool {
        let row = self.live(&op.key);
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
        let version = self.live(&op.key).map_or(0, |r| r.version) + 1;
        let lapses = op.ttl_s.map(|s| Instant::now() + Duration::from_secs(s));
        let stored = Stored {
            value: value.clone(),
            version,
            lapses,
        };
        self.rows.insert(op.key.clone(), stored);
    }

    /// Runs a transaction.
    pub fn transact(&mut self, tx: &TableTransaction) -> TableTransactionAnswer {
        let stopped = tx.all_or_none && !tx.ops.iter().all(|op| self.holds(op));
        let mut applied = Vec::new();
        for op in &tx.ops {
            let applies = !stopped && self.holds(op);
            if applies {
                self.apply(op);
            }
            applied.push(applies);
        }
        if applied.contains(&true) {
            self.writes += 1;
        }
        let rows = tx.ops.iter().map(|op| self.get(&op.key)).collect();
        TableTransactionAnswer { applied, rows }
    }
}
