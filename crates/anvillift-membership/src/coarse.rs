//! Numbers on a logarithmic scale of one byte.
//!
//! Values below 16 are exact; above, eight steps an octave keep the error under
//! seven in a hundred. Load news uses them, since a router needs no more.

const EXACT_BELOW: u64 = 16;
const FIRST_EXPONENT: u32 = 4;
const STEP_BITS: u32 = 3;
const STEPS: u64 = 1 << STEP_BITS;

/// The byte nearest to a value; values beyond the scale give its largest byte.
pub fn encode(value: u64) -> u8 {
    if value < EXACT_BELOW {
        return value as u8;
    }
    let half_step = 1 << (value.ilog2() - STEP_BITS - 1);
    let rounded = value.saturating_add(half_step);
    let exponent = rounded.ilog2();
    let step = (rounded >> (exponent - STEP_BITS)) & (STEPS - 1);
    let code = EXACT_BELOW + u64::from(exponent - FIRST_EXPONENT) * STEPS + step;
    u8::try_from(code).unwrap_or(u8::MAX)
}

/// The value that a byte stands for.
pub fn decode(code: u8) -> u64 {
    let code = u64::from(code);
    if code < EXACT_BELOW {
        return code;
    }
    let exponent = (code - EXACT_BELOW) / STEPS + u64::from(FIRST_EXPONENT);
    let step = (code - EXACT_BELOW) % STEPS;
    (STEPS + step) << (exponent - u64::from(STEP_BITS))
}
