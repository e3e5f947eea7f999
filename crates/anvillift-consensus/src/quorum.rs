//! Majority calculations over a set of voters.

use anvillift_schema::consensus::{Voter, VoterSet};

/// Number of voters in the smallest majority.
pub(crate) fn majority(voters: &VoterSet) -> usize {
    voters.voters.len() / 2 + 1
}

/// Largest value that a majority of the voters has reached, such as a replicated
/// index or an acknowledged time.
pub(crate) fn majority_value(voters: &VoterSet, value: impl Fn(&Voter) -> u64) -> u64 {
    let mut values: Vec<u64> = voters.voters.iter().map(value).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(majority(voters) - 1).copied().unwrap_or(0)
}
