//! `anvillift control`.

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

/// Longest wait for a new replica to vote.
const REPLACE_LIMIT_MS: u64 = 60_000;
/// Between two looks at the voters.
const POLL_MS: u64 = 200;

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

/// Show the replica of the entry host and the voters that it knows.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Put the present data folder of a host in the place of the one it lost.
///
/// Ask another voter. The new replica learns the log first and votes then; the
/// command ends when it votes.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "replace")]
struct Replace {
    /// host whose data folder is new
    #[argh(positional)]
    host: String,
    /// storage id that no longer votes (that of the host among the voters)
    #[argh(option)]
    old: Option<String>,
    /// storage id that shall vote (the one the host tells)
    #[argh(option)]
    new: Option<String>,
}

impl Control {
    /// Shows or replaces replicas.
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
            output::print_note(format_args!("{} learns the log", self.host));
        }
        let voters = self.voting(client, &new).await?;
        output::print(format, &voters, table(&voters))
    }

    /// Waits until the new replica votes and the old one does not.
    async fn voting(&self, client: &Client, new: &Voter) -> Result<VoterSet, Error> {
        let deadline = Instant::now() + Duration::from_millis(REPLACE_LIMIT_MS);
        loop {
            let status: ControlStatus = client.get("/v1/operator/control").await?;
            let of_host = status.voters.voters.iter().filter(|voter| voter.host == new.host);
            if of_host.eq([new]) {
                return Ok(status.voters);
            }
            if Instant::now() >= deadline {
                let message = format!("{} does not vote yet; look at control status", self.host);
                return Err(Error::Unfinished { message });
            }
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    fn voter(&self, storage_id: &str) -> Voter {
        Voter { host: self.host.as_str().into(), storage_id: storage_id.into() }
    }

    /// The replica that no longer votes.
    async fn old_voter(&self, client: &Client) -> Result<Voter, Error> {
        if let Some(id) = &self.old {
            return Ok(self.voter(id));
        }
        let status: ControlStatus = client.get("/v1/operator/control").await?;
        let mut voters = status.voters.voters.into_iter();
        voters.find(|voter| voter.host.as_str() == self.host).ok_or_else(|| Error::Usage {
            message: format!("{} is no voter; give --old", self.host),
        })
    }

    /// The record of the host, as the host asked knows it.
    async fn own_record(&self, client: &Client) -> Result<HostRecord, Error> {
        let hosts: Vec<HostStatus> = client.get("/v1/operator/hosts").await?;
        let mut records = hosts.into_iter().map(|host| host.record);
        records.find(|record| record.host.as_str() == self.host).ok_or_else(|| Error::Usage {
            message: format!("{} is not known; start it, or give --new", self.host),
        })
    }

    /// The replica that shall vote.
    async fn new_voter(&self, client: &Client) -> Result<Voter, Error> {
        if let Some(id) = &self.new {
            return Ok(self.voter(id));
        }
        // Others may still know the folder that was lost, so the host itself is asked.
        let asked = self.own_record(client).await?;
        let itself = client.at(&asked.caller_url);
        let id = self.own_record(&itself).await?.storage_id.ok_or_else(|| Error::Usage {
            message: format!("{} has no data folder; give --new", self.host),
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
        text.push_str("the log was damaged and is being fetched from others\n");
    }
    if status.failed {
        text.push_str("the data folder failed; the replica has stepped down\n");
    }
    text + &table(&status.voters).to_string()
}

fn table(voters: &VoterSet) -> Table {
    let mut table = Table::new(&["HOST", "VOTES", "STORAGE ID"]);
    let members = voters.voters.iter().map(|voter| (voter, "yes"));
    let learners = voters.learners.iter().map(|voter| (voter, "learning"));
    for (voter, votes) in members.chain(learners) {
        let row = [voter.host.as_str(), votes, voter.storage_id.as_str()];
        table.push(row.map(str::to_owned).to_vec());
    }
    table
}
