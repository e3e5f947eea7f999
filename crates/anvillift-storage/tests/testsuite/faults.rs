//! Full disks and failed syncs.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_schema::code::Code;
use anvillift_schema::consensus::Vote;
use anvillift_storage::{DataFolder, Io, StorageError};
use rstest::rstest;

use crate::support::{entry, group, meta, open, temp};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Full,
    ShortWrite,
    Sync,
}

/// Files on which the fault strikes from when the switch is set.
fn faulty(fault: Fault, switch: &Arc<AtomicBool>) -> Io {
    let usual = Io::default();
    let (mut write, mut sync) = (usual.write, usual.sync);
    let (writes, syncs) = (Arc::clone(switch), Arc::clone(switch));
    Io {
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
fn a_fault_is_told_and_nothing_is_written_after_it(
    #[values(Fault::Full, Fault::ShortWrite, Fault::Sync)] fault: Fault,
) {
    let folder = temp();
    let switch = Arc::new(AtomicBool::new(false));
    let data = DataFolder::open(folder.path()).expect("opens");
    let (mut storage, _) =
        data.open_group(&group(), faulty(fault, &switch)).expect("opens the group");
    storage.append(vec![entry(1, 1)]);
    storage.sync().expect("syncs");
    switch.store(true, Ordering::Relaxed);
    storage.append(vec![entry(2, 1)]);
    let told = storage.sync().expect_err("the fault is told");
    assert_eq!(told.code(), Code::StorageFault);
    match fault {
        Fault::Sync => assert!(matches!(told, StorageError::Sync { .. }), "{told}"),
        _ => assert!(matches!(told, StorageError::Full { .. }), "{told}"),
    }
    switch.store(false, Ordering::Relaxed);
    storage.append(vec![entry(2, 2)]);
    let later = storage.sync().expect_err("the fault stays");
    assert!(matches!(later, StorageError::Failed { .. }), "{later}");
    assert!(storage.save_vote(&Vote { term: 9, voted_for: None }).is_err());
    assert!(storage.save_snapshot(&meta(1, 1), b"state", false).is_err());
    drop((storage, data));
    let recovered = open(folder.path()).1;
    assert_eq!(recovered.entries.first(), Some(&entry(1, 1)));
    assert_eq!(recovered.vote, None);
    assert_eq!(recovered.refetch_upto, None);
}

#[rstest]
fn a_vote_that_is_not_durable_is_not_kept(#[values(Fault::Full, Fault::Sync)] fault: Fault) {
    let folder = temp();
    let switch = Arc::new(AtomicBool::new(false));
    let data = DataFolder::open(folder.path()).expect("opens");
    let (mut storage, _) =
        data.open_group(&group(), faulty(fault, &switch)).expect("opens the group");
    let kept = Vote { term: 1, voted_for: None };
    storage.save_vote(&kept).expect("saves");
    switch.store(true, Ordering::Relaxed);
    storage.save_vote(&Vote { term: 2, voted_for: None }).expect_err("the fault is told");
    drop((storage, data));
    assert_eq!(open(folder.path()).1.vote, Some(kept));
}
