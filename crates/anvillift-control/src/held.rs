//! The configuration that a daemon holds.

use std::collections::VecDeque;
use std::sync::Arc;

use anvillift_schema::configuration::{Configuration, ConfigurationDelta, ConfigurationUpdate};

use crate::edit;

/// Deltas kept to be passed on.
const DELTAS_KEPT: usize = 256;

/// A configuration that only goes forward.
#[derive(Clone, Debug, Default)]
pub struct HeldConfiguration {
    configuration: Arc<Configuration>,
    deltas: VecDeque<ConfigurationDelta>,
}

impl HeldConfiguration {
    /// Starts from a configuration.
    pub fn new(configuration: Configuration) -> Self {
        Self { configuration: Arc::new(configuration), deltas: VecDeque::new() }
    }

    /// What is held.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Revision held.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Takes what is newer; says whether anything was. Deltas that do not go
    /// on from the revision held are left, to be asked for again.
    pub fn take(&mut self, update: ConfigurationUpdate) -> bool {
        let before = self.revision();
        match update {
            ConfigurationUpdate::Whole(whole) if whole.revision > before => {
                self.configuration = Arc::new(whole);
                self.deltas.clear();
            }
            ConfigurationUpdate::Whole(_) => (),
            ConfigurationUpdate::Deltas(deltas) => self.take_deltas(deltas),
        }
        self.revision() > before
    }

    fn take_deltas(&mut self, deltas: Vec<ConfigurationDelta>) {
        let mut next = Configuration::clone(&self.configuration);
        for delta in deltas {
            if next.revision > 0 && delta.revision == next.revision + 1 {
                edit::apply(&mut next, &delta.edits);
                next.revision = delta.revision;
                self.deltas.push_back(delta);
            }
        }
        while self.deltas.len() > DELTAS_KEPT {
            self.deltas.pop_front();
        }
        if next.revision > self.revision() {
            self.configuration = Arc::new(next);
        }
    }

    /// What leads from a revision to the one held, if that is news.
    pub fn update_after(&self, revision: u64) -> Option<ConfigurationUpdate> {
        if revision >= self.revision() {
            return None;
        }
        let first = self.deltas.front().map(|delta| delta.revision);
        if revision == 0 || first.is_none_or(|first| first > revision + 1) {
            return Some(ConfigurationUpdate::Whole(Configuration::clone(&self.configuration)));
        }
        let deltas = self.deltas.iter().filter(|delta| delta.revision > revision);
        Some(ConfigurationUpdate::Deltas(deltas.cloned().collect()))
    }
}
