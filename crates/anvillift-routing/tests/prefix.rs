//! Tests of the index of prompt prefixes.

use std::collections::BTreeMap;

use anvillift_routing::prefix::{self, PrefixIndex, PrefixIndexSettings};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::CacheEvent;
use proptest::prelude::*;

fn event(sequence: u64, stored: &[u64], evicted: &[u64]) -> CacheEvent {
    let hex = |blocks: &[u64]| blocks.iter().map(|block| format!("{block:016x}")).collect();
    CacheEvent { sequence, stored: hex(stored), evicted: hex(evicted) }
}

fn holders(index: &PrefixIndex, blocks: &[u64]) -> Vec<(String, u64)> {
    let found = index.lookup(blocks);
    found.iter().map(|cached| (cached.holder.to_string(), cached.tokens)).collect()
}

#[test]
fn prompts_with_a_common_start_share_blocks() {
    let history = "soil ".repeat(1_000);
    let one = prefix::blocks(&format!("{history}first question {}", "x".repeat(2_000)));
    let other = prefix::blocks(&format!("{history}second question {}", "y".repeat(2_000)));
    let shared = history.len() / prefix::BLOCK_BYTES;
    assert_eq!(one[..shared], other[..shared]);
    assert_ne!(one[shared..], other[shared..]);
}

#[test]
fn the_longest_prefix_comes_first() {
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    index.record_sent(0, &Name::from("a"), &[1, 2]);
    index.record_sent(0, &Name::from("b"), &[1, 2, 3, 4]);
    let expected = vec![("b".to_owned(), 1_024), ("a".to_owned(), 512)];
    assert_eq!(holders(&index, &[1, 2, 3, 4, 5]), expected);
}

/// Guards against a pile-up at the first few upstreams where 90 of them hold the
/// instructions that all prompts begin with and nothing else of them.
#[test]
fn prompts_with_common_instructions_name_different_holders() {
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    let upstreams: Vec<Name> = (0..90).map(|number| Name::from(format!("u{number}"))).collect();
    upstreams.iter().for_each(|upstream| index.record_sent(0, upstream, &[1, 2]));
    let mut prompts_by_holder: BTreeMap<String, usize> = BTreeMap::new();
    for prompt in 0..900 {
        let first = holders(&index, &[1, 2, 1_000 + prompt]).swap_remove(0);
        assert_eq!(first.1, 512);
        *prompts_by_holder.entry(first.0).or_default() += 1;
    }
    assert_eq!(prompts_by_holder.len(), 90);
    assert!(prompts_by_holder.values().all(|prompts| *prompts <= 20), "{prompts_by_holder:?}");
}

#[test]
fn an_evicted_block_is_removed() {
    let upstream = Name::from("a");
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    index.apply_cache_events(0, &upstream, 1, &[event(1, &[1, 2], &[])]);
    index.apply_cache_events(0, &upstream, 1, &[event(2, &[], &[2])]);
    assert_eq!(holders(&index, &[1, 2]), vec![("a".to_owned(), 256)]);
}

#[test]
fn a_repeated_event_is_ignored() {
    let upstream = Name::from("a");
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    index.apply_cache_events(0, &upstream, 1, &[event(1, &[1], &[]), event(2, &[], &[1])]);
    index.apply_cache_events(0, &upstream, 1, &[event(1, &[1], &[])]);
    assert!(index.lookup(&[1]).is_empty());
}

#[test]
fn a_gap_in_the_events_invalidates_entries_not_used_lately() {
    let upstream = Name::from("a");
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    index.apply_cache_events(0, &upstream, 1, &[event(1, &[1], &[])]);
    index.record_sent(60_000, &upstream, &[2]);
    index.apply_cache_events(61_000, &upstream, 1, &[event(9, &[], &[])]);
    assert!(index.lookup(&[1]).is_empty());
    assert_eq!(index.lookup(&[2]).len(), 1);
}

#[test]
fn a_restart_invalidates_the_entries_of_an_upstream() {
    let upstream = Name::from("a");
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    index.apply_cache_events(0, &upstream, 1, &[event(1, &[1], &[])]);
    index.apply_cache_events(0, &upstream, 2, &[]);
    assert!(index.lookup(&[1]).is_empty());
}

proptest! {
    #[test]
    fn the_index_stays_bounded_and_consistent(
        operations in prop::collection::vec((0u8..4, 0u64..40, 0u8..5), 0..300),
    ) {
        let settings = PrefixIndexSettings { max_entries: 20, ..PrefixIndexSettings::default() };
        let mut index = PrefixIndex::new(settings);
        for (step, (operation, block, holder)) in operations.into_iter().enumerate() {
            let now_ms = step as u64;
            let holder = Name::from(format!("u{holder}"));
            match operation {
                0 => index.record_sent(now_ms, &holder, &[block, block + 1]),
                1 => index.apply_cache_events(now_ms, &holder, 1, &[event(now_ms, &[block], &[])]),
                2 => index.apply_cache_events(now_ms, &holder, 1, &[event(now_ms, &[], &[block])]),
                _ => index.invalidate_holder(&holder),
            }
            prop_assert!(index.len() <= 20);
            if operation == 3 {
                let found = index.lookup(&(0..42).collect::<Vec<_>>());
                prop_assert!(found.iter().all(|cached| cached.holder != holder));
            }
        }
    }
}
