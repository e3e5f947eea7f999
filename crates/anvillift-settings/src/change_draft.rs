//! A change file as it was read, with its faults.

use crate::draft_edit::DraftEdit;
use crate::fault::Fault;

/// The edits of a change file and its faults. A key with a fault has its default in the edit.
#[derive(Clone, Debug)]
pub struct ChangeDraft {
    /// Name of the file.
    pub file: String,
    /// Edits in the order of the file.
    pub edits: Vec<DraftEdit>,
    /// Faults in the order in which they were found.
    pub faults: Vec<Fault>,
}
