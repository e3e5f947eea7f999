//! A bounded store of records that drops the oldest ones.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Records by id. Each record has a number, and the ones with the lowest numbers
/// are dropped first.
#[derive(Clone, Debug)]
pub(crate) struct RecordStore<R> {
    records: BTreeMap<Name, R>,
    ids_by_number: BTreeMap<u64, Name>,
    capacity: usize,
}

impl<R> RecordStore<R> {
    /// Creates a store with the given records, for example those of a snapshot;
    /// `number` returns the number of a record.
    pub(crate) fn new(
        capacity: usize,
        records: BTreeMap<Name, R>,
        number: impl Fn(&R) -> u64,
    ) -> Self {
        let ids_by_number =
            records.iter().map(|(id, record)| (number(record), id.clone())).collect();
        Self { records, ids_by_number, capacity }
    }

    pub(crate) fn get(&self, id: &Name) -> Option<&R> {
        self.records.get(id)
    }

    pub(crate) fn by_number(&self, number: u64) -> Option<&R> {
        self.records.get(self.ids_by_number.get(&number)?)
    }

    pub(crate) fn records(&self) -> &BTreeMap<Name, R> {
        &self.records
    }

    /// Adds a record, whose number has to be higher than all others, and drops the
    /// oldest ones above the capacity.
    pub(crate) fn insert(&mut self, id: Name, number: u64, record: R) {
        self.ids_by_number.insert(number, id.clone());
        self.records.insert(id, record);
        while self.records.len() > self.capacity {
            let Some((_, oldest)) = self.ids_by_number.pop_first() else { return };
            self.records.remove(&oldest);
        }
    }
}
