//! Creates the replica of a group from the content of its storage, when the group starts and
//! again after a storage fault.

use std::sync::Arc;

use anvillift_consensus::{RecoveredState, Replica, ReplicaSettings, Snapshot};
use anvillift_schema::consensus::Voter;
use anvillift_schema::event::Event;
use anvillift_storage::{GroupStorage, RecoveredGroup, Repair, StorageError};

use crate::settings::{GroupDriverSettings, StorageOpener};

/// Storage of a group, and what is needed to create its replica.
pub(crate) struct ReplicaSource {
    settings: ReplicaSettings,
    identity: Voter,
    /// Opens the storage; `None` for a group that is kept in memory.
    opener: Option<StorageOpener>,
    seed: u64,
}

/// A replica and the storage from which it continues.
pub(crate) struct OpenedReplica {
    pub(crate) replica: Replica,
    pub(crate) storage: Option<GroupStorage>,
    /// Snapshot in the storage.
    pub(crate) snapshot: Option<Snapshot>,
}

impl ReplicaSource {
    pub(crate) fn new(settings: GroupDriverSettings) -> Self {
        Self {
            settings: replica_settings(&settings),
            identity: settings.identity,
            opener: settings.storage,
            seed: settings.seed,
        }
    }

    /// Opens the storage and creates a replica that continues from its content. A group that is
    /// kept in memory gets an empty replica.
    pub(crate) fn open(&mut self) -> Result<OpenedReplica, StorageError> {
        let Some(opener) = &mut self.opener else {
            return Ok(OpenedReplica {
                replica: self.empty_replica(),
                storage: None,
                snapshot: None,
            });
        };
        let opened = (opener.open)()?;
        self.identity.storage_id = opened.storage_id;
        let recovered = recovered_state(opened.recovered);
        let snapshot = recovered.snapshot.clone();
        let replica = self.replica(recovered);
        Ok(OpenedReplica { replica, storage: Some(opened.storage), snapshot })
    }

    /// A replica without content. It must not run if the group has storage.
    pub(crate) fn empty_replica(&mut self) -> Replica {
        self.replica(RecoveredState::default())
    }

    fn replica(&mut self, recovered: RecoveredState) -> Replica {
        // Each replica draws other election delays.
        self.seed = self.seed.wrapping_add(1);
        Replica::new(self.settings.clone(), self.identity.clone(), recovered, self.seed)
    }
}

fn replica_settings(settings: &GroupDriverSettings) -> ReplicaSettings {
    ReplicaSettings {
        group: settings.group.clone(),
        form_voters: settings.voters.clone(),
        election_timeout_ms: settings.timing.election_timeout_ms,
        election_step_ms: settings.timing.election_step_ms,
        heartbeat_ms: settings.timing.heartbeat_ms,
        lease_reads: settings.timing.lease_reads,
        replace_restarted_hosts: settings.replace_restarted_hosts,
        ..ReplicaSettings::default()
    }
}

fn recovered_state(recovered: RecoveredGroup) -> RecoveredState {
    if recovered.repair != Repair::None {
        log::warn!(
            event = Event::StorageRepaired.number();
            "the log of a group was repaired when it was opened: {:?}", recovered.repair
        );
    }
    RecoveredState {
        vote: recovered.vote,
        snapshot: recovered.snapshot.map(|(meta, data)| Snapshot { meta, data: Arc::new(data) }),
        entries: recovered.entries,
        refetch_upto: recovered.refetch_upto,
    }
}
