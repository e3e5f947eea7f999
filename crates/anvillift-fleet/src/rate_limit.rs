//! Reads the limit that a worker names on its requests.
//!
//! The field holds requests per second, with an optional fraction, for all hosts together.
//! Of several fields the lowest limit counts, since the worker has asked for each of them.

use crate::decimal;

/// The limit that the values of the field name, in requests per second. `None` if no value
/// is a number of 0 or more.
pub fn per_s<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Option<f64> {
    let thousandths = values.into_iter().filter_map(decimal::parse_thousandths).min()?;
    Some(thousandths as f64 / decimal::THOUSANDTHS as f64)
}
