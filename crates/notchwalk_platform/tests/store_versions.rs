//! Model check of `TableCursor`: two nodes follow a table of two rows while rows are written
//! and the store is restored from a snapshot. Responses sent before the restore can arrive
//! after it. Guards against nodes that retain stale rows after a restore.

use std::collections::{BTreeMap, HashSet};

use notchwalk_platform::{ResponseValidity, StoreVersion, TableCursor};

const KEYS: [char; 2] = ['a', 'b'];
const MAX_WRITES: u8 = 3;
/// Queries per node, besides those of the final check.
const MAX_QUERIES: u8 = 2;

/// The content of the store: the value and revision of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rows {
    rows: BTreeMap<char, (u8, u64)>,
    rev: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Store {
    epoch: u64,
    current: Rows,
    snapshot: Option<Rows>,
    writes: u8,
    restored: bool,
}

impl Store {
    fn version(&self) -> StoreVersion {
        StoreVersion::new(self.epoch, self.current.rev)
    }

    fn write(&mut self, key: char) {
        self.writes += 1;
        self.current.rev += 1;
        self.current
            .rows
            .insert(key, (self.writes, self.current.rev));
    }

    /// Returns the rows with these keys that changed after a revision.
    fn changes_since(&self, keys: &[char], after: u64) -> Vec<RowUpdate> {
        let rows = self.current.rows.iter();
        let rows = rows.filter(|(key, (_, rev))| keys.contains(key) && *rev > after);
        let updates = rows.map(|(&key, &(value, rev))| RowUpdate {
            key,
            value,
            version: StoreVersion::new(self.epoch, rev),
        });
        updates.collect()
    }
}

/// A row of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RowUpdate {
    key: char,
    value: u8,
    version: StoreVersion,
}

/// The state of a node's query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Query {
    #[default]
    None,
    /// The query was sent to the store. It requests the changes after a version, or the whole
    /// table.
    Sent(Option<StoreVersion>),
    /// The store sent the changes after a version; `None` if that version is unknown to it.
    Changes(StoreVersion, Option<(StoreVersion, Vec<RowUpdate>)>),
    /// The first page of the whole table was received; the second was not requested yet.
    FirstPage(StoreVersion, Vec<RowUpdate>),
}

#[derive(Clone, Debug, Default)]
struct Node {
    cursor: TableCursor,
    known: BTreeMap<char, (u8, StoreVersion)>,
    query: Query,
    queries: u8,
}

impl Node {
    fn start_query(&mut self) {
        self.queries += 1;
        self.query = Query::Sent(self.cursor.start_query());
    }

    /// Advances the query: the store sends the response, or the node receives it.
    fn step(&mut self, store: &Store) {
        self.query = match std::mem::take(&mut self.query) {
            Query::None => Query::None,
            Query::Sent(None) => {
                Query::FirstPage(store.version(), store.changes_since(&KEYS[..1], 0))
            }
            Query::Sent(Some(after)) if after.rev > store.current.rev => {
                Query::Changes(after, None)
            }
            Query::Sent(Some(after)) => {
                let changes = (store.version(), store.changes_since(&KEYS, after.rev));
                Query::Changes(after, Some(changes))
            }
            Query::Changes(_, None) => Query::None,
            Query::Changes(after, Some((version, rows))) => {
                if self.cursor.record_changes(after, version) == ResponseValidity::Valid {
                    self.apply(&rows);
                }
                Query::None
            }
            Query::FirstPage(first, mut rows) => {
                rows.extend(store.changes_since(&KEYS[1..], 0));
                if self.cursor.record_full_read(first, store.version()) == ResponseValidity::Valid {
                    self.known
                        .retain(|key, _| rows.iter().any(|row| row.key == *key));
                    self.apply(&rows);
                }
                Query::None
            }
        }
    }

    fn apply(&mut self, rows: &[RowUpdate]) {
        for row in rows {
            let known = self.known.get(&row.key);
            if known.is_some_and(|(_, version)| row.version < *version) {
                continue;
            }
            self.known.insert(row.key, (row.value, row.version));
        }
    }

    fn values(&self) -> BTreeMap<char, u8> {
        let known = self.known.iter();
        known.map(|(&key, &(value, _))| (key, value)).collect()
    }
}

#[derive(Clone, Debug, Default)]
struct System {
    store: Store,
    nodes: [Node; 2],
}

impl System {
    /// Returns the states that can follow.
    fn successors(&self) -> Vec<System> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut System)| {
            let mut system = self.clone();
            change(&mut system);
            next.push(system);
        };
        if self.store.writes < MAX_WRITES {
            for key in KEYS {
                add(&|system| system.store.write(key));
            }
        }
        if self.store.snapshot.is_none() {
            add(&|system| system.store.snapshot = Some(system.store.current.clone()));
        }
        if let Some(snapshot) = self.store.snapshot.clone().filter(|_| !self.store.restored) {
            add(&|system| {
                system.store.current = snapshot.clone();
                system.store.epoch += 1;
                system.store.restored = true;
            });
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.query != Query::None {
                add(&|system| system.nodes[index].step(&system.store));
            } else if node.queries < MAX_QUERIES {
                add(&|system| system.nodes[index].start_query());
            }
        }
        next
    }

    /// Returns a string that is unique to this state.
    fn fingerprint(&self) -> String {
        format!("{self:?}")
    }

    /// Completes all queries and sends further ones, after which every node must have the
    /// content of the store.
    fn check(&self) {
        /// Enough for a late response, a response of a new epoch and a read of the whole table.
        const ROUNDS: usize = 3;
        let mut system = self.clone();
        let store = system.store.clone();
        for node in &mut system.nodes {
            for _ in 0..ROUNDS {
                while node.query != Query::None {
                    node.step(&store);
                }
                node.start_query();
            }
            while node.query != Query::None {
                node.step(&store);
            }
            let expected = store
                .current
                .rows
                .iter()
                .map(|(&key, &(value, _))| (key, value));
            let expected: BTreeMap<char, u8> = expected.collect();
            assert_eq!(node.values(), expected, "{self:#?}");
        }
    }
}

#[test]
fn nodes_converge_to_the_store_after_any_order_of_events() {
    let mut visited = HashSet::new();
    let mut pending = vec![System::default()];
    while let Some(system) = pending.pop() {
        if !visited.insert(system.fingerprint()) {
            continue;
        }
        system.check();
        pending.extend(system.successors());
    }
    println!("{} states", visited.len());
    assert!(visited.len() > 10_000, "{} states", visited.len());
}

#[test]
fn response_of_a_former_epoch_is_ignored() {
    let mut cursor = TableCursor::default();
    assert_eq!(cursor.start_query(), None);
    let newer = StoreVersion::new(1, 4);
    assert_eq!(
        cursor.record_full_read(newer, newer),
        ResponseValidity::Valid
    );
    let former = StoreVersion::new(0, 90);
    assert_eq!(
        cursor.record_changes(newer, former),
        ResponseValidity::FormerEpoch
    );
    assert_eq!(cursor.position(), Some(newer));
    assert_eq!(
        cursor.record_full_read(former, former),
        ResponseValidity::FormerEpoch
    );
    assert!(former < newer);
}
