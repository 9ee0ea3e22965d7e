//! All suspects of a node, as classes of subjects with the same evidence.
//!
//! A prompt may have more than a thousand parts. Those that always ran together have the same
//! evidence and are kept as one suspect, so that the cost of the rules depends on the number of
//! crashes and not on that of the parts. A class is split as soon as some of its members get
//! evidence that the others don't get.

use std::collections::{HashMap, HashSet};

use crate::{
    suspect::{Member, Suspect},
    Fingerprint, SubjectKind,
};

/// The suspects, found by each of their members. The leader, one of its members, is the key of
/// a class.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    classes: HashMap<Fingerprint, Suspect>,
    /// The leader of each member's class.
    leaders: HashMap<Fingerprint, Fingerprint>,
}

impl Suspects {
    pub fn get(&self, subject: Fingerprint) -> Option<&Suspect> {
        self.classes.get(self.leaders.get(&subject)?)
    }

    pub fn get_mut(&mut self, subject: Fingerprint) -> Option<&mut Suspect> {
        self.classes.get_mut(self.leaders.get(&subject)?)
    }

    pub fn leader(&self, subject: Fingerprint) -> Option<Fingerprint> {
        self.leaders.get(&subject).copied()
    }

    pub fn contains(&self, subject: Fingerprint) -> bool {
        self.leaders.contains_key(&subject)
    }

    /// Returns the number of members of all classes.
    pub fn member_count(&self) -> usize {
        self.leaders.len()
    }

    /// Returns the classes with their leaders.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.classes.iter().map(|(&leader, class)| (leader, class))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Fingerprint, &mut Suspect)> {
        let classes = self.classes.iter_mut();
        classes.map(|(&leader, class)| (leader, class))
    }

    pub fn values(&self) -> impl Iterator<Item = &Suspect> {
        self.classes.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Suspect> {
        self.classes.values_mut()
    }

    pub fn leaders(&self) -> Vec<Fingerprint> {
        self.classes.keys().copied().collect()
    }

    /// Returns the suspect of a content, and adds it if it is new.
    pub fn content(&mut self, content: Fingerprint) -> &mut Suspect {
        let leader = *self.leaders.entry(content).or_insert(content);
        self.classes.entry(leader).or_insert_with(|| {
            let member = Member {
                subject: content,
                part: None,
            };
            Suspect::new(SubjectKind::Content, vec![member])
        })
    }

    /// Adds a class of members that are in none yet; returns its leader.
    pub fn add_class(&mut self, class: Suspect) -> Option<Fingerprint> {
        let leader = class.members().first()?.subject;
        for member in class.members() {
            self.leaders.insert(member.subject, leader);
        }
        self.classes.insert(leader, class);
        Some(leader)
    }

    pub fn remove(&mut self, leader: Fingerprint) {
        let Some(class) = self.classes.remove(&leader) else {
            return;
        };
        for member in class.members() {
            self.leaders.remove(&member.subject);
        }
    }

    /// Retains the classes for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&Suspect) -> bool) {
        for leader in self.leaders() {
            if self.classes.get(&leader).is_some_and(|class| !keep(class)) {
                self.remove(leader);
            }
        }
    }

    /// Splits classes so that each has either all of its members in `subjects` or none.
    pub fn isolate(&mut self, subjects: &[Fingerprint]) -> Isolated {
        let mut selected: HashMap<Fingerprint, HashSet<Fingerprint>> = HashMap::new();
        let mut isolated = Isolated::default();
        for &subject in subjects {
            let Some(leader) = self.leader(subject) else {
                continue;
            };
            let of_class = selected.entry(leader).or_insert_with(|| {
                isolated.leaders.push(leader);
                HashSet::new()
            });
            of_class.insert(subject);
        }
        for leader in &mut isolated.leaders {
            let Some(selected) = selected.get(leader) else {
                continue;
            };
            let Some(rest) = self.split(*leader, selected) else {
                continue;
            };
            isolated.rests.extend(self.add_class(rest));
            let first = self.leader_of_any(selected);
            *leader = first.unwrap_or(*leader);
        }
        isolated
    }

    /// Reduces a class to the selected members; returns a class of the others, if there are any.
    fn split(&mut self, leader: Fingerprint, selected: &HashSet<Fingerprint>) -> Option<Suspect> {
        let class = self.classes.get(&leader)?;
        if class.members().len() == selected.len() {
            return None;
        }
        let mut class = self.classes.remove(&leader)?;
        let rest = class.split_off(|member| !selected.contains(&member.subject));
        self.add_class(class);
        Some(rest)
    }

    fn leader_of_any(&self, subjects: &HashSet<Fingerprint>) -> Option<Fingerprint> {
        self.leader(*subjects.iter().next()?)
    }
}

/// The result of [`Suspects::isolate`].
#[derive(Debug, Default)]
pub(crate) struct Isolated {
    /// The leaders of the classes whose members were selected.
    pub leaders: Vec<Fingerprint>,
    /// The leaders of the classes that were split off.
    pub rests: Vec<Fingerprint>,
}
