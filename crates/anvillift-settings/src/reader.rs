//! Reads typed values from one section.
//!
//! A [`Reader`] returns the values of a section by key and collects a fault for
//! each value that is not allowed. [`Reader::finish`] adds one for each key of
//! the section that was never read, since it must be unknown.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use anvillift_schema::name::Name;

use crate::document::{self, Document, Section};
use crate::fault::Fault;
use crate::hint;

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Rule for names, as shown in faults; [`document::is_name`] implements it.
pub(crate) const NAME_RULE: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// Reads the values of one section and collects their faults.
pub(crate) struct Reader<'a> {
    document: &'a Document,
    section: &'a Section,
    known_keys: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `section`, which must belong to `document`.
    pub(crate) fn new(document: &'a Document, section: &'a Section) -> Self {
        Self { document, section, known_keys: Vec::new(), faults: Vec::new() }
    }

    /// Reads the label of the section, such as the name of a peer; a missing one is a fault.
    pub(crate) fn label(&mut self) -> Name {
        let label = self.section.label.clone().unwrap_or_default();
        if !document::is_name(&label) {
            let message = format!("the section needs a name of {NAME_RULE}");
            self.faults.push(self.document.fault(self.section, message));
        }
        label
    }

    /// Reads the text of a key; `None` if the key is left out or, with a fault, empty.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        let entry = self.section.entries.get(key)?;
        if entry.value.is_empty() {
            self.fault(key, "is empty; leave the key out or give a value".to_owned());
            return None;
        }
        Some(&entry.value)
    }

    /// Reads the text of a mandatory key; `allowed` describes it if it is missing.
    pub(crate) fn required_text(&mut self, key: &'static str, allowed: &str) -> String {
        let text = self.text(key).map(str::to_owned);
        if text.is_none() && !self.section.entries.contains_key(key) {
            self.fault(key, format!("is missing; give {allowed}"));
        }
        text.unwrap_or_default()
    }

    /// Reads a mandatory name.
    pub(crate) fn required_name(&mut self, key: &'static str) -> Name {
        let text = self.required_text(key, NAME_RULE);
        if !text.is_empty() && !document::is_name(&text) {
            self.fault(key, format!("`{text}` is not a valid name; allowed: {NAME_RULE}"));
        }
        Name::from(text)
    }

    /// Reads an optional name; `None` if the key is left out.
    pub(crate) fn name(&mut self, key: &'static str) -> Option<Name> {
        self.text(key)?;
        self.known_keys.pop();
        Some(self.required_name(key))
    }

    /// Reads a comma-separated list, without empty items.
    fn items(&mut self, key: &'static str) -> Vec<&'a str> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::trim).filter(|item| !item.is_empty()).collect()
    }

    /// Reads a comma-separated list of names, without invalid and duplicate ones.
    pub(crate) fn names(&mut self, key: &'static str) -> Vec<Name> {
        let mut names: Vec<Name> = Vec::new();
        let mut seen = BTreeSet::new();
        for item in self.items(key) {
            let name = Name::from(item);
            if !document::is_name(item) {
                self.fault(key, format!("`{item}` is not a valid name; allowed: {NAME_RULE}"));
            } else if !seen.insert(item) {
                self.fault(key, format!("`{item}` is listed twice"));
            } else {
                names.push(name);
            }
        }
        names
    }

    /// Reads a comma-separated list of SHA-256 hashes in hexadecimal, as lower case.
    pub(crate) fn hashes(&mut self, key: &'static str) -> Vec<String> {
        let items = self.items(key);
        let mut hashes = Vec::with_capacity(items.len());
        for item in items {
            let digits = item.bytes().all(|byte| byte.is_ascii_hexdigit());
            if item.len() != HASH_DIGITS || !digits {
                let rule = format!("{HASH_DIGITS} hexadecimal digits of a SHA-256 hash");
                self.fault(key, format!("contains an entry that is not a hash; allowed: {rule}"));
            }
            hashes.push(item.to_ascii_lowercase());
        }
        hashes
    }

    /// Reads a whole number within `range`. Returns `default` if the key is left out and, with
    /// a fault, if the value is not allowed.
    pub(crate) fn number<T>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<u64>,
    ) -> T
    where
        T: TryFrom<u64>,
    {
        let Some(text) = self.text(key) else { return default };
        let number = text.parse::<u64>().ok().filter(|number| range.contains(number));
        match number.and_then(|number| T::try_from(number).ok()) {
            Some(number) => number,
            None => {
                let (least, most) = range.into_inner();
                let rule = format!("whole numbers from {least} to {most}");
                self.fault(key, format!("`{text}` is out of range; allowed: {rule}"));
                default
            }
        }
    }

    /// Reads one of the words of `choices` and returns its value. Returns `default` if the key
    /// is left out and, with a fault, if the word is unknown.
    pub(crate) fn choice<T: Clone>(
        &mut self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let Some(text) = self.text(key) else { return default };
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text) {
            return value.clone();
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.fault(key, format!("`{text}` is unknown; allowed: {}", words.join(", ")));
        default
    }

    /// Reads `true` or `false`.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.choice(key, default, &[("true", true), ("false", false)])
    }

    /// Checks that `text` is an IP address with a port, or empty, and returns it.
    pub(crate) fn address(&mut self, key: &'static str, text: String) -> String {
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let rule = "an IP address and port, such as 127.0.0.1:7400";
            self.fault(key, format!("`{text}` is not an address; allowed: {rule}"));
        }
        text
    }

    /// Adds a fault of a key, at its line or, if it is left out, at the line of the section.
    pub(crate) fn fault(&mut self, key: &str, message: impl Display) {
        let line = self.section.entries.get(key).map_or(self.section.line, |entry| entry.line);
        let fault = self.document.fault(self.section, message.to_string());
        self.faults.push(Fault { key: key.to_owned(), line, ..fault });
    }

    /// Adds the collected faults to `faults`, and one for each unknown key.
    pub(crate) fn finish(mut self, faults: &mut Vec<Fault>) {
        for key in self.section.entries.keys() {
            if !self.known_keys.contains(&key.as_str()) {
                let hint = hint::hint(key, &self.known_keys);
                self.fault(key, format!("unknown key; {hint}"));
            }
        }
        faults.append(&mut self.faults);
    }

    /// Adds the collected faults to `faults`, without a check for unknown keys.
    pub(crate) fn finish_references(self, faults: &mut Vec<Fault>) {
        faults.extend(self.faults);
    }
}
