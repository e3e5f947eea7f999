//! One edit of a change file with its place in the file.

use std::collections::BTreeMap;

use anvillift_schema::configuration::Edit;
use anvillift_schema::name::Name;

use crate::document::Section;

/// An edit with the lines of its section and keys, counted from 1.
#[derive(Clone, Debug)]
pub struct DraftEdit {
    /// The edit itself.
    pub edit: Edit,
    /// Title of the section, without brackets.
    pub title: String,
    /// Line of the title.
    pub line: usize,
    /// Lines of the keys that the section gives.
    pub key_lines: BTreeMap<String, usize>,
}

impl DraftEdit {
    /// Adds the place of a section to its edit.
    pub(crate) fn new(edit: Edit, section: &Section) -> Self {
        let key_lines = section.entries.iter().map(|(key, entry)| (key.clone(), entry.line));
        Self {
            edit,
            title: section.title.clone(),
            line: section.line,
            key_lines: key_lines.collect(),
        }
    }

    /// Kind and name of the entry that the edit puts or removes.
    pub(crate) fn entry(&self) -> (&'static str, &Name) {
        match &self.edit {
            Edit::PutProfile(profile) => ("profile", &profile.name),
            Edit::PutService(service) => ("service", &service.name),
            Edit::PutTeam(team) => ("team", &team.name),
            Edit::RemoveProfile(name) => ("profile", name),
            Edit::RemoveService(name) => ("service", name),
            Edit::RemoveTeam(name) => ("team", name),
        }
    }
}
