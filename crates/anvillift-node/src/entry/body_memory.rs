//! The memory for request bodies.
//!
//! A body is counted as it grows, whatever its framing, and held until its request has ended.
//! What all bodies may take together follows from the memory of the machine.

use std::cell::Cell;

const MIB: u64 = 1024 * 1024;
/// Memory of the machine if the settings don't name it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 * MIB;
/// Memory that the process needs beside bodies, in bytes.
const OTHER_MEMORY_BYTES: u64 = 64 * MIB;
/// Least memory for bodies, in bytes.
const MIN_BODY_BYTES: u64 = 16 * MIB;

/// Counts the memory that bodies take.
#[derive(Debug)]
pub(super) struct BodyMemory {
    limit_bytes: u64,
    reserved_bytes: Cell<u64>,
}

/// Memory reserved for one body; dropping it releases the memory.
#[derive(Debug)]
pub(super) struct BodyReservation<'a> {
    memory: &'a BodyMemory,
    bytes: u64,
}

impl BodyMemory {
    /// Memory for bodies on a machine with `memory_bytes`. Half of what the process doesn't
    /// need otherwise: bytes that are not read yet and freed blocks that are not returned take
    /// memory as well.
    pub(super) fn of_machine(memory_bytes: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let limit_bytes = memory_bytes.saturating_sub(OTHER_MEMORY_BYTES) / 2;
        Self { limit_bytes: limit_bytes.max(MIN_BODY_BYTES), reserved_bytes: Cell::new(0) }
    }

    /// Reserves memory for a body, or returns `None` if too much is reserved.
    pub(super) fn reserve(&self, bytes: u64) -> Option<BodyReservation<'_>> {
        let mut reservation = BodyReservation { memory: self, bytes: 0 };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl BodyReservation<'_> {
    /// Reserves more, up to `bytes` in all. Returns false and keeps what is reserved if that is
    /// too much.
    pub(super) fn grow_to(&mut self, bytes: u64) -> bool {
        let added_bytes = bytes.saturating_sub(self.bytes);
        let reserved_bytes = self.memory.reserved_bytes.get() + added_bytes;
        if reserved_bytes > self.memory.limit_bytes {
            return false;
        }
        self.memory.reserved_bytes.set(reserved_bytes);
        self.bytes += added_bytes;
        true
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.memory.reserved_bytes.set(self.memory.reserved_bytes.get() - self.bytes);
    }
}
