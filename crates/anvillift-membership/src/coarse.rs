//! Quantizes numbers to one byte on a logarithmic scale.
//!
//! Values below 16 are exact. Above, eight steps per octave keep the error under
//! 7 %, which is precise enough for routing. Load updates and digests use these
//! coarse numbers to save bytes.

const EXACT_BELOW: u64 = 16;
const FIRST_EXPONENT: u32 = 4;
const STEP_BITS: u32 = 3;
const STEPS: u64 = 1 << STEP_BITS;

/// Encodes a value as the nearest step; values beyond the scale saturate at 255.
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

/// Decodes a byte to the value of its step.
pub fn decode(code: u8) -> u64 {
    let code = u64::from(code);
    if code < EXACT_BELOW {
        return code;
    }
    let exponent = (code - EXACT_BELOW) / STEPS + u64::from(FIRST_EXPONENT);
    let step = (code - EXACT_BELOW) % STEPS;
    (STEPS + step) << (exponent - u64::from(STEP_BITS))
}
