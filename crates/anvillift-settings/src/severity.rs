//! How serious a finding is.

/// Whether a finding prevents a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The change would be rejected.
    #[display("error")]
    Error,
    /// The change would be accepted, but is probably not what was meant.
    #[display("warning")]
    Warning,
}
