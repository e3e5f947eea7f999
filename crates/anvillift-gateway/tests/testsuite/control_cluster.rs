//! Clusters with one control host in each region.

use std::time::Duration;

use anvillift_schema::configuration::{Change, Configuration, ControlStatus, Edit, Profile};
use anvillift_schema::consensus::VoterSet;
use anvillift_schema::name::Name;
use anvillift_schema::public::{ChangeAnswer, ChangeStatus, Problem};
use anvillift_schema::settings::StorageSettings;
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;
use tokio::time::{self, Instant};

use crate::cluster::{Cluster, OPERATOR_KEY};
use crate::memory_folder::memory_folder;
use crate::wait;

/// Control hosts, which have a disk.
pub(crate) const CONTROL: [&str; 3] = ["oriente-1", "costa-sur-1", "altiplano-1"];
const SUBMIT_LIMIT: Duration = Duration::from_secs(30);
const SUBMIT_PAUSE: Duration = Duration::from_millis(50);

/// A cluster and the parent of its data folders.
pub(crate) struct ControlCluster {
    pub(crate) cluster: Cluster,
    pub(crate) disks: TempDir,
}

/// Answer of an operator endpoint: its value, or problem details.
pub(crate) type OperatorAnswer<T> = Result<T, Problem>;

impl ControlCluster {
    /// Starts hosts `{region}-1` to `{region}-{hosts}` in each region; the first of each has a
    /// disk.
    pub(crate) async fn start(hosts: u32) -> Self {
        let disks = memory_folder();
        let cluster = Cluster::start_with(hosts, |settings| {
            settings.control.voters = CONTROL.map(Name::from).to_vec();
            settings.timing.heartbeat_ms = 100;
            settings.timing.silent_after_ms = 1_000;
            settings.timing.election_timeout_ms = 500;
            if CONTROL.contains(&settings.host.name.as_str()) {
                let folder = disks.path().join(settings.host.name.as_str());
                settings.storage = Some(StorageSettings {
                    folder: folder.to_str().expect("a path").to_owned(),
                    snapshot_entries: 64,
                });
            }
        })
        .await;
        let cluster = Self { cluster, disks };
        cluster.wait_until_applied(1).await;
        cluster
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        host: &str,
        path: &str,
    ) -> OperatorAnswer<T> {
        let url = format!("{}/v1/operator/{path}", self.cluster.url(host));
        read(self.cluster.client.get(url).bearer_auth(OPERATOR_KEY)).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        host: &str,
        path: &str,
        body: &impl Serialize,
    ) -> OperatorAnswer<T> {
        let url = format!("{}/v1/operator/{path}", self.cluster.url(host));
        read(self.cluster.client.post(url).bearer_auth(OPERATOR_KEY).json(body)).await
    }

    pub(crate) async fn submit(&self, host: &str, change: &Change) -> OperatorAnswer<ChangeAnswer> {
        self.post(host, "changes", change).await
    }

    /// Submits a change, with retries while there is no leader; returns its revision.
    pub(crate) async fn submit_until_accepted(&self, host: &str, change: &Change) -> u64 {
        let limit = Instant::now() + SUBMIT_LIMIT;
        loop {
            match self.submit(host, change).await {
                Ok(answer) => return answer.revision,
                Err(problem) => {
                    let is_temporary = problem.code == 1604 || problem.code == 1606;
                    assert!(is_temporary && Instant::now() < limit, "{problem:?}");
                }
            }
            time::sleep(SUBMIT_PAUSE).await;
        }
    }

    pub(crate) async fn change_status(&self, host: &str, id: &str) -> OperatorAnswer<ChangeStatus> {
        self.get(host, &format!("changes/{id}")).await
    }

    pub(crate) async fn configuration(&self, host: &str) -> Configuration {
        self.get(host, "configuration").await.expect("a configuration")
    }

    /// Waits until all running hosts have applied a revision.
    pub(crate) async fn wait_until_applied(&self, revision: u64) {
        for host in self.cluster.running.keys() {
            wait::until("the revision is applied", async || {
                self.configuration(host).await.revision >= revision
            })
            .await;
        }
    }

    pub(crate) async fn control_status(&self, host: &str) -> ControlStatus {
        self.get(host, "control").await.expect("a control host")
    }

    /// Waits until a control host leads, and returns its name.
    pub(crate) async fn wait_for_leader(&self) -> &'static str {
        let mut leader = None;
        wait::until("a control host leads", async || {
            for host in CONTROL.iter().filter(|host| self.cluster.running.contains_key(**host)) {
                if self.control_status(host).await.role == "leader" {
                    leader = Some(*host);
                }
            }
            leader.is_some()
        })
        .await;
        leader.expect("a leader")
    }

    /// Waits until the voter set of the leader meets a condition.
    pub(crate) async fn wait_for_voters(
        &self,
        what: &str,
        is_expected: impl Fn(&VoterSet) -> bool,
    ) {
        wait::until(what, async || {
            let leader = self.wait_for_leader().await;
            is_expected(&self.control_status(leader).await.voters)
        })
        .await;
    }
}

async fn read<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> OperatorAnswer<T> {
    let answer = request.send().await.expect("an answer");
    if answer.status() == StatusCode::OK {
        Ok(answer.json().await.expect("the answer's type"))
    } else {
        Err(answer.json().await.expect("a problem"))
    }
}

/// A change that adds or replaces a profile.
pub(crate) fn profile_change(id: &str, expected_revision: u64, profile: &str) -> Change {
    let profile = Profile { name: Name::from(profile), ..Profile::default() };
    Change { change_id: Name::from(id), expected_revision, edits: vec![Edit::PutProfile(profile)] }
}
