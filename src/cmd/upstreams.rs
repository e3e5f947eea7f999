//! `anvillift upstreams`: lists the upstreams and their load.

use anvillift_schema::public::UpstreamStatus;

use crate::client::Client;
use crate::error::Error;
use crate::output::{self, Format};
use crate::table::Table;

/// List the upstreams that the entry host has on record.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "upstreams")]
pub(crate) struct Upstreams {
    /// list only the upstreams of this service
    #[argh(option)]
    service: Option<String>,
}

impl Upstreams {
    /// Requests the list from the entry host and prints it.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let mut upstreams: Vec<UpstreamStatus> = client.get("/v1/operator/upstreams").await?;
        if let Some(service) = &self.service {
            upstreams.retain(|upstream| upstream.service.as_str() == service);
        }
        output::print(format, &upstreams, table(&upstreams))
    }
}

fn table(upstreams: &[UpstreamStatus]) -> Table {
    let heading =
        ["UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "HEARD", "RUNNING", "QUEUED TOKENS", "URL"];
    let mut table = Table::new(&heading);
    for upstream in upstreams {
        table.push(vec![
            upstream.upstream.to_string(),
            upstream.service.to_string(),
            upstream.data_centre.to_string(),
            if upstream.leaving { "leaving" } else { "serving" }.to_owned(),
            format!("{} ms ago", upstream.heard_age_ms),
            upstream.running_requests.to_string(),
            upstream.queued_tokens.to_string(),
            upstream.url.clone(),
        ]);
    }
    table
}
