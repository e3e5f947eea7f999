//! The machine under the control log.

use std::collections::{BTreeMap, VecDeque};

use anvillift_schema::configuration::{
    Change, ChangeRecord, Configuration, ConfigurationDelta, ConfigurationUpdate, ControlAnswer,
    ControlCommand, ControlSnapshot, OrderRecord,
};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamOrder;

use crate::command;
use crate::edit;
use crate::memory::Memory;
use crate::validate;
use crate::validate::Invalid;

/// Accepted changes that are remembered by id. A change that is forgotten
/// cannot be applied again: its expected revision lies that far back, so a
/// resend is told of the conflict.
const CHANGES_REMEMBERED: usize = 20_000;
/// Orders that are remembered by id.
const ORDERS_REMEMBERED: usize = 20_000;
/// Deltas kept for daemons that are behind; the others get the whole.
const DELTAS_KEPT: usize = 1_024;

/// Revision of the configuration that founds the log.
pub const SEEDED_REVISION: u64 = 1;

/// Configuration, accepted changes and orders.
#[derive(Clone, Debug)]
pub struct ControlMachine {
    configuration: Configuration,
    deltas: VecDeque<ConfigurationDelta>,
    changes: Memory<ChangeRecord>,
    orders: Memory<OrderRecord>,
}

impl Default for ControlMachine {
    fn default() -> Self {
        Self {
            configuration: Configuration::default(),
            deltas: VecDeque::new(),
            changes: Memory::new(CHANGES_REMEMBERED, BTreeMap::new(), |record| record.revision),
            orders: Memory::new(ORDERS_REMEMBERED, BTreeMap::new(), |record| record.fencing),
        }
    }
}

impl ControlMachine {
    /// Applies the command at an index of the log.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> ControlAnswer {
        match command::decode_command(command) {
            Some(ControlCommand::Seed(configuration)) => self.seed(configuration),
            Some(ControlCommand::Change(change)) => self.change(change),
            Some(ControlCommand::Order(order)) => self.order(index, order),
            Some(ControlCommand::FindChange(_) | ControlCommand::Replace(_)) | None => {
                ControlAnswer::Invalid {
                    detail: "the command does not belong in the log".to_owned(),
                }
            }
        }
    }

    /// Founds the configuration; only the first seed counts.
    fn seed(&mut self, configuration: Configuration) -> ControlAnswer {
        if !self.is_seeded() {
            self.configuration = Configuration { revision: SEEDED_REVISION, ..configuration };
        }
        ControlAnswer::Accepted { revision: self.configuration.revision }
    }

    fn change(&mut self, change: Change) -> ControlAnswer {
        let digest = command::digest(&change);
        let revision = self.configuration.revision;
        if let Some(record) = self.changes.get(&change.change_id) {
            return if record.digest == digest {
                ControlAnswer::Accepted { revision: record.revision }
            } else {
                ControlAnswer::Mismatch { revision }
            };
        }
        if change.expected_revision != revision {
            return ControlAnswer::Conflict { revision };
        }
        match self.edited(&change) {
            Ok(configuration) => self.accept(change, digest, configuration),
            Err(invalid) => ControlAnswer::Invalid { detail: invalid.to_string() },
        }
    }

    /// The configuration that a valid change leads to.
    fn edited(&self, change: &Change) -> Result<Configuration, Invalid> {
        validate::edits(change, &self.configuration)?;
        let mut after = self.configuration.clone();
        edit::apply(&mut after, &change.edits);
        validate::outcome(change, &after)?;
        Ok(after)
    }

    fn accept(&mut self, change: Change, digest: String, after: Configuration) -> ControlAnswer {
        let revision = self.configuration.revision + 1;
        self.configuration = Configuration { revision, ..after };
        self.deltas.push_back(ConfigurationDelta { revision, edits: change.edits });
        if self.deltas.len() > DELTAS_KEPT {
            self.deltas.pop_front();
        }
        self.changes.insert(change.change_id, revision, ChangeRecord { digest, revision });
        ControlAnswer::Accepted { revision }
    }

    /// Numbers an order by its place in the log; a resend keeps its number.
    fn order(&mut self, index: u64, order: UpstreamOrder) -> ControlAnswer {
        let digest = command::digest(&order);
        if let Some(record) = self.orders.get(&order.order_id) {
            return if record.digest == digest {
                ControlAnswer::Ordered { fencing: record.fencing }
            } else {
                ControlAnswer::Mismatch { revision: self.configuration.revision }
            };
        }
        let id = order.order_id.clone();
        self.orders.insert(id, index, OrderRecord { digest, fencing: index, order });
        ControlAnswer::Ordered { fencing: index }
    }

    /// Whether the configuration has been founded.
    pub fn is_seeded(&self) -> bool {
        self.configuration.revision >= SEEDED_REVISION
    }

    /// The newest configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Revision of an accepted change that is remembered.
    pub fn revision_of(&self, change_id: &Name) -> Option<u64> {
        self.changes.get(change_id).map(|record| record.revision)
    }

    /// The order with a fencing number, if it is remembered.
    pub fn order_at(&self, fencing: u64) -> Option<UpstreamOrder> {
        self.orders.at(fencing).map(|record| record.order.clone())
    }

    /// What leads from a revision to the newest one, if that is news.
    pub fn update_after(&self, revision: u64) -> Option<ConfigurationUpdate> {
        if revision >= self.configuration.revision {
            return None;
        }
        let first = self.deltas.front().map(|delta| delta.revision);
        if revision == 0 || first.is_none_or(|first| first > revision + 1) {
            return Some(ConfigurationUpdate::Whole(self.configuration.clone()));
        }
        let deltas = self.deltas.iter().filter(|delta| delta.revision > revision);
        Some(ConfigurationUpdate::Deltas(deltas.cloned().collect()))
    }

    /// The whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        command::encode(&ControlSnapshot {
            configuration: self.configuration.clone(),
            changes: self.changes.records().clone(),
            orders: self.orders.records().clone(),
            deltas: self.deltas.iter().cloned().collect(),
        })
    }

    /// The state of a snapshot, unless the bytes are none.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let snapshot: ControlSnapshot = ciborium::from_reader(bytes).ok()?;
        Some(Self {
            configuration: snapshot.configuration,
            deltas: snapshot.deltas.into(),
            changes: Memory::new(CHANGES_REMEMBERED, snapshot.changes, |record| record.revision),
            orders: Memory::new(ORDERS_REMEMBERED, snapshot.orders, |record| record.fencing),
        })
    }
}
