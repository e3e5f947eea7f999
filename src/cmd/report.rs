//! `anvillift report`: error-budget burn of all hosts, and a day's requests from log lines.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use anvillift_schema::burn::BurnCounters;
use anvillift_schema::name::Name;
use anvillift_schema::operators::HostStatus;
use anvillift_telemetry::{BurnReport, RequestLogAggregator};
use snafu::ResultExt;
use tokio::task::JoinSet;

use crate::client::Client;
use crate::error::{Error, FileSnafu, PlotSnafu};
use crate::output::{self, Format};

/// Report error-budget burn, or the outcomes of a day's requests.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Kind {
    Burn(Burn),
    Day(Day),
}

/// Report error-budget burn by profile, from all hosts.
///
/// Hosts that do not answer are listed; their requests are not counted.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
struct Burn {
    /// also draw the burn rates over time to this SVG file
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Report the outcomes of a day's requests, from the log lines of entry hosts.
///
/// Lines are JSON; text before the first brace of a line is skipped.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "day")]
struct Day {
    /// also draw the requests of each second to this SVG file
    #[argh(option)]
    svg: Option<PathBuf>,
    /// files with log lines
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Report {
    /// Creates and prints the report. Only the burn report contacts hosts, so only it
    /// calls `client`, which fails without a URL and a key.
    pub(crate) async fn execute(
        &self,
        client: impl FnOnce() -> Result<Client, Error>,
        format: Format,
    ) -> Result<(), Error> {
        match &self.kind {
            Kind::Burn(burn) => burn.execute(&client()?, format).await,
            Kind::Day(day) => day.execute(format),
        }
    }
}

impl Day {
    fn execute(&self, format: Format) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::Usage {
                message: "pass at least one file with log lines".to_owned(),
            });
        }
        let mut aggregator = RequestLogAggregator::default();
        for path in &self.files {
            let lines = fs::read(path).context(FileSnafu { path })?;
            String::from_utf8_lossy(&lines).lines().for_each(|line| aggregator.add(line));
        }
        let report = aggregator.report();
        if let Some(path) = &self.svg {
            let svg = report.to_svg().context(PlotSnafu)?;
            fs::write(path, svg).context(FileSnafu { path })?;
        }
        output::print(format, &report, &report)
    }
}

impl Burn {
    async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let hosts: Vec<HostStatus> = client.get("/v1/operator/hosts").await?;
        let (counters, missing) = collect(client, &hosts).await;
        if counters.is_empty() {
            return Err(Error::NoCounters);
        }
        let report = BurnReport::merge(&counters, missing);
        if let Some(path) = &self.svg {
            let svg = report.to_svg().context(PlotSnafu)?;
            fs::write(path, svg).context(FileSnafu { path })?;
        }
        output::print(format, &report, &report)
    }
}

/// Requests the counters of all hosts concurrently. Returns them, and the error of each host
/// whose counters are missing.
async fn collect(
    client: &Client,
    hosts: &[HostStatus],
) -> (Vec<BurnCounters>, BTreeMap<Name, String>) {
    let mut requests = JoinSet::new();
    for status in hosts {
        let client = client.with_url(&status.record.caller_url);
        let host = status.record.host.clone();
        requests.spawn(async move {
            let answer = client.get::<BurnCounters>("/v1/operator/burn").await;
            (host, answer)
        });
    }
    let mut counters = BTreeMap::new();
    let mut missing = BTreeMap::new();
    while let Some(joined) = requests.join_next().await {
        match joined {
            Ok((host, Ok(answer))) => {
                counters.insert(host, answer);
            }
            Ok((host, Err(error))) => {
                missing.insert(host, error.to_string());
            }
            Err(error) => {
                missing.insert("?".into(), error.to_string());
            }
        }
    }
    (counters.into_values().collect(), missing)
}
