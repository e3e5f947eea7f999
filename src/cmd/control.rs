//! `anvillift control`: shows the replicas of control and replaces one that lost its disk.

use std::time::Duration;

use anvillift_schema::configuration::{ControlStatus, ReplicaReplacement};
use anvillift_schema::consensus::{Voter, VoterSet};
use anvillift_schema::membership::HostRecord;
use anvillift_schema::name::Name;
use anvillift_schema::operators::HostStatus;
use serde_json::Value;
use tokio::time::{self, Instant};

use crate::client::Client;
use crate::error::Error;
use crate::output::{self, Format};
use crate::table::Table;

/// Time within which a new replica must become a voter.
const REPLACE_TIMEOUT_MS: u64 = 60_000;
/// Interval between two requests for the voters.
const POLL_INTERVAL_MS: u64 = 200;

/// Show the replicas of control, or replace one whose disk was lost.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "control")]
pub(crate) struct Control {
    #[argh(subcommand)]
    action: Action,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Status(Status),
    Replace(Replace),
}

/// Show the state of the entry host's replica and the voters in its log.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Replace the lost data folder of a host with its current one.
///
/// Send the command to another voter. The new replica first copies the log and
/// then becomes a voter; the command waits until it is a voter.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "replace")]
struct Replace {
    /// host whose data folder is new
    #[argh(positional)]
    host: String,
    /// storage id of the lost replica (default: that of the host among the voters)
    #[argh(option)]
    old: Option<String>,
    /// storage id of the new replica (default: the one that the host reports)
    #[argh(option)]
    new: Option<String>,
}

impl Control {
    /// Prints the state of the entry host's replica, or replaces a replica.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        match &self.action {
            Action::Status(_) => {
                let status: ControlStatus = client.get("/v1/operator/control").await?;
                output::print(format, &status, status_text(&status))
            }
            Action::Replace(replace) => replace.execute(client, format).await,
        }
    }
}

impl Replace {
    async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let (old, new) = (self.old_voter(client).await?, self.new_voter(client).await?);
        if old != new {
            let replacement = ReplicaReplacement { old: Some(old), new: new.clone() };
            let _: Value = client.post("/v1/operator/control/replace", &replacement).await?;
            output::print_note(format_args!(
                "{} copies the log and then becomes a voter",
                self.host
            ));
        }
        let voters = self.wait_until_voter(client, &new).await?;
        output::print(format, &voters, table(&voters))
    }

    /// Waits until the new replica is the only voter of the host, and returns all voters.
    async fn wait_until_voter(&self, client: &Client, new: &Voter) -> Result<VoterSet, Error> {
        let deadline = Instant::now() + Duration::from_millis(REPLACE_TIMEOUT_MS);
        loop {
            let status: ControlStatus = client.get("/v1/operator/control").await?;
            let host_voters = status.voters.voters.iter().filter(|voter| voter.host == new.host);
            if host_voters.eq([new]) {
                return Ok(status.voters);
            }
            if Instant::now() >= deadline {
                let message = format!(
                    "{} is not a voter after {REPLACE_TIMEOUT_MS} ms; check `anvillift control status`",
                    self.host
                );
                return Err(Error::Unfinished { message });
            }
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    fn voter(&self, storage_id: &str) -> Voter {
        Voter { host: self.host.as_str().into(), storage_id: storage_id.into() }
    }

    /// The lost replica: from `--old`, or the voter of the host.
    async fn old_voter(&self, client: &Client) -> Result<Voter, Error> {
        if let Some(id) = &self.old {
            return Ok(self.voter(id));
        }
        let status: ControlStatus = client.get("/v1/operator/control").await?;
        let mut voters = status.voters.voters.into_iter();
        voters.find(|voter| voter.host.as_str() == self.host).ok_or_else(|| Error::Usage {
            message: format!("{} is not a voter; pass --old", self.host),
        })
    }

    /// The record of the replaced host, as the host that `client` addresses reports it.
    async fn host_record(&self, client: &Client) -> Result<HostRecord, Error> {
        let hosts: Vec<HostStatus> = client.get("/v1/operator/hosts").await?;
        let mut records = hosts.into_iter().map(|host| host.record);
        records.find(|record| record.host.as_str() == self.host).ok_or_else(|| Error::Usage {
            message: format!("{} is unknown to the entry host; start it, or pass --new", self.host),
        })
    }

    /// The new replica: from `--new`, or the data folder that the host reports.
    async fn new_voter(&self, client: &Client) -> Result<Voter, Error> {
        if let Some(id) = &self.new {
            return Ok(self.voter(id));
        }
        // Other hosts may still report the id of the lost folder, so the id is
        // requested from the host itself.
        let record = self.host_record(client).await?;
        let host_client = client.with_url(&record.caller_url);
        let id = self.host_record(&host_client).await?.storage_id.ok_or_else(|| Error::Usage {
            message: format!("{} has no data folder; pass --new", self.host),
        })?;
        Ok(self.voter(&id))
    }
}

fn status_text(status: &ControlStatus) -> String {
    let leader = status.leader.as_ref().map_or("none", Name::as_str);
    let mut text = format!(
        "{} in term {}, leader {leader}, committed {}\n",
        status.role, status.term, status.commit_index
    );
    if status.refetching {
        text.push_str("the log was damaged and is being fetched from other replicas\n");
    }
    if status.failed {
        text.push_str("the data folder failed; the replica has stepped down\n");
    }
    text + &table(&status.voters).to_string()
}

fn table(voters: &VoterSet) -> Table {
    let mut table = Table::new(&["HOST", "VOTES", "STORAGE ID"]);
    let voting = voters.voters.iter().map(|voter| (voter, "yes"));
    let learners = voters.learners.iter().map(|voter| (voter, "learning"));
    for (voter, votes) in voting.chain(learners) {
        let row = [voter.host.as_str(), votes, voter.storage_id.as_str()];
        table.push(row.map(str::to_owned).to_vec());
    }
    table
}
