//! Follows the changes of one table of the platform's store.

use std::{future::Future, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use notchwalk_platform::{
    FeedError, PlatformError, Row, RowPage, StoreVersion, TableCursor, Taken,
};
use rand::Rng;

use crate::shell::Shell;

/// How long a question for changes waits. Connections fall silent without a sign,
/// all at once, so that no peer knows better: then the loss is noticed when the
/// wait is over and the answer, 0.8 s later, has not come. An entry must know of
/// every change three seconds after the silence began; with 3 s for the wait it
/// served an older configuration for half a second on five of six days of such
/// silences.
pub(crate) const WAIT: Duration = Duration::from_millis(1_700);
/// How long the first pages of a read that failed are kept: pauses between tries are
/// shorter, and the changes since then are still to be had.
const PARTIAL_KEPT: Duration = Duration::from_secs(3);

/// How often an entry looks whether a peer told it of something newer; it is part
/// of the time until a change is in force here.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What a watched table holds, handed to whoever needs it.
pub(crate) trait TableReader {
    /// Names the table.
    fn table(&self) -> &str;

    /// How long one question waits for a change. An answer that got lost is
    /// noticed only then.
    fn wait(&self) -> Duration {
        WAIT
    }

    /// Takes the whole table.
    fn whole(&mut self, rows: Vec<Row>);

    /// Takes changed rows.
    fn changed(&mut self, rows: Vec<Row>);

    /// Tells whether a peer knows more than this entry: then the answer that is
    /// waited for got lost.
    fn is_behind(&self) -> bool {
        false
    }

    /// Tells whether the table holds one row, which every change replaces: then
    /// the whole table is no more than the smallest of its changes.
    fn has_one_row(&self) -> bool {
        false
    }

    /// Tells whether something is pending that only further answers settle.
    fn is_unsettled(&self) -> bool {
        false
    }

    /// Hears that the table is known as it was at this version of the store.
    fn current(&mut self, _version: StoreVersion) {}

    /// Hears that the store came back from an older copy, before the whole of that is
    /// handed over.
    fn restored(&mut self) {}

    /// Hears that the store answers again after `away`.
    fn regained(&mut self, _away: Duration) {}
}

/// A question that was put to the store.
struct Asked {
    /// The version after which changes were asked for; `None` for the whole.
    after: Option<StoreVersion>,
    at: Instant,
    /// Bytes received from the store until then.
    received_before: u64,
}

impl Asked {
    fn now(shell: &Shell, after: Option<StoreVersion>) -> Self {
        Self {
            after,
            at: shell.now(),
            received_before: shell.store.received_bytes(),
        }
    }
}

/// The first pages of a table.
struct PartialRead {
    rows: Vec<Row>,
    /// The version of the store at the first page: changes since then are read after
    /// the last one.
    first_version: StoreVersion,
    /// When the latest page came.
    at: Instant,
}

impl PartialRead {
    /// Returns the key from which the next page is read.
    fn next_key(&self) -> String {
        // The next key in the order of bytes.
        let last = self.rows.last();
        last.map_or_else(String::new, |last| format!("{}\0", last.key))
    }
}

/// One table being followed.
struct Watch<R> {
    shell: Rc<Shell>,
    reader: R,
    /// How far the table is known.
    cursor: TableCursor,
    /// The era of the store in which the table was last read whole.
    era: Option<u64>,
    lost_since: Option<Instant>,
    /// When the store was asked last.
    asked_at: Instant,
    /// The pages of a read of the whole table that did not come to its end.
    partial: Option<PartialRead>,
    /// How often the machine had been resumed when the table was last known.
    resumes: u64,
}

impl<R: TableReader> Watch<R> {
    /// Returns whether the store answered.
    ///
    /// A read that failed goes on with the page that it failed at. When all entries
    /// start together the store turns reads away; begun anew with the first page each
    /// time, a table of six pages was never read while every fourth read failed.
    async fn read_whole(&mut self) -> Result<bool, FeedError> {
        let kept_since = self.shell.now().before(PARTIAL_KEPT);
        self.partial = self.partial.take().filter(|read| read.at >= kept_since);
        loop {
            let from = self.partial.as_ref().map(PartialRead::next_key);
            let Some(page) = self.read_page(&from.unwrap_or_default()).await? else {
                return Ok(false);
            };
            self.note_answer(page.version);
            let now = self.shell.now();
            let read = self.partial.get_or_insert_with(|| PartialRead {
                rows: Vec::new(),
                first_version: page.version,
                at: now,
            });
            read.at = now;
            let first = read.first_version;
            let is_last = !page.more || page.rows.is_empty();
            read.rows.extend(page.rows);
            let taken = self.cursor.take_whole(first, page.version);
            if taken != Taken::Rows {
                self.partial = None;
                return self.not_taken(taken).await;
            }
            if is_last {
                break;
            }
            self.cursor.forget();
        }
        let Some(read) = self.partial.take() else {
            return Ok(false);
        };
        let era = read.first_version.era;
        if self.era.replace(era).is_some_and(|before| before < era) {
            self.reader.restored();
        }
        self.reader.whole(read.rows);
        Ok(true)
    }

    /// Deals with an answer whose rows don't count. In a new era all entries read the
    /// table whole: not all at once.
    async fn not_taken(&mut self, taken: Taken) -> Result<bool, FeedError> {
        /// For each entry that lives; 300 entries read in 0.9 s then.
        const SPREAD: Duration = Duration::from_millis(3);
        if taken == Taken::FormerEra {
            let reason = "the answer is of a former era of the store".to_owned();
            return Err(PlatformError::NoAnswer(reason).into());
        }
        let alive = self.shell.peers.borrow().alive(self.shell.now());
        let spread = SPREAD * (alive + 1);
        monoio::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        Ok(false)
    }

    /// Reads a page, unless a peer comes to be ahead meanwhile. A page that is
    /// asked for while one is ahead already gets all the time that it needs.
    async fn read_page(&self, from: &str) -> Result<Option<RowPage>, FeedError> {
        let asked = Asked::now(&self.shell, None);
        let was_behind = self.reader.is_behind();
        let page = self.shell.store.read(self.reader.table(), from);
        if was_behind {
            return Ok(Some(page.await?));
        }
        let page = until_behind(&self.shell, &self.reader, page).await?;
        if page.is_none() {
            self.give_up(asked);
        }
        Ok(page)
    }

    /// Returns whether the store answered.
    ///
    /// A question without an answer is never repeated: what comes next is read
    /// whole. The changes since then have no bound, and while each try is given
    /// the same time, they grow from try to try: with a change every 0.3 s, 15 of
    /// 59 entries on links of 20 Mbit/s never caught up. The whole table has the
    /// size of its present state, and its answer doesn't wait, so that the return
    /// of a store that was lost is noticed with it.
    async fn read_changes(&mut self, after: StoreVersion) -> Result<bool, FeedError> {
        let asked = Asked::now(&self.shell, Some(after));
        let (table, wait) = (self.reader.table(), self.reader.wait());
        let changes = self.shell.store.changes(table, after, wait);
        let Some(page) = until_behind(&self.shell, &self.reader, changes).await? else {
            self.give_up(asked);
            return Ok(false);
        };
        self.count("answered");
        self.note_answer(page.version);
        let taken = self.cursor.take_changes(after, page.version);
        if taken != Taken::Rows {
            return self.not_taken(taken).await;
        }
        if !page.rows.is_empty() {
            self.reader.changed(page.rows);
        }
        Ok(true)
    }

    /// Waits while others follow the store for this entry and know of nothing
    /// newer. After an outage it does not wait: only an answer of its own tells
    /// the entry that the store is back.
    async fn wait_for_others(&self) {
        /// After the first sign of a change, so that one question brings those
        /// that follow it closely as well.
        const GATHER: Duration = Duration::from_millis(300);
        /// The longest wait: what was missed is mended then.
        const LONGEST: Duration = Duration::from_secs(30);
        let since = self.shell.now();
        let peers = &self.shell.peers;
        while self.cursor.seen().is_some() && !self.reader.is_behind() && !self.was_suspended() {
            let now = self.shell.now();
            let follows = peers.borrow().is_follower(now);
            if follows || self.reader.is_unsettled() || now.since(since) > LONGEST {
                return;
            }
            monoio::time::sleep(LOOK_EVERY).await;
        }
        // Of a return from a copy nothing more follows.
        let is_told_of_era = self.shell.newest_era() > self.era.unwrap_or(0);
        if self.cursor.seen().is_some() && !is_told_of_era {
            monoio::time::sleep(GATHER).await;
        }
    }

    /// Tells whether the machine was suspended since the table was last known.
    fn was_suspended(&self) -> bool {
        self.shell.resumes() != self.resumes
    }

    async fn turn(&mut self) -> Result<(), FeedError> {
        self.wait_for_others().await;
        // What was seen before a suspension is old, and no peer may be heard yet that
        // says so.
        if self.was_suspended() {
            self.cursor.forget();
            self.resumes = self.shell.resumes();
        }
        // Entries that are told of changes meet several at once.
        if self.reader.is_behind() && self.reader.has_one_row() {
            self.cursor.forget();
        }
        self.asked_at = self.shell.now();
        let answered = match self.cursor.ask() {
            None => self.read_whole().await?,
            Some(after) => self.read_changes(after).await?,
        };
        if let Some(seen) = self.cursor.seen().filter(|_| answered) {
            self.reader.current(seen);
        }
        Ok(())
    }

    /// Notes that the store answers, before the reader sees what it answered:
    /// what is missing after an outage may yet come back.
    fn note_answer(&mut self, version: StoreVersion) {
        self.shell.note_store_version(version);
        self.shell.store_up.set(true);
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let away = self.shell.now().since(since);
        self.reader.regained(away);
        let facts = format!("table={} away_ms={}", self.reader.table(), away.as_millis());
        LogEvent::new(LogEventKind::StoreRegained, facts).emit();
        self.set_up(1);
    }

    fn give_up(&self, asked: Asked) {
        // Kept connections may have fallen silent as well.
        self.shell.store.renew_connections();
        self.count("given_up");
        let facts = format!(
            "table={} after={} waited_ms={} received_bytes={}",
            self.reader.table(),
            asked.after.unwrap_or_default().rev,
            self.shell.now().since(asked.at).as_millis(),
            self.shell.store.received_bytes() - asked.received_before
        );
        LogEvent::new(LogEventKind::QuestionGivenUp, facts).emit();
    }

    fn count(&self, end: &str) {
        let questions = &self.shell.metrics.store_questions;
        let labels = [self.reader.table(), end];
        questions.with_label_values(&labels).inc();
    }

    fn note_loss(&mut self, error: &FeedError) {
        self.count("failed");
        self.shell.store_up.set(false);
        if self.lost_since.is_some() {
            return;
        }
        self.lost_since = Some(self.shell.now());
        let facts = format!(
            "table={} error={:?}",
            self.reader.table(),
            error.to_string()
        );
        LogEvent::new(LogEventKind::StoreLost, facts).emit();
        self.set_up(0);
    }

    fn set_up(&self, up: i64) {
        let gauge = &self.shell.metrics.store_up;
        gauge.with_label_values(&[self.reader.table()]).set(up);
    }
}

/// Waits for an answer; `None` says that a peer knows of something newer, or that the
/// machine was suspended meanwhile, so that the answer got lost.
async fn until_behind<T, E>(
    shell: &Shell,
    reader: &impl TableReader,
    answer: impl Future<Output = Result<T, E>>,
) -> Result<Option<T>, E> {
    /// How often peers' versions are compared.
    const COMPARE_EVERY: Duration = Duration::from_millis(200);
    /// Comparisons in a row that must find a peer ahead: an answer that is on its
    /// way needs no help.
    const COMPARISONS: u32 = 2;
    let mut answer = std::pin::pin!(answer);
    let resumes = shell.resumes();
    let mut behind = 0;
    loop {
        monoio::select! {
            page = &mut answer => return page.map(Some),
            () = monoio::time::sleep(COMPARE_EVERY) => {}
        }
        if shell.resumes() != resumes {
            return Ok(None);
        }
        behind = if reader.is_behind() { behind + 1 } else { 0 };
        if behind >= COMPARISONS {
            return Ok(None);
        }
    }
}

/// Returns when a peer comes to know of something newer; never, if one does so
/// already.
async fn until_newly_behind(reader: &impl TableReader) {
    if reader.is_behind() {
        return std::future::pending().await;
    }
    while !reader.is_behind() {
        monoio::time::sleep(LOOK_EVERY).await;
    }
}

/// Follows a table for ever.
pub(crate) async fn follow<R: TableReader>(shell: Rc<Shell>, reader: R) {
    let mut backoff = Backoff::new(Duration::from_millis(50));
    let mut watch = Watch {
        shell,
        reader,
        cursor: TableCursor::default(),
        era: None,
        lost_since: None,
        asked_at: Instant::ZERO,
        partial: None,
        resumes: 0,
    };
    watch.set_up(1);
    loop {
        match watch.turn().await {
            Ok(()) => backoff.reset(),
            Err(FeedError::HistoryGone) => {
                let table = watch.reader.table();
                let facts = format!("table={table}");
                LogEvent::new(LogEventKind::HistoryGone, facts).emit();
            }
            Err(e) => {
                watch.note_loss(&e);
                let took = watch.shell.now().since(watch.asked_at);
                // A peer that is ahead was answered: the store is back.
                monoio::select! {
                    () = backoff.pause_after(took) => {}
                    () = until_newly_behind(&watch.reader) => {}
                }
            }
        }
    }
}
