//! One line of a node's log.

use std::collections::HashMap;

/// A log line with a numbered event. A prefix added by a log collector, such as a
/// timestamp or a host name, is retained in `text`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The event number.
    pub event: u16,
    /// The line without surrounding whitespace.
    pub text: String,
    facts: HashMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it contains no numbered event.
    pub fn parse(text: &str) -> Option<Self> {
        let is_number = |word: &str| word.len() == 6 && word.starts_with("NW");
        let number = text.split_whitespace().find(|word| is_number(word))?;
        let event = number[2..].parse().ok()?;
        let after = text.find(number)? + number.len();
        Some(Self {
            event,
            text: text.trim().to_owned(),
            facts: parse_facts(&text[after..]),
        })
    }

    /// Returns the value of a `key=value` pair after the event number.
    pub fn fact(&self, name: &str) -> Option<&str> {
        self.facts.get(name).map(String::as_str)
    }
}

/// Parses `key=value` pairs; quoted values can contain spaces.
fn parse_facts(text: &str) -> HashMap<String, String> {
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
