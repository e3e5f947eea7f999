//! Parses an INI text into sections with line numbers.
//!
//! `rust-ini` reads the values but does not report their lines, so [`Lines`]
//! scans the text for the line of each section and key. Start at
//! [`Document::parse`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::name::Name;
use ini::{Ini, ParseOption, Properties};

use crate::fault::Fault;
use crate::part::Part;

/// Largest length of a name, such as that of a host or a profile.
const MAX_NAME_BYTES: usize = 64;

/// The value of a key, with the line of the key.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Text without leading and trailing white space.
    pub(crate) value: String,
    /// Line of the key, counted from 1.
    pub(crate) line: usize,
}

/// One section, such as `[peer host-a]`.
#[derive(Debug)]
pub(crate) struct Section {
    /// Text between the brackets.
    pub(crate) title: String,
    /// First word of the title, such as `peer`.
    pub(crate) kind: String,
    /// Rest of the title, such as `host-a`.
    pub(crate) label: Option<Name>,
    /// Line of the title, counted from 1.
    pub(crate) line: usize,
    /// Values by key.
    pub(crate) entries: BTreeMap<String, Entry>,
}

/// A parsed file, without duplicate sections.
#[derive(Debug)]
pub(crate) struct Document {
    /// Name of the file, as shown in faults.
    pub(crate) file: String,
    /// Whether the text is valid INI.
    pub(crate) is_valid: bool,
    /// Sections in the order of the file.
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Parses a text and adds faults to `faults`. A text that is not valid INI yields
    /// a document without sections.
    pub(crate) fn parse(file: &str, text: &str, faults: &mut Vec<Fault>) -> Self {
        Self::parse_part(file, Part::whole(text), &mut BTreeSet::new(), faults)
    }

    /// Parses a part of a text like a text of its own. `titles` are the sections of the parts
    /// before, to which those of this part are added.
    pub(crate) fn parse_part(
        file: &str,
        part: Part<'_>,
        titles: &mut BTreeSet<String>,
        faults: &mut Vec<Fault>,
    ) -> Self {
        let mut document = Self { file: file.to_owned(), is_valid: true, sections: Vec::new() };
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        match Ini::load_from_str_opt(part.text, options) {
            Ok(ini) => document.add_sections(&ini, &Lines::scan(part), titles, faults),
            Err(error) => {
                document.is_valid = false;
                let message = format!("is not valid INI: {}", error.msg);
                let line = error.line.max(1) + part.first_line - 1;
                faults.push(Fault { line, ..Fault::of_file(file, message) });
            }
        }
        document
    }

    /// Returns the first section of a kind.
    pub(crate) fn section(&self, kind: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.kind == kind)
    }

    fn add_sections(
        &mut self,
        ini: &Ini,
        lines: &Lines,
        titles: &mut BTreeSet<String>,
        faults: &mut Vec<Fault>,
    ) {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (title, properties) in ini.iter() {
            let Some(title) = title else {
                self.check_untitled(properties, lines, faults);
                continue;
            };
            let occurrence = seen.entry(title).or_insert(0);
            let section = self.read_section(title, *occurrence, properties, lines, faults);
            if !titles.insert(title.to_owned()) {
                faults.push(
                    self.fault(&section, "the section is a duplicate of an earlier one".to_owned()),
                );
            } else {
                self.sections.push(section);
            }
            *occurrence += 1;
        }
    }

    fn check_untitled(&self, properties: &Properties, lines: &Lines, faults: &mut Vec<Fault>) {
        if let Some((key, _)) = properties.iter().next() {
            let message = "is placed before the first section".to_owned();
            let line = lines.key_line("", 0, key, 0);
            let key = key.to_owned();
            faults.push(Fault { key, line, ..Fault::of_file(&self.file, message) });
        }
    }

    fn read_section(
        &self,
        title: &str,
        occurrence: usize,
        properties: &Properties,
        lines: &Lines,
        faults: &mut Vec<Fault>,
    ) -> Section {
        let (kind, label) = match title.trim().split_once(char::is_whitespace) {
            Some((kind, label)) => (kind, Some(label.trim())),
            None => (title.trim(), None),
        };
        let mut section = Section {
            title: title.to_owned(),
            kind: kind.to_owned(),
            label: label.map(Name::from),
            line: lines.section_line(title, occurrence),
            entries: BTreeMap::new(),
        };
        for (key, value) in properties.iter() {
            let line = lines.key_line(title, occurrence, key, 0);
            let entry = Entry { value: value.trim().to_owned(), line };
            if section.entries.insert(key.to_owned(), entry).is_some() {
                let line = lines.key_line(title, occurrence, key, 1);
                let message = "the key is a duplicate of an earlier one in this section".to_owned();
                let key = key.to_owned();
                faults.push(Fault { key, line, ..self.fault(&section, message) });
            }
        }
        section
    }

    /// Creates a fault that concerns a whole section.
    pub(crate) fn fault(&self, section: &Section, message: String) -> Fault {
        Fault {
            section: section.title.clone(),
            line: section.line,
            ..Fault::of_file(&self.file, message)
        }
    }
}

/// Whether a text is a valid name of a host, region, profile or other entry.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Line numbers of all sections by title, and of all keys by title, occurrence of the
/// section and key.
#[derive(Debug, Default)]
struct Lines {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<(String, usize, String), Vec<usize>>,
}

impl Lines {
    fn scan(part: Part<'_>) -> Self {
        let mut lines = Self::default();
        let mut title = String::new();
        let mut occurrence = 0;
        for (index, line) in part.text.lines().enumerate() {
            let (line, number) = (line.trim(), index + part.first_line);
            if line.starts_with([';', '#']) {
                continue;
            }
            if let Some(rest) = line.strip_prefix('[') {
                title = rest.split(']').next().unwrap_or_default().to_owned();
                let occurrences = lines.sections.entry(title.clone()).or_default();
                occurrence = occurrences.len();
                occurrences.push(number);
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                let key = (title.clone(), occurrence, key.trim().to_owned());
                lines.keys.entry(key).or_default().push(number);
            }
        }
        lines
    }

    fn section_line(&self, title: &str, occurrence: usize) -> usize {
        let lines = self.sections.get(title);
        lines.and_then(|lines| lines.get(occurrence)).copied().unwrap_or(1)
    }

    fn key_line(&self, title: &str, occurrence: usize, key: &str, key_occurrence: usize) -> usize {
        let lines = self.keys.get(&(title.to_owned(), occurrence, key.to_owned()));
        let line = lines.and_then(|lines| lines.get(key_occurrence)).copied();
        line.unwrap_or_else(|| self.section_line(title, occurrence))
    }
}
