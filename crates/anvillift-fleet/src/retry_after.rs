//! Reads the pause that a worker asks for with `Retry-After`.
//!
//! The field holds seconds, with an optional fraction. A date is not accepted, since
//! the time of day of a host may jump. Of several fields the longest pause counts, since
//! the worker has asked for each of them.

use crate::decimal;

/// The pause that the values of the `Retry-After` fields ask for, in milliseconds.
/// `None` if no value is a number of seconds of 0 or more.
pub fn pause_ms<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Option<u64> {
    values.into_iter().filter_map(decimal::parse_thousandths).max()
}
