//! Entry hosts of several regions in one process, with relays between them.

pub mod relay;
