//! Removes keys and hashes from texts for operators.
//!
//! An operator may paste a key or a hash at the wrong place of a change file. The texts of
//! findings end up in logs of deployments, so they show neither.

/// Shortest run of hexadecimal digits that is taken for a hash or a key.
const MIN_SECRET_DIGITS: usize = 16;
/// Number of characters of a hash or key that are shown.
const SHOWN_CHARS: usize = 8;
/// Longest key of a section that is shown in full; known ones are shorter.
const MAX_KEY_CHARS: usize = 32;
/// Number of characters of other keys of a section that are shown.
const SHOWN_KEY_CHARS: usize = 4;

/// Shortens runs of hexadecimal digits to their first [`SHOWN_CHARS`] and replaces control
/// characters.
pub(crate) fn redact(text: &str) -> String {
    let mut redacted = String::new();
    let mut digits = String::new();
    for c in text.chars() {
        if c.is_ascii_hexdigit() {
            digits.push(c);
            continue;
        }
        push_digits(&mut redacted, &mut digits);
        redacted.push(if c.is_control() { '?' } else { c });
    }
    push_digits(&mut redacted, &mut digits);
    redacted
}

fn push_digits(redacted: &mut String, digits: &mut String) {
    match digits.len() >= MIN_SECRET_DIGITS {
        true => redacted.push_str(&format!("{}...", &digits[..SHOWN_CHARS])),
        false => redacted.push_str(digits),
    }
    digits.clear();
}

/// Shortens a key of a section that does not look like a known one, which has lower-case letters
/// and `_` only. An API key with `=` or `:` in a line of its own is read as such a key.
pub(crate) fn redact_key(key: &str) -> String {
    let is_plain = key.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
    match is_plain && key.len() <= MAX_KEY_CHARS {
        true => key.to_owned(),
        false => redact(&format!("{}...", key.chars().take(SHOWN_KEY_CHARS).collect::<String>())),
    }
}

/// Replaces the value that the message of a fault quotes at its start.
pub(crate) fn hide_value(message: &str) -> String {
    match message.rsplit_once("` is ") {
        Some((value, rest)) if value.starts_with('`') => format!("the value is {rest}"),
        _ => message.to_owned(),
    }
}
