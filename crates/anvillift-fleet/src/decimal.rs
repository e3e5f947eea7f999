//! Reads decimal numbers in header fields.

/// Thousandths of one.
pub(crate) const THOUSANDTHS: u64 = 1_000;
/// Digits of a fraction that count.
const FRACTION_DIGITS: usize = 3;

/// A number of 0 or more with an optional fraction, in thousandths. A number beyond the
/// range of the result is the largest one. `None` for anything else, such as a sign, an
/// exponent or a list.
pub(crate) fn parse_thousandths(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.trim_ascii()).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let digits = &fraction[..fraction.len().min(FRACTION_DIGITS)];
    let fraction = format!("{digits:0<FRACTION_DIGITS$}").parse().unwrap_or(0);
    let whole = whole.parse::<u64>().unwrap_or(u64::MAX).saturating_mul(THOUSANDTHS);
    Some(whole.saturating_add(fraction))
}
