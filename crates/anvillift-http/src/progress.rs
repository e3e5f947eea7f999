//! What a step of a connection did.

/// What a step of a connection did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// So many bytes were written.
    Wrote(usize),
    /// Bytes arrived.
    Read,
    /// The other end has ended the connection.
    Ended,
}
