//! Shared immutable names.

use std::borrow::Borrow;
use std::sync::Arc;

/// A name shared without copying its text.
#[derive(
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    derive_more::Deref,
    derive_more::Display,
    derive_more::From,
    serde::Deserialize,
    serde::Serialize,
)]
#[from(Arc<str>, &str, String)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Self::from("")
    }
}
