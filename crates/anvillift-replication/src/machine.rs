//! The state machine to which a log is applied, given as closures.

use std::fmt;

type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
type RestoreFn = Box<dyn FnMut(&[u8]) + Send>;

/// A deterministic state machine to which committed commands are applied.
pub struct GroupMachine {
    /// Applies the command at an index and returns its answer.
    pub apply: ApplyFn,
    /// Encodes the whole state for a snapshot.
    pub snapshot: SnapshotFn,
    /// Replaces the state by an encoded one from a snapshot.
    pub restore: RestoreFn,
}

impl fmt::Debug for GroupMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GroupMachine")
    }
}
