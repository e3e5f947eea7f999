//! Storage faults in a running group.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvillift_replication::ProposeError;
use anvillift_schema::name::Name;
use anvillift_storage::StorageIo;
use rstest::rstest;

use crate::support::{Group, eventually, folder_of, host, lock, memory_folder};

/// Storage I/O whose writes and syncs fail with `kind` while the switch is set.
fn failing_io(switch: &Arc<AtomicBool>, kind: io::ErrorKind) -> StorageIo {
    let StorageIo { mut write, mut sync } = StorageIo::default();
    let (writes, syncs) = (Arc::clone(switch), Arc::clone(switch));
    let check = move |switch: &AtomicBool| {
        if switch.load(Ordering::Relaxed) { Err(io::Error::from(kind)) } else { Ok(()) }
    };
    StorageIo {
        write: Box::new(move |file, bytes| check(&writes).and_then(|()| write(file, bytes))),
        sync: Box::new(move |file| check(&syncs).and_then(|()| sync(file))),
    }
}

async fn start(switches: &[Arc<AtomicBool>], kind: io::ErrorKind) -> (tempfile::TempDir, Group) {
    let root = memory_folder();
    let mut group = Group::new(3);
    for (number, switch) in switches.iter().enumerate() {
        let name = host(number);
        let switch = Arc::clone(switch);
        let io = move || failing_io(&switch, kind);
        group.start_with(&name, folder_of(root.path(), &name), io);
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

/// Guards against a group that loses its majority for good when the disks of its hosts fail for a
/// while one after another.
#[rstest]
#[tokio::test]
async fn commands_are_accepted_after_disks_have_failed_one_after_another(
    #[values(io::ErrorKind::StorageFull, io::ErrorKind::Other)] kind: io::ErrorKind,
) {
    let switches: Vec<_> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let (_root, group) = start(&switches, kind).await;
    for round in 0..2 {
        for (number, switch) in switches.iter().enumerate() {
            switch.store(true, Ordering::Relaxed);
            let name = host(number);
            let command = format!("while the disk of {name} fails, round {round}");
            group.propose(&command).await;
            eventually("the fault", || group.members[&name].handle.status().failed.then_some(()))
                .await;
            switch.store(false, Ordering::Relaxed);
            group.wait_until_applied(&name, &command).await;
        }
    }
    group.propose("after").await;
    let expected = lock(&group.members[&group.leader().await].applied).clone();
    for name in (0..3).map(host) {
        group.wait_until_applied(&name, "after").await;
        assert_eq!(*lock(&group.members[&name].applied), expected, "{name}");
    }
}

/// Guards against a host that stays without a replica because its disk was full when it started.
#[tokio::test]
async fn a_host_whose_disk_fails_when_it_starts_joins_later() {
    let switches: Vec<_> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let (root, mut group) = start(&switches, io::ErrorKind::StorageFull).await;
    let (name, switch) = (host(2), Arc::clone(&switches[2]));
    group.stop(&name).await;
    switch.store(true, Ordering::Relaxed);
    let io = move || failing_io(&switch, io::ErrorKind::StorageFull);
    group.start_with(&name, folder_of(root.path(), &name), io);
    assert!(group.members[&name].handle.status().failed);
    group.propose("during").await;
    switches[2].store(false, Ordering::Relaxed);
    group.wait_until_applied(&name, "during").await;
}
