//! Follows the changes of one table of the platform's store.

use std::{future::Future, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_daemon::Backoff;
use notchwalk_platform::{
    FeedError, PlatformError, ResponseValidity, Row, RowPage, StoreVersion, TableCursor,
};
use rand::Rng;

use crate::shell::Shell;

/// How long the store holds a poll until it responds without changes. Bounds the time
/// to detect a silently broken connection if no peer has newer data.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(1_700);
/// How long the pages of an interrupted read are retained: longer than the backoff
/// between attempts, short enough that the changes since then are still available.
const PARTIAL_READ_RETENTION: Duration = Duration::from_secs(3);

/// How often the versions of peers are compared with the local one; adds to the
/// propagation delay of changes.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Consumer of a followed table.
pub(crate) trait TableReader {
    /// Returns the name of the table.
    fn table(&self) -> &str;

    /// Returns how long a poll waits for a change. The loss of a response may not be
    /// noticed before that.
    fn poll_wait(&self) -> Duration {
        POLL_WAIT
    }

    /// Replaces the contents by those of the whole table.
    fn replace_all(&mut self, rows: Vec<Row>);

    /// Applies changed rows.
    fn apply_changes(&mut self, rows: Vec<Row>);

    /// Returns whether a peer has seen a newer version, so that the response to a
    /// pending poll must have been lost.
    fn is_behind(&self) -> bool {
        false
    }

    /// Returns whether the table has a single row. Reading it returns no more than
    /// polling for changes does.
    fn has_one_row(&self) -> bool {
        false
    }

    /// Returns whether the reader retains lapsed rows that may be renewed; this node then
    /// polls even if it is not a follower.
    fn has_lapsed_rows(&self) -> bool {
        false
    }

    /// Called when the contents are current as of this version of the store.
    fn set_current(&mut self, _version: StoreVersion) {}

    /// Called when the store was restored from a snapshot, before
    /// [`TableReader::replace_all`].
    fn store_restored(&mut self) {}

    /// Called when the store responds again after an outage of this length.
    fn store_recovered(&mut self, _outage: Duration) {}
}

/// A pending poll of the store.
struct PendingPoll {
    /// The version after which changes were requested; `None` for the whole table.
    after: Option<StoreVersion>,
    /// When the poll was sent.
    at: Instant,
    /// Bytes received from the store before the poll.
    received_before: u64,
}

impl PendingPoll {
    fn now(shell: &Shell, after: Option<StoreVersion>) -> Self {
        Self {
            after,
            at: shell.now(),
            received_before: shell.store.received_bytes(),
        }
    }
}

/// The pages of an incomplete read of a table.
struct PartialRead {
    rows: Vec<Row>,
    /// The version of the store at the first page; changes since then are read after
    /// the last page.
    first_version: StoreVersion,
    /// When the latest page was read.
    at: Instant,
}

impl PartialRead {
    /// Returns the key at which the next page starts.
    fn next_key(&self) -> String {
        // The successor in byte order.
        let last = self.rows.last();
        last.map_or_else(String::new, |last| format!("{}\0", last.key))
    }
}

/// A table being followed.
struct TableWatch<R> {
    shell: Rc<Shell>,
    reader: R,
    /// The version up to which the table is known.
    cursor: TableCursor,
    /// The epoch of the store in which the whole table was last read.
    epoch: Option<u64>,
    unavailable_since: Option<Instant>,
    /// When the store was last polled.
    polled_at: Instant,
    /// An incomplete read of the whole table.
    partial: Option<PartialRead>,
    /// The resume count of the machine when the last poll started.
    resume_count: u64,
}

impl<R: TableReader> TableWatch<R> {
    /// Reads the whole table; returns whether it is complete.
    ///
    /// After a failure, the next call resumes at the page that failed.
    async fn read_whole(&mut self) -> Result<bool, FeedError> {
        let retained_since = self.shell.now().before(PARTIAL_READ_RETENTION);
        self.partial = self.partial.take().filter(|read| read.at >= retained_since);
        loop {
            let from = self.partial.as_ref().map(PartialRead::next_key);
            let Some(page) = self.read_page(&from.unwrap_or_default()).await? else {
                return Ok(false);
            };
            self.record_response(page.version);
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
            let validity = self.cursor.record_full_read(first, page.version);
            if validity != ResponseValidity::Valid {
                self.partial = None;
                return self.handle_unusable(validity).await;
            }
            if is_last {
                break;
            }
            self.cursor.reset();
        }
        let Some(read) = self.partial.take() else {
            return Ok(false);
        };
        let epoch = read.first_version.epoch;
        if self
            .epoch
            .replace(epoch)
            .is_some_and(|before| before < epoch)
        {
            self.reader.store_restored();
        }
        self.reader.replace_all(read.rows);
        Ok(true)
    }

    /// Handles a response whose rows can't be used. After a restore all nodes read the
    /// whole table, at random delays to spread the load.
    async fn handle_unusable(&mut self, validity: ResponseValidity) -> Result<bool, FeedError> {
        /// Delay per live node. 300 nodes then read within 0.9 s.
        const SPREAD_PER_NODE: Duration = Duration::from_millis(3);
        if validity == ResponseValidity::FormerEpoch {
            let reason = "the answer is of a former era of the store".to_owned();
            return Err(PlatformError::NoAnswer(reason).into());
        }
        let alive = self.shell.peers.borrow().alive_count(self.shell.now());
        let spread = SPREAD_PER_NODE * (alive + 1);
        monoio::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        Ok(false)
    }

    /// Reads a page; `None` if the read was abandoned because a peer has seen a newer
    /// version meanwhile. A read that starts while a peer is ahead is not abandoned.
    async fn read_page(&self, from: &str) -> Result<Option<RowPage>, FeedError> {
        let poll = PendingPoll::now(&self.shell, None);
        let was_behind = self.reader.is_behind();
        let page = self.shell.store.read(self.reader.table(), from);
        if was_behind {
            return Ok(Some(page.await?));
        }
        let page = wait_unless_behind(&self.shell, &self.reader, page).await?;
        if page.is_none() {
            self.abandon_poll(poll);
        }
        Ok(page)
    }

    /// Polls for changes; returns whether the store responded.
    ///
    /// An abandoned poll is followed by a read of the whole table, whose size is bounded.
    /// The changes may exceed what a slow link transfers before a poll is abandoned.
    async fn read_changes(&mut self, after: StoreVersion) -> Result<bool, FeedError> {
        let poll = PendingPoll::now(&self.shell, Some(after));
        let (table, poll_wait) = (self.reader.table(), self.poll_wait());
        let changes = self.shell.store.poll_changes(table, after, poll_wait);
        let Some(page) = wait_unless_behind(&self.shell, &self.reader, changes).await? else {
            self.abandon_poll(poll);
            return Ok(false);
        };
        self.count_poll("answered");
        self.record_response(page.version);
        let validity = self.cursor.record_changes(after, page.version);
        if validity != ResponseValidity::Valid {
            return self.handle_unusable(validity).await;
        }
        if !page.rows.is_empty() {
            self.reader.apply_changes(page.rows);
        }
        Ok(true)
    }

    /// Returns how long a poll waits for a change. A change ends the polls of all followers
    /// together; they wait for different times afterwards, so that at any time one of them has
    /// had a response recently.
    fn poll_wait(&self) -> Duration {
        const SHORTEST_FRACTION: f64 = 0.7;
        let poll_wait = self.reader.poll_wait();
        if !self.shell.peers.borrow().relies_on_followers() {
            return poll_wait;
        }
        poll_wait.mul_f64(rand::rng().random_range(SHORTEST_FRACTION..1.0))
    }

    /// Waits until this node has to query the store. Followers query it at once, and so
    /// does each node after an outage. Other nodes wait until a peer has seen a newer
    /// version, no node of the group hears from the store or the machine was suspended.
    async fn wait_until_query_due(&self) {
        /// Delay after a peer has seen a change, so that one poll covers changes in quick
        /// succession.
        const COALESCE_DELAY: Duration = Duration::from_millis(300);
        /// Maximum wait, which bounds how long a missed change goes unnoticed.
        const MAX_WAIT: Duration = Duration::from_secs(30);
        let started_at = self.shell.now();
        let peers = &self.shell.peers;
        while self.cursor.position().is_some() && !self.reader.is_behind() && !self.was_suspended()
        {
            let now = self.shell.now();
            let follows = peers.borrow().is_follower(now);
            let own_response_at = self.shell.store_responded_at.get();
            if peers.borrow().is_store_silent(own_response_at, now) {
                return;
            }
            if follows || self.reader.has_lapsed_rows() || now.since(started_at) > MAX_WAIT {
                return;
            }
            monoio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
        // After a restore there are no further changes to wait for.
        let epoch_changed = self.shell.newest_epoch() > self.epoch.unwrap_or(0);
        if self.cursor.position().is_some() && !epoch_changed {
            monoio::time::sleep(COALESCE_DELAY).await;
        }
    }

    /// Returns whether the machine was suspended since the last poll started.
    fn was_suspended(&self) -> bool {
        self.shell.resume_count() != self.resume_count
    }

    /// Waits until a query is due, then reads the whole table or polls for changes.
    async fn query_once(&mut self) -> Result<(), FeedError> {
        self.wait_until_query_due().await;
        // The known version may be stale, and peers may not have sent newer ones yet.
        if self.was_suspended() {
            self.cursor.reset();
            self.resume_count = self.shell.resume_count();
        }
        // Several changes may be pending; the current row replaces them all.
        if self.reader.is_behind() && self.reader.has_one_row() {
            self.cursor.reset();
        }
        self.polled_at = self.shell.now();
        let responded = match self.cursor.start_query() {
            None => self.read_whole().await?,
            Some(after) => self.read_changes(after).await?,
        };
        if let Some(position) = self.cursor.position().filter(|_| responded) {
            self.reader.set_current(position);
        }
        Ok(())
    }

    /// Records that the store responds. Called before the rows are applied, so that rows
    /// that lapsed during an outage are retained for the grace period.
    fn record_response(&mut self, version: StoreVersion) {
        self.shell.observe_store_version(version);
        self.shell.store_up.set(true);
        self.shell.store_responded_at.set(Some(self.shell.now()));
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        let outage = self.shell.now().since(since);
        self.reader.store_recovered(outage);
        let facts = format!(
            "table={} away_ms={}",
            self.reader.table(),
            outage.as_millis()
        );
        LogEvent::new(LogEventKind::StoreRecovered, facts).emit();
        self.set_store_up(1);
    }

    fn abandon_poll(&self, poll: PendingPoll) {
        // Idle connections may be broken as well.
        self.shell.store.reset_connections();
        self.count_poll("given_up");
        let facts = format!(
            "table={} after={} waited_ms={} received_bytes={}",
            self.reader.table(),
            poll.after.unwrap_or_default().rev,
            self.shell.now().since(poll.at).as_millis(),
            self.shell.store.received_bytes() - poll.received_before
        );
        LogEvent::new(LogEventKind::ChangePollAbandoned, facts).emit();
    }

    fn count_poll(&self, end: &str) {
        let polls = &self.shell.metrics.store_polls;
        let labels = [self.reader.table(), end];
        polls.with_label_values(&labels).inc();
    }

    fn record_failure(&mut self, error: &FeedError) {
        self.count_poll("failed");
        self.shell.store_up.set(false);
        if self.unavailable_since.is_some() {
            return;
        }
        self.unavailable_since = Some(self.shell.now());
        let facts = format!(
            "table={} error={:?}",
            self.reader.table(),
            error.to_string()
        );
        LogEvent::new(LogEventKind::StoreUnavailable, facts).emit();
        self.set_store_up(0);
    }

    fn set_store_up(&self, up: i64) {
        let gauge = &self.shell.metrics.store_up;
        gauge.with_label_values(&[self.reader.table()]).set(up);
    }
}

/// Waits for a response; `None` if a peer has seen a newer version, or if the machine
/// was suspended: the response is probably lost then.
async fn wait_unless_behind<T, E>(
    shell: &Shell,
    reader: &impl TableReader,
    response: impl Future<Output = Result<T, E>>,
) -> Result<Option<T>, E> {
    /// How often the versions of peers are compared.
    const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
    /// Consecutive comparisons that must find a peer ahead, so that a response in
    /// transit can still arrive.
    const REQUIRED_COMPARISONS: u32 = 2;
    let mut response = std::pin::pin!(response);
    let resume_count = shell.resume_count();
    let mut times_behind = 0;
    loop {
        monoio::select! {
            page = &mut response => return page.map(Some),
            () = monoio::time::sleep(COMPARE_INTERVAL) => {}
        }
        if shell.resume_count() != resume_count {
            return Ok(None);
        }
        times_behind = if reader.is_behind() {
            times_behind + 1
        } else {
            0
        };
        if times_behind >= REQUIRED_COMPARISONS {
            return Ok(None);
        }
    }
}

/// Waits until a peer sees a newer version; forever if one already has at the start.
async fn wait_until_behind(reader: &impl TableReader) {
    if reader.is_behind() {
        return std::future::pending().await;
    }
    while !reader.is_behind() {
        monoio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Follows a table forever.
pub(crate) async fn follow<R: TableReader>(shell: Rc<Shell>, reader: R) {
    let mut backoff = Backoff::new(Duration::from_millis(50));
    let mut watch = TableWatch {
        shell,
        reader,
        cursor: TableCursor::default(),
        epoch: None,
        unavailable_since: None,
        polled_at: Instant::ZERO,
        partial: None,
        resume_count: 0,
    };
    watch.set_store_up(1);
    loop {
        match watch.query_once().await {
            Ok(()) => backoff.reset(),
            Err(FeedError::HistoryExpired) => {
                let table = watch.reader.table();
                let facts = format!("table={table}");
                LogEvent::new(LogEventKind::ChangeHistoryExpired, facts).emit();
            }
            Err(e) => {
                watch.record_failure(&e);
                let took = watch.shell.now().since(watch.polled_at);
                // A peer that moves ahead indicates that the store is available again.
                monoio::select! {
                    () = backoff.wait_since_start_of(took) => {}
                    () = wait_until_behind(&watch.reader) => {}
                }
            }
        }
    }
}
