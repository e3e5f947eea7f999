//! The copy of the configuration in a daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use anvillift_schema::configuration::{Configuration, ConfigurationDelta, ConfigurationUpdate};

use crate::edit;

/// Most deltas that are kept to bring other daemons up to date.
const MAX_DELTAS: usize = 256;

/// A configuration whose revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct DaemonConfiguration {
    configuration: Arc<Configuration>,
    deltas: VecDeque<ConfigurationDelta>,
}

impl DaemonConfiguration {
    /// Starts with a configuration and no deltas.
    pub fn new(configuration: Configuration) -> Self {
        Self { configuration: Arc::new(configuration), deltas: VecDeque::new() }
    }

    /// The configuration at the present revision.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Revision of the configuration; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Applies an update and returns whether the revision increased. A delta that
    /// does not follow the present revision is ignored; the caller of this method has to
    /// request the missing ones.
    pub fn apply(&mut self, update: ConfigurationUpdate) -> bool {
        let before = self.revision();
        match update {
            ConfigurationUpdate::Whole(configuration) if configuration.revision > before => {
                self.configuration = Arc::new(configuration);
                self.deltas.clear();
            }
            ConfigurationUpdate::Whole(_) => (),
            ConfigurationUpdate::Deltas(deltas) => self.apply_deltas(deltas),
        }
        self.revision() > before
    }

    fn apply_deltas(&mut self, deltas: Vec<ConfigurationDelta>) {
        let mut updated = Configuration::clone(&self.configuration);
        for delta in deltas {
            if updated.revision > 0 && delta.revision == updated.revision + 1 {
                edit::apply(&mut updated, &delta.edits);
                updated.revision = delta.revision;
                self.deltas.push_back(delta);
            }
        }
        while self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        if updated.revision > self.revision() {
            self.configuration = Arc::new(updated);
        }
    }

    /// The update that leads from a revision to the present one; `None` if there is
    /// nothing newer. It is the whole configuration if the deltas no longer reach
    /// back that far.
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
