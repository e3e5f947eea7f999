//! Limits of the heads that are read.

/// Header fields that a host may add to a head that it passes on.
const ADDED_FIELDS: usize = 24;
/// Size of these fields, in bytes.
const ADDED_BYTES: usize = 2 * 1024;

/// Limits of the head of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Most bytes, with the first line and the empty line at the end.
    pub bytes: usize,
    /// Most header fields.
    pub fields: usize,
}

impl HeadLimits {
    /// The limits for a head that another host has read with these limits and passed on, with
    /// fields of its own. A head that one host accepts is accepted by the next one, too.
    pub fn of_relayed(self) -> Self {
        Self { bytes: self.bytes + ADDED_BYTES, fields: self.fields + ADDED_FIELDS }
    }
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self { bytes: 32 * 1024, fields: 128 }
    }
}
