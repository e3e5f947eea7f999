//! Texts of prompts.
//!
//! A text is a function of its seed, so that requests that share a history
//! share its bytes, and a policy sees the same prompts as the others.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::arrival::Arrival;

const TOKEN_BYTES: u64 = 4;
const HISTORY_SALT: u64 = 0x0068_6973_746f_7279;

/// Text of `tokens` tokens.
pub fn text(seed: u64, tokens: u64) -> String {
    let mut draws = SmallRng::seed_from_u64(seed);
    let mut text = String::with_capacity((tokens * TOKEN_BYTES) as usize);
    for _ in 0..tokens {
        for _ in 1..TOKEN_BYTES {
            text.push(char::from(draws.random_range(b'a'..=b'z')));
        }
        text.push(' ');
    }
    text
}

/// The whole prompt of an arrival: its history, then its question.
pub fn prompt(arrival: &Arrival) -> String {
    // Regions have histories of their own.
    let region = arrival.region.bytes().fold(0, |sum: u64, byte| sum * 31 + u64::from(byte));
    let history = HISTORY_SALT
        ^ arrival.seed.rotate_left(40)
        ^ region.rotate_left(16)
        ^ u64::from(arrival.history);
    let mut prompt = text(history, arrival.history_tokens);
    let question = arrival.seed.rotate_left(20) ^ arrival.number;
    prompt.push_str(&text(question, arrival.question_tokens));
    prompt
}
