//! Storage errors: full disks, short writes and failed syncs.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::code::Code;
use anvillift_schema::consensus::Vote;
use anvillift_storage::{DataFolder, Repair, StorageError, StorageIo};
use rstest::rstest;

use crate::support::{entry, group, meta, open, temporary_folder};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Full,
    ShortWrite,
    Sync,
}

/// Storage I/O on which the fault occurs while the switch is set.
fn failing_io(fault: Fault, switch: &Arc<AtomicBool>) -> StorageIo {
    let default_io = StorageIo::default();
    let (mut write, mut sync) = (default_io.write, default_io.sync);
    let (writes, syncs) = (Arc::clone(switch), Arc::clone(switch));
    StorageIo {
        write: Box::new(move |file, bytes| match fault {
            _ if !writes.load(Ordering::Relaxed) => write(file, bytes),
            Fault::Full => Err(io::ErrorKind::StorageFull.into()),
            Fault::ShortWrite => {
                write(file, &bytes[..bytes.len() / 2])?;
                Err(io::ErrorKind::StorageFull.into())
            }
            Fault::Sync => write(file, bytes),
        }),
        sync: Box::new(move |file| {
            if syncs.load(Ordering::Relaxed) && fault == Fault::Sync {
                return Err(io::Error::other("the device failed"));
            }
            sync(file)
        }),
    }
}

#[rstest]
fn an_error_is_reported_and_nothing_is_written_after_it(
    #[values(Fault::Full, Fault::ShortWrite, Fault::Sync)] fault: Fault,
) {
    let folder = temporary_folder();
    let switch = Arc::new(AtomicBool::new(false));
    let data = DataFolder::open(folder.path()).expect("the folder opens");
    let (mut storage, _) =
        data.open_group(&group(), failing_io(fault, &switch)).expect("opens the group");
    storage.append(vec![entry(1, 1)]);
    storage.sync().expect("the entries are synced");
    switch.store(true, Ordering::Relaxed);
    storage.append(vec![entry(2, 1)]);
    let error = storage.sync().expect_err("the fault is reported");
    assert_eq!(error.code(), Code::StorageFault);
    match fault {
        Fault::Sync => assert!(matches!(error, StorageError::Sync { .. }), "{error}"),
        _ => assert!(matches!(error, StorageError::Full { .. }), "{error}"),
    }
    switch.store(false, Ordering::Relaxed);
    storage.append(vec![entry(2, 2)]);
    let later_error = storage.sync().expect_err("the storage stays disabled");
    assert!(matches!(later_error, StorageError::Failed { .. }), "{later_error}");
    assert!(storage.save_vote(&Vote { term: 9, voted_for: None }).is_err());
    assert!(storage.save_snapshot(&meta(1, 1), b"state", false).is_err());
    drop((storage, data));
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.entries.first(), Some(&entry(1, 1)));
    assert_eq!(recovered.vote, None);
    assert_eq!(recovered.refetch_upto, None);
}

#[rstest]
fn a_vote_whose_write_failed_does_not_replace_the_durable_one(
    #[values(Fault::Full, Fault::Sync)] fault: Fault,
) {
    let folder = temporary_folder();
    let switch = Arc::new(AtomicBool::new(false));
    let data = DataFolder::open(folder.path()).expect("the folder opens");
    let (mut storage, _) =
        data.open_group(&group(), failing_io(fault, &switch)).expect("opens the group");
    let durable_vote = Vote { term: 1, voted_for: None };
    storage.save_vote(&durable_vote).expect("the state is saved");
    switch.store(true, Ordering::Relaxed);
    storage.save_vote(&Vote { term: 2, voted_for: None }).expect_err("the fault is reported");
    drop((storage, data));
    assert_eq!(open(folder.path()).1.vote, Some(durable_vote));
}

/// Guards against a group that takes entries for durable which a failed sync has left in the log:
/// they may be readable until the power is lost.
#[rstest]
fn entries_of_a_failed_sync_are_not_read_back(
    #[values(Fault::Full, Fault::ShortWrite, Fault::Sync)] fault: Fault,
) {
    let folder = temporary_folder();
    let switch = Arc::new(AtomicBool::new(false));
    let data = DataFolder::open(folder.path()).expect("the folder opens");
    let (mut storage, _) =
        data.open_group(&group(), failing_io(fault, &switch)).expect("opens the group");
    storage.append(vec![entry(1, 1)]);
    storage.sync().expect("the entries are synced");
    switch.store(true, Ordering::Relaxed);
    storage.append(vec![entry(2, 1)]);
    storage.sync().expect_err("the fault is reported");
    switch.store(false, Ordering::Relaxed);
    storage.discard_unsynced().expect("the log is truncated");
    drop((storage, data));
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.entries, vec![entry(1, 1)]);
    assert_eq!(recovered.repair, Repair::None);
}
