//! `anvillift change`: checks and submits configuration changes and shows their rollout.
//!
//! A change carries an id, so that sending it again after a lost answer never
//! applies it twice. `submit` sends a change again while its outcome is unknown;
//! if the outcome stays unknown, the error names the id to use for the next try.

use std::path::PathBuf;
use std::time::Duration;

use anvillift_schema::code::Code;
use anvillift_schema::configuration;
use anvillift_schema::public::{ChangeAnswer, ChangeStatus, RegionStatus};
use anvillift_settings as settings;
use snafu::ResultExt;
use tokio::time;
use uuid::Uuid;

use crate::client::{self, Client};
use crate::cmd::change_check::Check;
use crate::error::{ChangeOutcomeUnknownSnafu, Error, SettingsSnafu};
use crate::output::{self, Format};
use crate::table::Table;

/// Shortest wait before a change is sent again, also when the host allows an earlier retry.
const MIN_RESEND_WAIT_MS: u64 = 500;

/// Check or submit a configuration change, or show where one is in force.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "change")]
pub(crate) struct Change {
    #[argh(subcommand)]
    action: Action,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Check(Check),
    Submit(Submit),
    Status(Status),
}

/// Submit the edits of a change file.
///
/// Exit code 16 with result code 1601 means that another change was accepted
/// first: review it, then submit again with the revision in the error.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// change file with [profile X], [service Y] and [team Z] sections
    #[argh(positional)]
    file: PathBuf,
    /// revision against which the change was written
    #[argh(option)]
    expect_revision: u64,
    /// id of a change that was sent before (default: a new id)
    #[argh(option)]
    change_id: Option<String>,
    /// maximum number of times the change is sent (5)
    #[argh(option, default = "5")]
    attempts: u32,
}

/// Show where a change is in force.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct Status {
    /// id that `change submit` printed
    #[argh(positional)]
    change_id: String,
}

impl Change {
    /// Checks or submits a change, or prints the rollout status of one. `client` fails without a
    /// URL and a key; a check against a file or offline does not call it.
    pub(crate) async fn execute(
        &self,
        client: impl FnOnce() -> Result<Client, Error>,
        format: Format,
    ) -> Result<(), Error> {
        match &self.action {
            Action::Check(check) => check.execute(client, format).await,
            Action::Submit(submit) => submit.execute(&client()?, format).await,
            Action::Status(status) => status.execute(&client()?, format).await,
        }
    }
}

impl Submit {
    async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let edits = settings::load_change(&self.file).context(SettingsSnafu)?;
        let change_id = self.change_id.clone().unwrap_or_else(|| Uuid::now_v7().to_string());
        let change = configuration::Change {
            change_id: change_id.as_str().into(),
            expected_revision: self.expect_revision,
            edits,
        };
        output::print_note(format_args!("change id: {change_id}"));
        let answer = self.send(client, &change).await?;
        let text = format!("accepted: revision {}", answer.revision);
        output::print(format, &answer, text)
    }

    /// Sends the change until its outcome is known or the attempts are used up.
    async fn send(
        &self,
        client: &Client,
        change: &configuration::Change,
    ) -> Result<ChangeAnswer, Error> {
        let mut may_be_accepted = false;
        let mut attempt = 1;
        loop {
            let error = match client.post("/v1/operator/changes", change).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            may_be_accepted |= client::may_have_taken_effect(&error);
            if !may_send_again(&error) || attempt >= self.attempts {
                let change_id = change.change_id.to_string();
                return match may_be_accepted && !rules_out_earlier_acceptance(&error) {
                    true => Err(error).context(ChangeOutcomeUnknownSnafu { change_id }),
                    false => Err(error),
                };
            }
            output::print_note(format_args!("{error}; sending the same change again"));
            time::sleep(Duration::from_millis(wait_ms(&error))).await;
            attempt += 1;
        }
    }
}

/// Wait after an error, in milliseconds: the host's `retry_after_ms`, but at least
/// [`MIN_RESEND_WAIT_MS`].
fn wait_ms(error: &Error) -> u64 {
    let retry_after_ms = error.problem().and_then(|problem| problem.retry_after_ms);
    retry_after_ms.unwrap_or(MIN_RESEND_WAIT_MS).max(MIN_RESEND_WAIT_MS)
}

/// Whether the error is transient, so that another attempt may succeed.
fn may_send_again(error: &Error) -> bool {
    let codes = [Code::CommitUnknown, Code::NoLeader, Code::NotReady, Code::Draining];
    match error {
        Error::NoAnswer { .. } | Error::Unreadable { .. } => true,
        Error::Refused { problem } => codes.iter().any(|code| code.number() == problem.code),
        _ => false,
    }
}

/// Whether the refusal shows that no earlier attempt was accepted either.
fn rules_out_earlier_acceptance(error: &Error) -> bool {
    let codes = [Code::RevisionConflict, Code::ChangeMismatch, Code::ChangeInvalid];
    let number = error.problem().map(|problem| problem.code);
    codes.iter().any(|code| Some(code.number()) == number)
}

impl Status {
    async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let path = format!("/v1/operator/changes/{}", self.change_id);
        let status: ChangeStatus = client.get(&path).await?;
        let accepted = match status.accepted {
            true => format!("accepted at revision {}", status.revision),
            false => "not accepted".to_owned(),
        };
        let text = format!("change {}: {accepted}\n{}", status.change_id, table(&status));
        output::print(format, &status, text)
    }
}

fn table(status: &ChangeStatus) -> Table {
    let mut table = Table::new(&["REGION", "IN FORCE", "APPLIED", "BEHIND", "SILENT"]);
    for (region, state) in &status.regions {
        table.push(vec![
            region.to_string(),
            if state.in_force { "yes" } else { "no" }.to_owned(),
            join_or_dash(state.applied_hosts.iter()),
            join_or_dash(state.behind_hosts.iter()),
            silent_hosts(state),
        ]);
    }
    table
}

fn silent_hosts(state: &RegionStatus) -> String {
    let hosts = state.silent.iter().map(|(host, age_ms)| format!("{host} ({age_ms} ms ago)"));
    join_or_dash(hosts)
}

fn join_or_dash(items: impl Iterator<Item = impl ToString>) -> String {
    let items: Vec<String> = items.map(|item| item.to_string()).collect();
    if items.is_empty() { "-".to_owned() } else { items.join(",") }
}
