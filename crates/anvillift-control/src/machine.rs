//! The state machine that applies the commands of the control log.
//!
//! Commands seed the configuration, change it or issue orders to upstreams. The
//! records of accepted changes and orders make resent commands idempotent.

use std::collections::{BTreeMap, VecDeque};

use anvillift_schema::configuration::{
    Change, ChangeRecord, Configuration, ConfigurationDelta, ConfigurationUpdate, ControlAnswer,
    ControlCommand, ControlSnapshot, OrderRecord,
};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamOrder;

use crate::command;
use crate::edit;
use crate::record_store::RecordStore;
use crate::validate;
use crate::validate::InvalidChange;

/// Most accepted changes whose records are kept. A change whose record was dropped
/// cannot be applied again: its expected revision is at least this many revisions
/// old, so the resent change is answered with a conflict.
const MAX_CHANGES: usize = 20_000;
/// Most orders whose records are kept.
const MAX_ORDERS: usize = 20_000;
/// Most deltas kept for daemons that are behind. A daemon further behind gets the
/// whole configuration.
const MAX_DELTAS: usize = 1_024;

/// Revision of the configuration that the seed command sets.
pub const SEEDED_REVISION: u64 = 1;

/// The configuration with the records of accepted changes and orders.
#[derive(Clone, Debug)]
pub struct ControlMachine {
    configuration: Configuration,
    deltas: VecDeque<ConfigurationDelta>,
    changes: RecordStore<ChangeRecord>,
    orders: RecordStore<OrderRecord>,
}

impl Default for ControlMachine {
    fn default() -> Self {
        Self {
            configuration: Configuration::default(),
            deltas: VecDeque::new(),
            changes: RecordStore::new(MAX_CHANGES, BTreeMap::new(), |record| record.revision),
            orders: RecordStore::new(MAX_ORDERS, BTreeMap::new(), |record| record.fencing),
        }
    }
}

impl ControlMachine {
    /// Applies the command at a log index and returns the answer to its sender.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> ControlAnswer {
        match command::decode_command(command) {
            Some(ControlCommand::Seed(configuration)) => self.apply_seed(configuration),
            Some(ControlCommand::Change(change)) => self.apply_change(change),
            Some(ControlCommand::Order(order)) => self.apply_order(index, order),
            Some(ControlCommand::FindChange(_) | ControlCommand::Replace(_)) | None => {
                ControlAnswer::Invalid {
                    detail: "cannot apply the log entry: it is not a seed, change or order command"
                        .to_owned(),
                }
            }
        }
    }

    /// Sets the initial configuration. Only the first seed has an effect.
    fn apply_seed(&mut self, configuration: Configuration) -> ControlAnswer {
        if !self.is_seeded() {
            self.configuration = Configuration { revision: SEEDED_REVISION, ..configuration };
        }
        ControlAnswer::Accepted { revision: self.configuration.revision }
    }

    fn apply_change(&mut self, change: Change) -> ControlAnswer {
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
        match self.configuration_after(&change) {
            Ok(configuration) => self.accept(change, digest, configuration),
            Err(invalid) => ControlAnswer::Invalid { detail: invalid.to_string() },
        }
    }

    /// The configuration after a change, if the change is valid.
    fn configuration_after(&self, change: &Change) -> Result<Configuration, InvalidChange> {
        validate::check_edits(change, &self.configuration)?;
        let mut after = self.configuration.clone();
        edit::apply(&mut after, &change.edits);
        validate::check_result(change, &after)?;
        Ok(after)
    }

    fn accept(&mut self, change: Change, digest: String, after: Configuration) -> ControlAnswer {
        let revision = self.configuration.revision + 1;
        self.configuration = Configuration { revision, ..after };
        self.deltas.push_back(ConfigurationDelta { revision, edits: change.edits });
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.changes.insert(change.change_id, revision, ChangeRecord { digest, revision });
        ControlAnswer::Accepted { revision }
    }

    /// Assigns the log index of an order as its fencing number. A resent order keeps its number.
    fn apply_order(&mut self, index: u64, order: UpstreamOrder) -> ControlAnswer {
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

    /// Whether the initial configuration has been set.
    pub fn is_seeded(&self) -> bool {
        self.configuration.revision >= SEEDED_REVISION
    }

    /// The configuration at the newest revision.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Revision that an accepted change led to; `None` if there is no record of it.
    pub fn change_revision(&self, change_id: &Name) -> Option<u64> {
        self.changes.get(change_id).map(|record| record.revision)
    }

    /// The order with a fencing number; `None` if there is no record of it.
    pub fn order_by_fencing(&self, fencing: u64) -> Option<UpstreamOrder> {
        self.orders.by_number(fencing).map(|record| record.order.clone())
    }

    /// The update that leads from a revision to the newest one; `None` if there is
    /// nothing newer. It is the whole configuration if the deltas no longer reach
    /// back that far.
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

    /// Encodes the whole state, including the records and the deltas.
    pub fn snapshot(&self) -> Vec<u8> {
        command::encode(&ControlSnapshot {
            configuration: self.configuration.clone(),
            changes: self.changes.records().clone(),
            orders: self.orders.records().clone(),
            deltas: self.deltas.iter().cloned().collect(),
        })
    }

    /// Decodes the state of a snapshot; `None` if the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let snapshot: ControlSnapshot = ciborium::from_reader(bytes).ok()?;
        Some(Self {
            configuration: snapshot.configuration,
            deltas: snapshot.deltas.into(),
            changes: RecordStore::new(MAX_CHANGES, snapshot.changes, |record| record.revision),
            orders: RecordStore::new(MAX_ORDERS, snapshot.orders, |record| record.fencing),
        })
    }
}
