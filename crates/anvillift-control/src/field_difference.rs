//! How one field of an entry differs between two configurations.

/// A field with its earlier and later value, as text for operators.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct FieldDifference {
    /// Name of the field.
    pub field: String,
    /// Earlier value; `None` if the field or the entry did not exist.
    pub old: Option<String>,
    /// Later value; `None` if the field or the entry no longer exists.
    pub new: Option<String>,
}
