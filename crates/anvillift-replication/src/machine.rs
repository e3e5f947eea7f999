//! The machine under a log, as closures.

use std::fmt;

type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
type RestoreFn = Box<dyn FnMut(&[u8]) + Send>;

/// A deterministic machine that committed commands are applied to.
pub struct GroupMachine {
    /// Applies the command at an index and gives its answer.
    pub apply: ApplyFn,
    /// The state in bytes.
    pub snapshot: SnapshotFn,
    /// Takes over a state in bytes.
    pub restore: RestoreFn,
}

impl fmt::Debug for GroupMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GroupMachine")
    }
}
