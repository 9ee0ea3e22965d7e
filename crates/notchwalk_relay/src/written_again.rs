//! Writes again what the store lost when it came back from an older copy: this
//! entry's record, by which others find it, and quarantines, which all entries forget
//! when they lose power together.

use std::{collections::HashSet, rc::Rc, time::Duration};

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use rand::Rng;

use crate::{presence, quarantine, shell::Shell};

/// How often it is looked for a new era.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Records are written within so long for each entry that lives: 300 of them in 0.9 s,
/// of the 400 writes a second that all may make.
const RECORD_SPREAD: Duration = Duration::from_millis(3);
/// Between two entries that write quarantines: all hold the same ones, and whoever
/// comes later finds them written. Longer than a write takes while the store is busy.
const TURN: Duration = Duration::from_millis(400);
/// The longest wait for one's turn.
const LAST_TURN: Duration = Duration::from_secs(8);

/// Writes for ever what older copies lack.
pub(crate) async fn write_again(shell: Rc<Shell>) {
    let mut restores = shell.store_restores();
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        if restores == shell.store_restores() {
            continue;
        }
        restores = shell.store_restores();
        write_all(&shell).await;
    }
}

async fn write_all(shell: &Rc<Shell>) {
    let alive = shell.peers.borrow().alive(shell.now());
    let spread = RECORD_SPREAD * (alive + 1);
    monoio::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
    presence::write_record(shell).await;
    let quarantines = write_quarantines(shell).await;
    let facts = format!("record=true quarantines={quarantines}");
    LogEvent::new(LogEventKind::WrittenAgain, facts).emit();
}

/// Writes the quarantines that the store lacks; returns how many.
async fn write_quarantines(shell: &Rc<Shell>) -> usize {
    if shell.router.borrow().quarantine().quarantined(shell.now()) == 0 {
        return 0;
    }
    let rank = shell.peers.borrow().rank(shell.now());
    monoio::time::sleep((TURN * rank).min(LAST_TURN)).await;
    let mut backoff = Backoff::new(Duration::from_millis(200));
    let kept: HashSet<String> = loop {
        match presence::keys(shell).await {
            Ok(keys) => break keys,
            Err(e) => log::debug!("what the store lacks is not known: {e}"),
        }
        backoff.pause().await;
    };
    quarantine::keep_missing(shell, &kept).await
}
