//! Result of the check of a change.

use anvillift_control::Difference;

use crate::finding::Finding;
use crate::severity::Severity;

/// What the check of a change found.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ChangeReport {
    /// File or host with which the change was compared; `None` without comparison.
    pub against: Option<String>,
    /// Findings sorted by line.
    pub findings: Vec<Finding>,
    /// What the change adds, removes and changes; empty without comparison or if the file
    /// could not be read completely.
    pub differences: Vec<Difference>,
}

impl ChangeReport {
    /// Number of findings of a severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.severity == severity).count()
    }
}
