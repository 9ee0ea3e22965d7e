//! Reads INI text and collects all findings with their location. Unknown keys and sections
//! are findings, since they are usually typos.

use std::{cell::RefCell, collections::BTreeSet, fmt::Display, str::FromStr};

use ini::{Ini, ParseOption, Properties};
use notchwalk_core::Findings;

/// A parsed INI file.
pub struct IniFile {
    name: String,
    ini: Ini,
    findings: RefCell<Findings>,
    used_sections: RefCell<BTreeSet<String>>,
}

impl IniFile {
    /// Parses `text`; findings refer to the file as `name`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| {
            let mut findings = Findings::default();
            findings.add(name, "", "", format!("line {}: {}", e.line + 1, e.msg));
            findings
        })?;
        Ok(Self {
            name: name.to_owned(),
            ini,
            findings: RefCell::default(),
            used_sections: RefCell::default(),
        })
    }

    /// Returns a reader of the section with exactly this title.
    pub fn section(&self, name: &str) -> SectionReader<'_> {
        self.used_sections.borrow_mut().insert(name.to_owned());
        SectionReader::new(self, name, self.ini.section(Some(name)))
    }

    /// Returns the sections with the title `KIND NAME` and their `NAME`s, in file order.
    pub fn sections_of_kind(&self, kind: &str) -> Vec<(String, SectionReader<'_>)> {
        let mut sections = Vec::new();
        let mut seen = BTreeSet::new();
        for (title, properties) in self.ini.iter() {
            let Some(title) = title else { continue };
            let Some((section_kind, name)) = title.split_once(' ') else {
                continue;
            };
            if section_kind != kind {
                continue;
            }
            self.used_sections.borrow_mut().insert(title.to_owned());
            let name = name.trim().to_owned();
            if !seen.insert(name.clone()) {
                self.report(title, "", "duplicate section");
                continue;
            }
            sections.push((name, SectionReader::new(self, title, Some(properties))));
        }
        sections
    }

    /// Records a finding.
    pub fn report(&self, section: &str, key: &str, reason: impl Into<String>) {
        let mut findings = self.findings.borrow_mut();
        findings.add(&self.name, section, key, reason);
    }

    /// Finishes reading and checks that every section was read.
    ///
    /// # Errors
    ///
    /// Returns all findings, including unknown sections.
    pub fn finish(self) -> Result<(), Findings> {
        for (title, properties) in self.ini.iter() {
            match title {
                None if properties.is_empty() => {}
                None => self.report("", "", "keys before the first section"),
                Some(title) if !self.used_sections.borrow().contains(title) => {
                    self.report(title, "", "unknown section");
                }
                Some(_) => {}
            }
        }
        self.findings.into_inner().into_result(())
    }
}

/// Reads the keys of one section; reports unknown keys when dropped.
pub struct SectionReader<'a> {
    file: &'a IniFile,
    title: String,
    properties: Option<&'a Properties>,
    used_keys: RefCell<BTreeSet<String>>,
}

impl<'a> SectionReader<'a> {
    fn new(file: &'a IniFile, title: &str, properties: Option<&'a Properties>) -> Self {
        Self {
            file,
            title: title.to_owned(),
            properties,
            used_keys: RefCell::default(),
        }
    }

    /// Returns whether the file contains the section.
    pub fn exists(&self) -> bool {
        self.properties.is_some()
    }

    /// Records a finding about a key.
    pub fn report(&self, key: &str, reason: impl Into<String>) {
        self.file.report(&self.title, key, reason);
    }

    /// Returns the text of a key, if present.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.used_keys.borrow_mut().insert(key.to_owned());
        let properties = self.properties?;
        if properties.get_all(key).count() > 1 {
            self.report(key, "duplicate key");
        }
        properties.get(key).map(str::trim)
    }

    /// Returns the value of a key, if present and valid.
    pub fn optional<T: FromStr>(&self, key: &str) -> Option<T>
    where
        T::Err: Display,
    {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(key, format!("can't read {text:?}: {e}"));
                None
            }
        }
    }

    /// Returns the value of a key, or `default` if it is absent or invalid.
    pub fn value_or<T: FromStr>(&self, key: &str, default: T) -> T
    where
        T::Err: Display,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Returns a number in `min..=max`, or `default` if it is absent or invalid.
    pub fn in_range<T>(&self, key: &str, default: T, min: T, max: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
        T::Err: Display,
    {
        let value = self.value_or(key, default);
        if value < min || value > max {
            self.report(key, format!("{value} lies outside {min} to {max}"));
            return default;
        }
        value
    }

    /// Returns the value of a required key.
    pub fn required<T: FromStr>(&self, key: &str) -> Option<T>
    where
        T::Err: Display,
    {
        let missing = self.text(key).is_none();
        if missing {
            self.report(key, "the key is missing");
        }
        self.optional(key)
    }

    /// Returns the items of a comma-separated list; empty if the key is absent.
    pub fn list(&self, key: &str) -> Vec<String> {
        let text = self.text(key).unwrap_or("");
        let items = text.split(',').map(str::trim);
        items
            .filter(|item| !item.is_empty())
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for SectionReader<'_> {
    fn drop(&mut self) {
        let Some(properties) = self.properties else {
            return;
        };
        for (key, _) in properties.iter() {
            if !self.used_keys.borrow().contains(key) {
                self.report(key, "unknown key");
            }
        }
    }
}
