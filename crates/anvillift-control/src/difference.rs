//! How one entry differs between two configurations.

use anvillift_schema::name::Name;

use crate::field_difference::FieldDifference;

/// A profile, service or team that two configurations do not have in common.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Difference {
    /// `profile`, `service` or `team`.
    pub entry: &'static str,
    /// Name of the entry.
    pub name: Name,
    /// Whether the entry was added, removed or changed.
    pub kind: DifferenceKind,
    /// Fields that differ, sorted by name; all fields of an entry that was added or removed.
    pub fields: Vec<FieldDifference>,
}

/// What happened to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// Only the later configuration has the entry.
    #[display("added")]
    Added,
    /// Only the earlier configuration has the entry.
    #[display("removed")]
    Removed,
    /// Both have the entry, with different values.
    #[display("changed")]
    Changed,
}
