//! One finding of the check of a change.

use crate::finding_code::FindingCode;
use crate::redact;
use crate::severity::Severity;

/// A finding with its place in the file. It contains no key and no full key hash.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Finding {
    /// Number of the finding; `docs/FINDINGS.md` lists them.
    pub code: u16,
    /// Whether the finding prevents the change.
    pub severity: Severity,
    /// Name of the file.
    pub file: String,
    /// Title of the section, without brackets; empty for the whole file.
    pub section: String,
    /// Key of the value; empty for the whole section.
    pub key: String,
    /// Line of the key, section or file, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl Finding {
    /// Creates a finding of a whole file; hashes and keys are removed from the text.
    pub(crate) fn of_file(code: FindingCode, file: &str, text: &str) -> Self {
        Self {
            code: code.number(),
            severity: code.severity(),
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            line: 1,
            text: redact::redact(text),
        }
    }

    /// Moves the finding to a section or, unless it is empty, a key in it.
    pub(crate) fn at(self, section: &str, key: &str, line: usize) -> Self {
        let (section, key) = (redact::redact(section), redact::redact_key(key));
        Self { section, key, line, ..self }
    }
}
