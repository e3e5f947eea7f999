//! Generated prompt texts.
//!
//! A text depends only on its seed and length. Requests with the same history
//! therefore share its bytes, and every policy gets the same prompts.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::arrival::Arrival;

const TOKEN_BYTES: u64 = 4;
const HISTORY_SALT: u64 = 0x0068_6973_746f_7279;

/// Generates a text of `tokens` tokens, each with four bytes.
pub fn text(seed: u64, tokens: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = String::with_capacity((tokens * TOKEN_BYTES) as usize);
    for _ in 0..tokens {
        for _ in 1..TOKEN_BYTES {
            text.push(char::from(rng.random_range(b'a'..=b'z')));
        }
        text.push(' ');
    }
    text
}

/// Generates the prompt of an arrival: its history, then its question.
pub fn prompt(arrival: &Arrival) -> String {
    // The region is part of the seed, so regions do not share histories.
    let region_seed = arrival.region.bytes().fold(0, |sum: u64, byte| sum * 31 + u64::from(byte));
    let history_seed = HISTORY_SALT
        ^ arrival.seed.rotate_left(40)
        ^ region_seed.rotate_left(16)
        ^ u64::from(arrival.history);
    let mut prompt = text(history_seed, arrival.history_tokens);
    let question_seed = arrival.seed.rotate_left(20) ^ arrival.number;
    prompt.push_str(&text(question_seed, arrival.question_tokens));
    prompt
}
