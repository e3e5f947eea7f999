//! Recovery of synced state after a normal close, and the identity of folders.

use std::fs;

use anvillift_schema::consensus::{Entry, Vote};
use anvillift_storage::{DataFolder, Repair, StorageError};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{entry, meta, open, temporary_folder, try_open, write};

#[test]
fn a_folder_keeps_its_storage_id_and_a_new_folder_gets_another() {
    let folder = temporary_folder();
    let first =
        DataFolder::open(folder.path()).expect("the folder is formatted").storage_id().clone();
    let again = DataFolder::open(folder.path()).expect("the folder opens").storage_id().clone();
    assert_eq!(first, again);
    let other = temporary_folder();
    assert_ne!(
        first,
        *DataFolder::open(other.path()).expect("the folder is formatted").storage_id()
    );
}

#[test]
fn a_folder_with_groups_but_no_identity_is_not_formatted_again() {
    let folder = temporary_folder();
    write(folder.path(), &[vec![entry(1, 1)]]);
    fs::remove_file(folder.path().join("identity")).expect("the identity is removed");
    let error = DataFolder::open(folder.path()).err();
    assert!(matches!(error, Some(StorageError::Damaged { .. })), "{error:?}");
}

#[test]
fn a_folder_cannot_be_opened_twice() {
    let folder = temporary_folder();
    let _first = DataFolder::open(folder.path()).expect("the folder opens");
    let second = DataFolder::open(folder.path()).err();
    assert!(matches!(second, Some(StorageError::InUse { .. })), "{second:?}");
}

#[test]
fn entries_that_were_not_synced_are_not_written() {
    let folder = temporary_folder();
    let (mut storage, _) = open(folder.path());
    storage.append(vec![entry(1, 1)]);
    storage.sync().expect("the entries are synced");
    storage.append(vec![entry(2, 1)]);
    drop(storage);
    assert_eq!(open(folder.path()).1.entries, [entry(1, 1)]);
}

#[rstest]
#[case::received_from_a_leader_over_a_shorter_log(&[1, 2, 3], 9, &[])]
#[case::taken_of_the_local_state_machine(&[1, 2, 3, 4, 5], 3, &[4, 5])]
fn an_interrupted_snapshot_installation_is_completed(
    #[case] written: &[u64],
    #[case] index: u64,
    #[case] kept: &[u64],
) {
    let folder = temporary_folder();
    write(folder.path(), &[written.iter().map(|&index| entry(index, 1)).collect()]);
    // This is the state after a crash in the installation of a snapshot: the
    // snapshot is durable, and the old log is not dropped yet.
    let (mut storage, _) = open(folder.path());
    storage.save_snapshot(&meta(index, 1), b"state", false).expect("the state is saved");
    drop(storage);
    let (mut storage, recovered) = open(folder.path());
    let kept: Vec<Entry> = kept.iter().map(|&index| entry(index, 1)).collect();
    assert_eq!(recovered.entries, kept);
    let next = kept.last().map_or(index, |last| last.index) + 1;
    storage.append(vec![entry(next, 2)]);
    storage.sync().expect("the entries are synced");
    drop(storage);
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.entries.last(), Some(&entry(next, 2)));
    assert_eq!((recovered.repair, recovered.refetch_upto), (Repair::None, None));
}

#[derive(Clone, Debug)]
enum Step {
    Append { back: u64, count: u64 },
    Vote { term: u64 },
    Snapshot { back: u64 },
    Install { ahead: u64 },
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..4, 1u64..5).prop_map(|(back, count)| Step::Append { back, count }),
        1 => (1u64..50).prop_map(|term| Step::Vote { term }),
        1 => (0u64..4).prop_map(|back| Step::Snapshot { back }),
        1 => (1u64..9).prop_map(|ahead| Step::Install { ahead }),
        2 => Just(Step::Reopen),
    ]
}

/// Expected state of the folder.
#[derive(Default)]
struct Model {
    term: u64,
    vote: Option<Vote>,
    snapshot_index: u64,
    entries: Vec<Entry>,
}

impl Model {
    fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_index, |entry| entry.index)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn synced_state_is_recovered(steps in prop::collection::vec(step(), 1..25)) {
        let folder = temporary_folder();
        let (mut storage, _) = open(folder.path());
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Append { back, count } => {
                    model.term += 1;
                    let first = (model.last_index() + 1 - back.min(model.last_index()))
                        .max(model.snapshot_index + 1);
                    let batch: Vec<Entry> =
                        (first..first + count).map(|index| entry(index, model.term)).collect();
                    model.entries.retain(|entry| entry.index < first);
                    model.entries.extend(batch.clone());
                    storage.append(batch);
                    storage.sync().expect("the entries are synced");
                }
                Step::Vote { term } => {
                    let vote = Vote { term, voted_for: None };
                    storage.save_vote(&vote).expect("the state is saved");
                    model.vote = Some(vote);
                }
                Step::Snapshot { back } => {
                    let index = model.last_index().saturating_sub(back).max(model.snapshot_index);
                    let entry_at_index = model.entries.iter().find(|entry| entry.index == index);
                    let Some(term) = entry_at_index.map(|entry| entry.term) else { continue };
                    storage
                        .save_snapshot(&meta(index, term), b"state", false)
                        .expect("the state is saved");
                    model.snapshot_index = index;
                    model.entries.retain(|entry| entry.index > index);
                }
                Step::Install { ahead } => {
                    model.snapshot_index = model.last_index() + ahead;
                    model.entries.clear();
                    let meta = meta(model.snapshot_index, model.term);
                    storage.save_snapshot(&meta, b"state", true).expect("the state is saved");
                }
                Step::Reopen => {
                    drop(storage);
                    storage = try_open(folder.path()).expect("the folder opens").0;
                }
            }
        }
        drop(storage);
        let recovered = open(folder.path()).1;
        prop_assert_eq!(&recovered.entries, &model.entries);
        prop_assert_eq!(&recovered.vote, &model.vote);
        let snapshot_index = recovered.snapshot.map_or(0, |(meta, _)| meta.index);
        prop_assert_eq!(snapshot_index, model.snapshot_index);
        prop_assert_eq!(recovered.refetch_upto, None);
    }
}
