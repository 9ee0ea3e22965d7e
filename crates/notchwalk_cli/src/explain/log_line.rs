//! One line of an entry's log.

use std::collections::HashMap;

/// A numbered event as it stands in a log. What a collector puts before it, a time or
/// a name, is kept as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The event's number in the catalogue.
    pub event: u16,
    /// The line as it stands.
    pub text: String,
    facts: HashMap<String, String>,
}

impl LogLine {
    /// Reads a line; `None` if it holds no numbered event.
    pub fn parse(text: &str) -> Option<Self> {
        let is_number = |word: &str| word.len() == 6 && word.starts_with("NW");
        let number = text.split_whitespace().find(|word| is_number(word))?;
        let event = number[2..].parse().ok()?;
        let after = text.find(number)? + number.len();
        Some(Self {
            event,
            text: text.trim().to_owned(),
            facts: facts(&text[after..]),
        })
    }

    /// Returns a fact.
    pub fn fact(&self, name: &str) -> Option<&str> {
        self.facts.get(name).map(String::as_str)
    }
}

/// Reads `key=value` pairs; a value in quotes may hold blanks.
fn facts(text: &str) -> HashMap<String, String> {
    let mut facts = HashMap::new();
    let mut rest = text;
    while let Some(equals) = rest.find('=') {
        let key = rest[..equals].rsplit(' ').next().unwrap_or("").to_owned();
        let value = &rest[equals + 1..];
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => value.split_once(' ').unwrap_or((value, "")),
        };
        facts.insert(key, value.to_owned());
        rest = after;
    }
    facts
}
