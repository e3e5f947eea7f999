//! What the tests share.

pub(crate) mod fake_host;
pub(crate) mod tool;
