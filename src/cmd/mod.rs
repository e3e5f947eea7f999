//! The commands of the tool, one module each, and the arguments that they share.

mod ask;
mod change;
mod change_check;
mod control;
mod hosts;
mod order;
mod profile;
mod report;
mod settings;
mod upstreams;

use std::env;

use crate::client::{Client, ClientSettings};
use crate::error::Error;
use crate::output::Format;

/// Environment variable with the base URL of an entry host.
const URL_VARIABLE: &str = "ANVILLIFT_URL";
/// Environment variable with the caller or operator key.
const KEY_VARIABLE: &str = "ANVILLIFT_KEY";
/// Default timeout for connecting and for each pause in an answer.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Operate and query an anvillift gateway.
///
/// The base URL of any entry host comes from --url or ANVILLIFT_URL, the caller
/// or operator key from --key or ANVILLIFT_KEY. Prefer the environment
/// for a key, since other users can see the arguments of a process.
#[derive(argh::FromArgs, Debug)]
#[argh(
    error_code(1, "A fault on this machine, or errors found by `change check`."),
    error_code(2, "Wrong arguments."),
    error_code(10, "The request is malformed (result codes 10xx)."),
    error_code(11, "The key is unknown or not allowed (11xx)."),
    error_code(12, "The place is not allowed or a loop was found (12xx)."),
    error_code(13, "The request was refused for now; retry later (13xx)."),
    error_code(14, "An upstream or a link failed before the answer ended (14xx)."),
    error_code(15, "A command was not run or its outcome is unknown (15xx)."),
    error_code(16, "A change or order was refused (16xx)."),
    error_code(17, "A settings or change file is invalid (17xx)."),
    error_code(18, "A host's data folder or key file failed (18xx)."),
    error_code(19, "A host failed internally (19xx)."),
    error_code(20, "No host answered."),
    error_code(21, "An answer does not have the documented format.")
)]
pub(crate) struct Arguments {
    /// base URL of an entry host, such as http://127.0.0.1:7400
    #[argh(option)]
    url: Option<String>,
    /// caller or operator key
    #[argh(option)]
    key: Option<String>,
    /// PEM file with the authority that signs the hosts' certificates
    #[argh(option)]
    authority_file: Option<String>,
    /// timeout for connecting and for each pause in an answer, in milliseconds (10000)
    #[argh(option, default = "DEFAULT_TIMEOUT_MS")]
    timeout_ms: u64,
    /// format of the output: text or json (text)
    #[argh(option, default = "Format::default()")]
    pub(crate) format: Format,
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Hosts(hosts::Hosts),
    Upstreams(upstreams::Upstreams),
    Ask(ask::Ask),
    Profile(profile::Profile),
    Change(change::Change),
    Control(control::Control),
    Order(order::Order),
    Report(report::Report),
    Settings(settings::Settings),
}

impl Arguments {
    /// Runs the command; `settings`, `report day` and a `change check` against a file or offline
    /// need no URL and no key.
    pub(crate) async fn execute(&self) -> Result<(), Error> {
        match &self.command {
            Command::Hosts(command) => command.execute(&self.client()?, self.format).await,
            Command::Upstreams(command) => command.execute(&self.client()?, self.format).await,
            Command::Ask(command) => command.execute(&self.client()?, self.format).await,
            Command::Profile(command) => command.execute(&self.client()?, self.format).await,
            Command::Change(command) => command.execute(|| self.client(), self.format).await,
            Command::Control(command) => command.execute(&self.client()?, self.format).await,
            Command::Order(command) => command.execute(&self.client()?, self.format).await,
            Command::Report(command) => command.execute(|| self.client(), self.format).await,
            Command::Settings(command) => command.execute(self.format),
        }
    }

    fn client(&self) -> Result<Client, Error> {
        Client::new(ClientSettings {
            url: option_or_variable(&self.url, "--url", URL_VARIABLE)?,
            key: option_or_variable(&self.key, "--key", KEY_VARIABLE)?,
            timeout_ms: self.timeout_ms,
            authority_file: self.authority_file.clone(),
        })
    }
}

/// Value of an option or, without it, of the environment variable; an empty one is an error.
fn option_or_variable(
    option: &Option<String>,
    flag: &str,
    variable: &str,
) -> Result<String, Error> {
    let value = option.clone().or_else(|| env::var(variable).ok());
    value
        .filter(|value| !value.is_empty())
        .ok_or_else(|| Error::Usage { message: format!("pass {flag} or set {variable}") })
}
