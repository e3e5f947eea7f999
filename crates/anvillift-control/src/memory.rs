//! Records kept by id, the oldest of which are dropped.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Records by id, bounded in number and dropped in the order of their numbers.
#[derive(Clone, Debug)]
pub(crate) struct Memory<R> {
    records: BTreeMap<Name, R>,
    ids: BTreeMap<u64, Name>,
    capacity: usize,
}

impl<R> Memory<R> {
    /// Takes over records; `number` tells their order.
    pub(crate) fn new(
        capacity: usize,
        records: BTreeMap<Name, R>,
        number: impl Fn(&R) -> u64,
    ) -> Self {
        let ids = records.iter().map(|(id, record)| (number(record), id.clone())).collect();
        Self { records, ids, capacity }
    }

    /// The record of an id.
    pub(crate) fn get(&self, id: &Name) -> Option<&R> {
        self.records.get(id)
    }

    /// The record with a number.
    pub(crate) fn at(&self, number: u64) -> Option<&R> {
        self.records.get(self.ids.get(&number)?)
    }

    /// The records by id.
    pub(crate) fn records(&self) -> &BTreeMap<Name, R> {
        &self.records
    }

    /// Adds the newest record.
    pub(crate) fn insert(&mut self, id: Name, number: u64, record: R) {
        self.ids.insert(number, id.clone());
        self.records.insert(id, record);
        while self.records.len() > self.capacity {
            let Some((_, oldest)) = self.ids.pop_first() else { return };
            self.records.remove(&oldest);
        }
    }
}
