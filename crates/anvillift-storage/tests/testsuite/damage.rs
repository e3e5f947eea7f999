//! Torn, damaged and arbitrary files.

use std::fs;

use anvillift_schema::consensus::{Entry, EntryBody, Vote};
use anvillift_storage::{Repair, StorageError};
use proptest::prelude::*;

use crate::support::{entry, open, segments, temp, try_open, write};

fn batches() -> Vec<Vec<Entry>> {
    vec![vec![entry(1, 1), entry(2, 1)], vec![entry(3, 1)], vec![entry(4, 2)]]
}

#[test]
fn a_torn_tail_is_cut_and_the_log_goes_on() {
    let folder = temp();
    write(folder.path(), &batches());
    let segment = &segments(folder.path())[0];
    let bytes = fs::read(segment).expect("reads");
    fs::write(segment, &bytes[..bytes.len() - 3]).expect("writes");
    let (mut storage, recovered) = open(folder.path());
    assert_eq!(recovered.repair, Repair::TornTailCut);
    assert_eq!(recovered.refetch_upto, None);
    assert_eq!(recovered.entries.last(), Some(&entry(3, 1)));
    storage.append(vec![entry(4, 3)]);
    storage.sync().expect("syncs");
    drop(storage);
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.repair, Repair::None);
    assert_eq!(recovered.entries.last(), Some(&entry(4, 3)));
}

#[test]
fn damage_before_good_frames_is_kept_in_mind_until_the_log_is_fetched_again() {
    let folder = temp();
    write(folder.path(), &batches());
    let segment = &segments(folder.path())[0];
    let mut bytes = fs::read(segment).expect("reads");
    bytes[20] ^= 0x40;
    fs::write(segment, &bytes).expect("writes");
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.repair, Repair::Damaged);
    assert_eq!((recovered.entries.len(), recovered.refetch_upto), (0, Some(4)));
    let (mut storage, recovered) = open(folder.path());
    assert_eq!(recovered.refetch_upto, Some(4), "a restart does not forget it");
    storage.append(vec![entry(1, 1)]);
    storage.finish_refetch().expect("saves");
    drop(storage);
    assert_eq!(open(folder.path()).1.refetch_upto, None);
}

#[test]
fn a_missing_segment_is_damage() {
    let folder = temp();
    let large =
        |index| Entry { index, term: 1, body: EntryBody::Command(vec![7; 9 * 1024 * 1024].into()) };
    write(folder.path(), &[vec![large(1)], vec![large(2)], vec![large(3)]]);
    let files = segments(folder.path());
    assert_eq!(files.len(), 3);
    fs::remove_file(&files[1]).expect("removes");
    let recovered = open(folder.path()).1;
    assert_eq!((recovered.repair, recovered.refetch_upto), (Repair::Damaged, Some(3)));
    assert_eq!(recovered.entries.len(), 1);
}

#[test]
fn a_damaged_vote_stops_the_replica() {
    let folder = temp();
    let (mut storage, _) = open(folder.path());
    storage.save_vote(&Vote { term: 3, voted_for: None }).expect("saves");
    drop(storage);
    let path = folder.path().join("groups").join("group").join("vote");
    let mut bytes = fs::read(&path).expect("reads");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("writes");
    let fault = try_open(folder.path()).err();
    assert!(matches!(fault, Some(StorageError::Damaged { .. })), "{fault:?}");
}

#[test]
fn a_command_that_looks_like_a_frame_is_not_taken_for_one() {
    let other = temp();
    write(other.path(), &[vec![entry(900, 9)]]);
    let image = fs::read(&segments(other.path())[0]).expect("reads");
    let folder = temp();
    let body = EntryBody::Command(image.into());
    write(folder.path(), &[vec![entry(1, 1)], vec![Entry { index: 2, term: 1, body }]]);
    let segment = &segments(folder.path())[0];
    let bytes = fs::read(segment).expect("reads");
    fs::write(segment, &bytes[..bytes.len() - 1]).expect("writes");
    let recovered = open(folder.path()).1;
    assert_eq!((recovered.repair, recovered.refetch_upto), (Repair::TornTailCut, None));
}

#[derive(Clone, Debug)]
enum Harm {
    Cut { at: usize },
    Flip { at: usize, bits: u8 },
    Insert { at: usize, bytes: Vec<u8> },
    Remove { at: usize, count: usize },
}

fn harm() -> impl Strategy<Value = Harm> {
    let at = 0usize..400;
    prop_oneof![
        at.clone().prop_map(|at| Harm::Cut { at }),
        (at.clone(), 1u8..).prop_map(|(at, bits)| Harm::Flip { at, bits }),
        (at.clone(), prop::collection::vec(any::<u8>(), 1..40))
            .prop_map(|(at, bytes)| Harm::Insert { at, bytes }),
        (at, 1usize..60).prop_map(|(at, count)| Harm::Remove { at, count }),
    ]
}

fn apply(bytes: &mut Vec<u8>, harm: Harm) {
    match harm {
        Harm::Cut { at } => bytes.truncate(at),
        Harm::Flip { at, bits } => {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= bits;
            }
        }
        Harm::Insert { at, bytes: inserted } => {
            let at = at.min(bytes.len());
            bytes.splice(at..at, inserted);
        }
        Harm::Remove { at, count } => {
            let at = at.min(bytes.len());
            bytes.drain(at..(at + count).min(bytes.len()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_harmed_log_yields_only_what_was_written(harms in prop::collection::vec(harm(), 1..4)) {
        let folder = temp();
        write(folder.path(), &batches());
        let segment = &segments(folder.path())[0];
        let mut bytes = fs::read(segment).expect("reads");
        for harm in harms {
            apply(&mut bytes, harm);
        }
        fs::write(segment, &bytes).expect("writes");
        let recovered = open(folder.path()).1;
        let written: Vec<Entry> = batches().into_iter().flatten().collect();
        prop_assert!(written.starts_with(&recovered.entries), "{:?}", recovered.entries);
        let again = open(folder.path()).1;
        prop_assert_eq!(again.entries, recovered.entries);
        prop_assert_eq!(again.refetch_upto, recovered.refetch_upto);
        prop_assert_eq!(again.repair, Repair::None);
    }

    #[test]
    fn arbitrary_bytes_yield_nothing(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let folder = temp();
        write(folder.path(), &batches()[..1]);
        fs::write(&segments(folder.path())[0], &bytes).expect("writes");
        prop_assert_eq!(open(folder.path()).1.entries, []);
        for name in ["vote", "snapshot", "refetch"] {
            let path = folder.path().join("groups").join("group").join(name);
            fs::write(&path, &bytes).expect("writes");
            prop_assert!(try_open(folder.path()).is_err());
            fs::remove_file(&path).expect("removes");
        }
    }
}
