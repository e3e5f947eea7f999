//! `anvillift hosts`: lists the hosts of the system or of a service.

use anvillift_schema::operators::HostStatus;
use anvillift_schema::public::DirectoryAnswer;
use reqwest::Method;

use crate::client::Client;
use crate::error::Error;
use crate::output::{self, Format};
use crate::table::Table;

/// List the hosts of the system, or those that a caller of a service should use.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "hosts")]
pub(crate) struct Hosts {
    /// list the hosts that the directory returns for this service (needs a caller key)
    #[argh(option)]
    service: Option<String>,
}

impl Hosts {
    /// Requests the list from the entry host and prints it.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        match &self.service {
            Some(service) => {
                let answer = directory(client, service).await?;
                output::print(format, &answer, directory_table(&answer))
            }
            None => {
                let hosts: Vec<HostStatus> = client.get("/v1/operator/hosts").await?;
                output::print(format, &hosts, host_table(&hosts))
            }
        }
    }
}

async fn directory(client: &Client, service: &str) -> Result<DirectoryAnswer, Error> {
    let request = client.request(Method::GET, "/v1/hosts").query(&[("service", service)]);
    client.read_json(client.send(request).await?).await
}

fn directory_table(answer: &DirectoryAnswer) -> Table {
    let mut table = Table::new(&["HOST", "REGION", "DATA CENTRE", "WEIGHT", "URL"]);
    for host in &answer.hosts {
        table.push(vec![
            host.host.to_string(),
            host.region.to_string(),
            host.data_centre.to_string(),
            host.weight.to_string(),
            host.url.clone(),
        ]);
    }
    table
}

fn host_table(hosts: &[HostStatus]) -> Table {
    let heading =
        ["HOST", "REGION", "DATA CENTRE", "STATE", "HEARD", "REVISION", "IN FLIGHT", "URL"];
    let mut table = Table::new(&heading);
    for host in hosts {
        let record = &host.record;
        let state = if host.alive { record.state.to_string() } else { "silent".to_owned() };
        table.push(vec![
            record.host.to_string(),
            record.region.to_string(),
            record.data_centre.to_string(),
            state,
            format!("{} ms ago", host.heard_age_ms),
            record.revision.to_string(),
            record.in_flight_requests.to_string(),
            record.caller_url.clone(),
        ]);
    }
    table
}
