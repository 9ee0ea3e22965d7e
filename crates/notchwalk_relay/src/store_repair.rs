//! Rewrites what the store lost when it was restored from a snapshot: this node's
//! presence record, and quarantines, which would not survive a simultaneous restart of
//! all nodes.

use std::{collections::HashSet, rc::Rc, time::Duration};

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use rand::Rng;

use crate::{presence, quarantine, shell::Shell};

/// How often to check whether the store was restored.
const RESTORE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Spread of the presence record writes per live node, which bounds the total write rate.
/// 300 nodes write within 0.9 s, at most 400 writes per second.
const RECORD_SPREAD_PER_NODE: Duration = Duration::from_millis(3);
/// Delay between the quarantine writes of nodes of successive ranks. All nodes hold the
/// same quarantines, so later ones find them already written. It exceeds the duration of a
/// write while the store is busy.
const QUARANTINE_DELAY_PER_RANK: Duration = Duration::from_millis(400);
/// Maximum delay of the quarantine writes of a node.
const MAX_QUARANTINE_DELAY: Duration = Duration::from_secs(8);

/// Rewrites lost rows after each restore, forever.
pub(crate) async fn rewrite_lost_rows(shell: Rc<Shell>) {
    let mut restores = shell.store_restores();
    loop {
        monoio::time::sleep(RESTORE_CHECK_INTERVAL).await;
        if restores == shell.store_restores() {
            continue;
        }
        restores = shell.store_restores();
        rewrite_rows(&shell).await;
    }
}

async fn rewrite_rows(shell: &Rc<Shell>) {
    let alive = shell.peers.borrow().alive_count(shell.now());
    let spread = RECORD_SPREAD_PER_NODE * (alive + 1);
    monoio::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
    presence::write_record(shell).await;
    let quarantines = write_quarantines(shell).await;
    let facts = format!("record=true quarantines={quarantines}");
    LogEvent::new(LogEventKind::RecordsRewritten, facts).emit();
}

/// Writes the quarantines missing from the store; returns their number.
async fn write_quarantines(shell: &Rc<Shell>) -> usize {
    if shell
        .router
        .borrow()
        .quarantine()
        .quarantined_count(shell.now())
        == 0
    {
        return 0;
    }
    let rank = shell.peers.borrow().rank(shell.now());
    monoio::time::sleep((QUARANTINE_DELAY_PER_RANK * rank).min(MAX_QUARANTINE_DELAY)).await;
    let mut backoff = Backoff::new(Duration::from_millis(200));
    let stored: HashSet<String> = loop {
        match presence::keys(shell).await {
            Ok(keys) => break keys,
            Err(e) => log::debug!("can't read the stored quarantines, retrying: {e}"),
        }
        backoff.wait().await;
    };
    quarantine::persist_missing(shell, &stored).await
}
