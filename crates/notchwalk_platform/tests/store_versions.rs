//! All orders of a few events: two entries follow one table of two rows; rows are
//! written, a copy is taken, and the store comes back from it. Answers are late: what
//! the store said before its return may arrive after it.

use std::collections::{BTreeMap, HashSet};

use notchwalk_platform::{StoreVersion, TableCursor, Taken};

const KEYS: [char; 2] = ['a', 'b'];
const WRITES: u8 = 3;
/// Questions of one entry, besides those at the end.
const QUESTIONS: u8 = 2;

/// What the store holds: of each key its value and its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rows {
    rows: BTreeMap<char, (u8, u64)>,
    rev: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Store {
    era: u64,
    now: Rows,
    copy: Option<Rows>,
    writes: u8,
    restored: bool,
}

impl Store {
    fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.now.rev)
    }

    fn write(&mut self, key: char) {
        self.writes += 1;
        self.now.rev += 1;
        self.now.rows.insert(key, (self.writes, self.now.rev));
    }

    /// Returns the rows with keys among these that changed after a revision.
    fn since(&self, keys: &[char], after: u64) -> Vec<Told> {
        let rows = self.now.rows.iter();
        let rows = rows.filter(|(key, (_, rev))| keys.contains(key) && *rev > after);
        let told = rows.map(|(&key, &(value, rev))| Told {
            key,
            value,
            version: StoreVersion::new(self.era, rev),
        });
        told.collect()
    }
}

/// A row as an answer brings it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Told {
    key: char,
    value: u8,
    version: StoreVersion,
}

/// Where an entry's question is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Question {
    #[default]
    None,
    /// On its way: for changes after a version, or for the whole table.
    Asked(Option<StoreVersion>),
    /// Changes are on their way back; `None` for a version that the store lacks.
    Changes(StoreVersion, Option<(StoreVersion, Vec<Told>)>),
    /// The first page of the whole table arrived, the second one was not asked for.
    FirstPage(StoreVersion, Vec<Told>),
}

#[derive(Clone, Debug, Default)]
struct Entry {
    cursor: TableCursor,
    known: BTreeMap<char, (u8, StoreVersion)>,
    question: Question,
    asked: u8,
}

impl Entry {
    fn ask(&mut self) {
        self.asked += 1;
        self.question = Question::Asked(self.cursor.ask());
    }

    /// The next step of the question: the store answers, or the answer arrives.
    fn go_on(&mut self, store: &Store) {
        self.question = match std::mem::take(&mut self.question) {
            Question::None => Question::None,
            Question::Asked(None) => {
                Question::FirstPage(store.version(), store.since(&KEYS[..1], 0))
            }
            Question::Asked(Some(after)) if after.rev > store.now.rev => {
                Question::Changes(after, None)
            }
            Question::Asked(Some(after)) => {
                let changes = (store.version(), store.since(&KEYS, after.rev));
                Question::Changes(after, Some(changes))
            }
            Question::Changes(_, None) => Question::None,
            Question::Changes(after, Some((version, rows))) => {
                if self.cursor.take_changes(after, version) == Taken::Rows {
                    self.take(&rows);
                }
                Question::None
            }
            Question::FirstPage(first, mut rows) => {
                rows.extend(store.since(&KEYS[1..], 0));
                if self.cursor.take_whole(first, store.version()) == Taken::Rows {
                    self.known
                        .retain(|key, _| rows.iter().any(|row| row.key == *key));
                    self.take(&rows);
                }
                Question::None
            }
        }
    }

    fn take(&mut self, rows: &[Told]) {
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
struct World {
    store: Store,
    entries: [Entry; 2],
}

impl World {
    /// Returns what may happen next.
    fn next(&self) -> Vec<World> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        if self.store.writes < WRITES {
            for key in KEYS {
                add(&|world| world.store.write(key));
            }
        }
        if self.store.copy.is_none() {
            add(&|world| world.store.copy = Some(world.store.now.clone()));
        }
        if let Some(copy) = self.store.copy.clone().filter(|_| !self.store.restored) {
            add(&|world| {
                world.store.now = copy.clone();
                world.store.era += 1;
                world.store.restored = true;
            });
        }
        for number in 0..self.entries.len() {
            let entry = &self.entries[number];
            if entry.question != Question::None {
                add(&|world| world.entries[number].go_on(&world.store));
            } else if entry.asked < QUESTIONS {
                add(&|world| world.entries[number].ask());
            }
        }
        next
    }

    /// Returns what tells this state from others.
    fn fingerprint(&self) -> String {
        format!("{self:?}")
    }

    /// Lets all questions end and asks again: then every entry knows what the store
    /// holds.
    fn check(&self) {
        /// An answer of before, one that brings a new era, one for the whole.
        const ROUNDS: usize = 3;
        let mut world = self.clone();
        let store = world.store.clone();
        for entry in &mut world.entries {
            for _ in 0..ROUNDS {
                while entry.question != Question::None {
                    entry.go_on(&store);
                }
                entry.ask();
            }
            while entry.question != Question::None {
                entry.go_on(&store);
            }
            let held = store
                .now
                .rows
                .iter()
                .map(|(&key, &(value, _))| (key, value));
            let held: BTreeMap<char, u8> = held.collect();
            assert_eq!(entry.values(), held, "{self:#?}");
        }
    }
}

#[test]
fn entries_know_what_the_store_holds_after_any_order_of_events() {
    let mut seen = HashSet::new();
    let mut open = vec![World::default()];
    while let Some(world) = open.pop() {
        if !seen.insert(world.fingerprint()) {
            continue;
        }
        world.check();
        open.extend(world.next());
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

#[test]
fn an_answer_of_a_former_era_changes_nothing() {
    let mut cursor = TableCursor::default();
    assert_eq!(cursor.ask(), None);
    let newer = StoreVersion::new(1, 4);
    assert_eq!(cursor.take_whole(newer, newer), Taken::Rows);
    let former = StoreVersion::new(0, 90);
    assert_eq!(cursor.take_changes(newer, former), Taken::FormerEra);
    assert_eq!(cursor.seen(), Some(newer));
    assert_eq!(cursor.take_whole(former, former), Taken::FormerEra);
    assert!(former < newer);
}
