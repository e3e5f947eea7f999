//! Storage faults in a running group.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_replication::ProposeError;
use anvillift_schema::name::Name;
use anvillift_storage::StorageIo;
use rstest::rstest;

use crate::support::{Group, eventually, folder_of, host, lock};

/// Storage I/O whose writes fail with `kind` while the switch is set.
fn failing_io(switch: &Arc<AtomicBool>, kind: io::ErrorKind) -> StorageIo {
    let StorageIo { mut write, sync } = StorageIo::default();
    let switch = Arc::clone(switch);
    StorageIo {
        write: Box::new(move |file, bytes| {
            if switch.load(Ordering::Relaxed) {
                return Err(kind.into());
            }
            write(file, bytes)
        }),
        sync,
    }
}

async fn start(switches: &[Arc<AtomicBool>], kind: io::ErrorKind) -> (tempfile::TempDir, Group) {
    let root = tempfile::tempdir().expect("a folder");
    let mut group = Group::new(3);
    for (number, switch) in switches.iter().enumerate() {
        let name = host(number);
        group.start_with(&name, folder_of(root.path(), &name), failing_io(switch, kind));
    }
    group.propose("before").await;
    (root, group)
}

fn number_of(name: &Name) -> usize {
    (0..3).find(|&number| host(number) == *name).expect("a host")
}

#[rstest]
#[tokio::test]
async fn a_leader_whose_disk_fails_acknowledges_nothing_and_is_replaced(
    #[values(io::ErrorKind::StorageFull, io::ErrorKind::Other)] kind: io::ErrorKind,
) {
    let switches: Vec<_> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let (_root, group) = start(&switches, kind).await;
    let leader = group.leader().await;
    switches[number_of(&leader)].store(true, Ordering::Relaxed);
    let handle = &group.members[&leader].handle;
    let answer = handle.propose(b"during".to_vec()).await;
    assert_eq!(answer, Err(ProposeError::Unknown));
    assert!(handle.status().failed);
    assert_eq!(handle.propose(b"later".to_vec()).await, Err(ProposeError::Stopped));
    eventually("a successor", || {
        let others = group.members.iter().filter(|(name, _)| **name != leader);
        let statuses = others.map(|(_, member)| member.handle.status());
        statuses.filter_map(|status| status.leader).find(|successor| *successor != leader)
    })
    .await;
    group.propose("after").await;
}

#[tokio::test]
async fn no_command_is_acknowledged_while_no_majority_can_sync() {
    let switches: Vec<_> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let (_root, group) = start(&switches, io::ErrorKind::Other).await;
    let leader = group.leader().await;
    for (number, switch) in switches.iter().enumerate() {
        switch.store(host(number) != leader, Ordering::Relaxed);
    }
    let answer = group.members[&leader].handle.propose(b"during".to_vec()).await;
    assert_eq!(answer, Err(ProposeError::Unknown));
    for member in group.members.values() {
        assert!(!lock(&member.applied).contains(&b"during".to_vec()));
    }
}
