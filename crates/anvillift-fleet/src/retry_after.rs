//! Reads the pause that a worker asks for with `Retry-After`.
//!
//! The field holds seconds, with an optional fraction. A date is not accepted, since
//! the time of day of a host may jump. Of several fields the longest pause counts, since
//! the worker has asked for each of them.

const MS_PER_S: u64 = 1_000;
/// Digits of a fraction that count.
const FRACTION_DIGITS: usize = 3;

/// The pause that the values of the `Retry-After` fields ask for, in milliseconds.
/// `None` if no value is a number of seconds of 0 or more.
pub fn pause_ms<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Option<u64> {
    values.into_iter().filter_map(parse).max()
}

/// Parses one value. Seconds beyond the range of the result are the longest pause.
fn parse(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.trim_ascii()).ok()?;
    let (seconds, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number(seconds) || !is_number(fraction) {
        return None;
    }
    let digits = &fraction[..fraction.len().min(FRACTION_DIGITS)];
    let fraction_ms = format!("{digits:0<FRACTION_DIGITS$}").parse().unwrap_or(0);
    let whole_ms = seconds.parse::<u64>().unwrap_or(u64::MAX).saturating_mul(MS_PER_S);
    Some(whole_ms.saturating_add(fraction_ms))
}
