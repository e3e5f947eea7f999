//! Result of one read or write on a connection.

/// Result of [`Connection::write_or_read`](crate::Connection::write_or_read).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// This number of bytes was written.
    Wrote(usize),
    /// Bytes were read into the buffer.
    Read,
    /// The peer has closed the connection.
    Closed,
}
