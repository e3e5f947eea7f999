//! Typed values of one section.
//!
//! A [`Reader`] hands out the values of a section by key, collects a fault for
//! each value that is not allowed, and in the end one for each key that nobody
//! asked for.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use anvillift_schema::name::Name;

use crate::document::{self, Document, Section};
use crate::fault::Fault;
use crate::hint;

/// Digits of a SHA-256 hash in hexadecimal.
const HASH_DIGITS: usize = 64;

/// What a name may look like.
pub(crate) const NAME_RULE: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// Reads one section.
pub(crate) struct Reader<'a> {
    document: &'a Document,
    section: &'a Section,
    known_keys: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// A reader of `section`.
    pub(crate) fn new(document: &'a Document, section: &'a Section) -> Self {
        Self { document, section, known_keys: Vec::new(), faults: Vec::new() }
    }

    /// The label of the section, such as the name of a peer.
    pub(crate) fn label(&mut self) -> Name {
        let label = self.section.label.clone().unwrap_or_default();
        if !document::is_name(&label) {
            let message = format!("the section needs a name of {NAME_RULE}");
            self.faults.push(self.document.fault(self.section, message));
        }
        label
    }

    /// The text of a key, if it stands there.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        let entry = self.section.entries.get(key)?;
        if entry.value.is_empty() {
            self.fault(key, "is empty; leave the key out or give a value".to_owned());
            return None;
        }
        Some(&entry.value)
    }

    /// The text of a key that must stand there.
    pub(crate) fn required_text(&mut self, key: &'static str, allowed: &str) -> String {
        let text = self.text(key).map(str::to_owned);
        if text.is_none() && !self.section.entries.contains_key(key) {
            self.fault(key, format!("is missing; give {allowed}"));
        }
        text.unwrap_or_default()
    }

    /// A name that must stand there.
    pub(crate) fn required_name(&mut self, key: &'static str) -> Name {
        let text = self.required_text(key, NAME_RULE);
        if !text.is_empty() && !document::is_name(&text) {
            self.fault(key, format!("`{text}` is no name; allowed: {NAME_RULE}"));
        }
        Name::from(text)
    }

    /// A name, if it stands there.
    pub(crate) fn name(&mut self, key: &'static str) -> Option<Name> {
        self.text(key)?;
        self.known_keys.pop();
        Some(self.required_name(key))
    }

    /// The items of a comma-separated list.
    fn items(&mut self, key: &'static str) -> Vec<&'a str> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::trim).filter(|item| !item.is_empty()).collect()
    }

    /// A list of names.
    pub(crate) fn names(&mut self, key: &'static str) -> Vec<Name> {
        let mut names: Vec<Name> = Vec::new();
        for item in self.items(key) {
            let name = Name::from(item);
            if !document::is_name(item) {
                self.fault(key, format!("`{item}` is no name; allowed: {NAME_RULE}"));
            } else if names.contains(&name) {
                self.fault(key, format!("`{item}` stands twice"));
            } else {
                names.push(name);
            }
        }
        names
    }

    /// A list of SHA-256 hashes in hexadecimal.
    pub(crate) fn hashes(&mut self, key: &'static str) -> Vec<String> {
        let mut hashes = Vec::new();
        for item in self.items(key) {
            let digits = item.bytes().all(|byte| byte.is_ascii_hexdigit());
            if item.len() != HASH_DIGITS || !digits {
                let rule = format!("{HASH_DIGITS} hexadecimal digits of a SHA-256");
                self.fault(key, format!("holds an entry that is no hash; allowed: {rule}"));
            }
            hashes.push(item.to_ascii_lowercase());
        }
        hashes
    }

    /// A whole number within `range`.
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

    /// One of a list of words.
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

    /// `true` or `false`.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.choice(key, default, &[("true", true), ("false", false)])
    }

    /// An IP address with a port.
    pub(crate) fn address(&mut self, key: &'static str, text: String) -> String {
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let rule = "an IP number and port, such as 127.0.0.1:7400";
            self.fault(key, format!("`{text}` is no address; allowed: {rule}"));
        }
        text
    }

    /// Adds a fault of a key.
    pub(crate) fn fault(&mut self, key: &str, message: impl Display) {
        let line = self.section.entries.get(key).map_or(self.section.line, |entry| entry.line);
        let fault = self.document.fault(self.section, message.to_string());
        self.faults.push(Fault { key: key.to_owned(), line, ..fault });
    }

    /// Adds the faults found, with one for each unknown key.
    pub(crate) fn finish(mut self, faults: &mut Vec<Fault>) {
        for key in self.section.entries.keys() {
            if !self.known_keys.contains(&key.as_str()) {
                let hint = hint::hint(key, &self.known_keys);
                self.fault(key, format!("unknown key; {hint}"));
            }
        }
        faults.append(&mut self.faults);
    }

    /// Adds the faults found, leaving unknown keys to another reader.
    pub(crate) fn finish_references(self, faults: &mut Vec<Fault>) {
        faults.extend(self.faults);
    }
}
