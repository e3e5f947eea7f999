//! Names of hosts, services and other objects, shared instead of copied.

use std::borrow::Borrow;
use std::sync::Arc;

/// An immutable name; cloning it copies a reference, not the text.
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
    /// Borrows the name as a string slice.
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
