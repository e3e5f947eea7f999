//! Recovery from torn, damaged and arbitrary files.

use std::fs;

use anvillift_schema::consensus::{Entry, EntryBody, Vote};
use anvillift_storage::{Repair, StorageError};
use proptest::prelude::*;

use crate::support::{entry, open, segments, temporary_folder, try_open, write};

fn batches() -> Vec<Vec<Entry>> {
    vec![vec![entry(1, 1), entry(2, 1)], vec![entry(3, 1)], vec![entry(4, 2)]]
}

#[test]
fn a_torn_tail_is_truncated_and_the_log_can_be_continued() {
    let folder = temporary_folder();
    write(folder.path(), &batches());
    let segment = &segments(folder.path())[0];
    let bytes = fs::read(segment).expect("the file is read");
    fs::write(segment, &bytes[..bytes.len() - 3]).expect("the file is written");
    let (mut storage, recovered) = open(folder.path());
    assert_eq!(recovered.repair, Repair::TornTailTruncated);
    assert_eq!(recovered.refetch_upto, None);
    assert_eq!(recovered.entries.last(), Some(&entry(3, 1)));
    storage.append(vec![entry(4, 3)]);
    storage.sync().expect("the entries are synced");
    drop(storage);
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.repair, Repair::None);
    assert_eq!(recovered.entries.last(), Some(&entry(4, 3)));
}

#[test]
fn a_pending_refetch_survives_restarts_until_it_is_finished() {
    let folder = temporary_folder();
    write(folder.path(), &batches());
    let segment = &segments(folder.path())[0];
    let mut bytes = fs::read(segment).expect("the file is read");
    bytes[20] ^= 0x40;
    fs::write(segment, &bytes).expect("the file is written");
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.repair, Repair::Damaged);
    assert_eq!((recovered.entries.len(), recovered.refetch_upto), (0, Some(4)));
    let (mut storage, recovered) = open(folder.path());
    assert_eq!(recovered.refetch_upto, Some(4), "the pending refetch survives a restart");
    storage.append(vec![entry(1, 1)]);
    storage.finish_refetch().expect("the state is saved");
    drop(storage);
    assert_eq!(open(folder.path()).1.refetch_upto, None);
}

#[test]
fn a_missing_segment_is_detected_as_damage() {
    let folder = temporary_folder();
    let large =
        |index| Entry { index, term: 1, body: EntryBody::Command(vec![7; 9 * 1024 * 1024].into()) };
    write(folder.path(), &[vec![large(1)], vec![large(2)], vec![large(3)]]);
    let files = segments(folder.path());
    assert_eq!(files.len(), 3);
    fs::remove_file(&files[1]).expect("the file is removed");
    let recovered = open(folder.path()).1;
    assert_eq!((recovered.repair, recovered.refetch_upto), (Repair::Damaged, Some(3)));
    assert_eq!(recovered.entries.len(), 1);
}

#[test]
fn a_damaged_vote_prevents_opening_the_group() {
    let folder = temporary_folder();
    let (mut storage, _) = open(folder.path());
    storage.save_vote(&Vote { term: 3, voted_for: None }).expect("the state is saved");
    drop(storage);
    let path = folder.path().join("groups").join("group").join("vote");
    let mut bytes = fs::read(&path).expect("the file is read");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("the file is written");
    let error = try_open(folder.path()).err();
    assert!(matches!(error, Some(StorageError::Damaged { .. })), "{error:?}");
}

#[test]
fn a_command_that_contains_a_frame_of_another_folder_is_not_read_as_a_frame() {
    let other = temporary_folder();
    write(other.path(), &[vec![entry(900, 9)]]);
    let frame_bytes = fs::read(&segments(other.path())[0]).expect("the file is read");
    let folder = temporary_folder();
    let body = EntryBody::Command(frame_bytes.into());
    write(folder.path(), &[vec![entry(1, 1)], vec![Entry { index: 2, term: 1, body }]]);
    let segment = &segments(folder.path())[0];
    let bytes = fs::read(segment).expect("the file is read");
    fs::write(segment, &bytes[..bytes.len() - 1]).expect("the file is written");
    let recovered = open(folder.path()).1;
    assert_eq!((recovered.repair, recovered.refetch_upto), (Repair::TornTailTruncated, None));
}

#[derive(Clone, Debug)]
enum Corruption {
    Truncate { at: usize },
    Flip { at: usize, bits: u8 },
    Insert { at: usize, bytes: Vec<u8> },
    Remove { at: usize, count: usize },
}

fn corruption() -> impl Strategy<Value = Corruption> {
    let at = 0usize..400;
    prop_oneof![
        at.clone().prop_map(|at| Corruption::Truncate { at }),
        (at.clone(), 1u8..).prop_map(|(at, bits)| Corruption::Flip { at, bits }),
        (at.clone(), prop::collection::vec(any::<u8>(), 1..40))
            .prop_map(|(at, bytes)| Corruption::Insert { at, bytes }),
        (at, 1usize..60).prop_map(|(at, count)| Corruption::Remove { at, count }),
    ]
}

fn apply(bytes: &mut Vec<u8>, corruption: Corruption) {
    match corruption {
        Corruption::Truncate { at } => bytes.truncate(at),
        Corruption::Flip { at, bits } => {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= bits;
            }
        }
        Corruption::Insert { at, bytes: inserted } => {
            let at = at.min(bytes.len());
            bytes.splice(at..at, inserted);
        }
        Corruption::Remove { at, count } => {
            let at = at.min(bytes.len());
            bytes.drain(at..(at + count).min(bytes.len()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_corrupted_log_yields_only_entries_that_were_written(
        corruptions in prop::collection::vec(corruption(), 1..4),
    ) {
        let folder = temporary_folder();
        write(folder.path(), &batches());
        let segment = &segments(folder.path())[0];
        let mut bytes = fs::read(segment).expect("the file is read");
        for corruption in corruptions {
            apply(&mut bytes, corruption);
        }
        fs::write(segment, &bytes).expect("the file is written");
        let recovered = open(folder.path()).1;
        let written: Vec<Entry> = batches().into_iter().flatten().collect();
        prop_assert!(written.starts_with(&recovered.entries), "{:?}", recovered.entries);
        let again = open(folder.path()).1;
        prop_assert_eq!(again.entries, recovered.entries);
        prop_assert_eq!(again.refetch_upto, recovered.refetch_upto);
        prop_assert_eq!(again.repair, Repair::None);
    }

    #[test]
    fn arbitrary_bytes_yield_no_entries_vote_or_snapshot(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
    ) {
        let folder = temporary_folder();
        write(folder.path(), &batches()[..1]);
        fs::write(&segments(folder.path())[0], &bytes).expect("the file is written");
        prop_assert_eq!(open(folder.path()).1.entries, []);
        for name in ["vote", "snapshot", "refetch"] {
            let path = folder.path().join("groups").join("group").join(name);
            fs::write(&path, &bytes).expect("the file is written");
            prop_assert!(try_open(folder.path()).is_err());
            fs::remove_file(&path).expect("the file is removed");
        }
    }
}
