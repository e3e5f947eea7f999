//! `anvillift change check`: checks a change file before it is submitted.
//!
//! The configuration in force is read from a file or from the entry host, with GET requests
//! only. Findings and differences show key hashes by their first digits and never a key.

use std::path::PathBuf;

use anvillift_schema::configuration::Configuration;
use anvillift_schema::operators::HostStatus;
use anvillift_settings::{self as settings, Baseline, ChangeReport, Finding, Severity};
use snafu::ResultExt;

use crate::client::Client;
use crate::error::{Error, SettingsSnafu};
use crate::output::{self, Format};
use crate::table::Table;

/// Text for a value that does not exist.
const NO_VALUE: &str = "-";

/// Check a change file and compare it with the configuration in force.
///
/// Sends nothing that changes state. Exit code 1 means that the change would be
/// rejected, 17 that a file could not be read.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// change file with [profile X], [service Y] and [team Z] sections
    #[argh(positional)]
    file: PathBuf,
    /// settings or change file with the configuration in force (default: ask the entry host)
    #[argh(option)]
    against: Option<PathBuf>,
    /// compare with nothing
    #[argh(switch)]
    offline: bool,
}

impl Check {
    /// Prints the findings and differences of the change; findings that are errors are an error.
    /// Calls `client` only if the configuration is read from the entry host.
    pub(crate) async fn execute(
        &self,
        client: impl FnOnce() -> Result<Client, Error>,
        format: Format,
    ) -> Result<(), Error> {
        let draft = settings::load_change_draft(&self.file).context(SettingsSnafu)?;
        let baseline = match (&self.against, self.offline) {
            (Some(_), true) => {
                let message = "pass either --against FILE or --offline".to_owned();
                return Err(Error::Usage { message });
            }
            (Some(path), false) => Some(settings::load_baseline(path).context(SettingsSnafu)?),
            (None, true) => None,
            (None, false) => Some(fetch(&client()?).await?),
        };
        let report = settings::check_change(&draft, baseline.as_ref());
        output::print(format, &report, text(&report))?;
        match report.count(Severity::Error) {
            0 => Ok(()),
            errors => Err(Error::ChangeHasErrors { errors }),
        }
    }
}

/// Reads the configuration in force, and the region and data centre of each host, from the entry
/// host.
async fn fetch(client: &Client) -> Result<Baseline, Error> {
    let configuration: Configuration = client.get("/v1/operator/configuration").await?;
    let hosts: Vec<HostStatus> = client.get("/v1/operator/hosts").await?;
    let records = hosts.into_iter().map(|status| status.record);
    let places = records.map(|record| (record.region, record.data_centre)).collect();
    let origin = format!("revision {} of {}", configuration.revision, client.url());
    Ok(Baseline { origin, configuration, places: Some(places) })
}

/// The report in text format.
fn text(report: &ChangeReport) -> String {
    let against = match &report.against {
        Some(origin) => format!("compared with {origin}"),
        None => "compared with nothing; entries outside the file are not checked".to_owned(),
    };
    let mut text = format!("{against}\n");
    if !report.findings.is_empty() {
        text.push_str(&format!("\n{}", finding_table(&report.findings)));
    }
    if !report.differences.is_empty() {
        text.push_str(&format!("\n{}", difference_table(report)));
    }
    let (errors, warnings) = (report.count(Severity::Error), report.count(Severity::Warning));
    text.push_str(&format!("\nerrors: {errors}, warnings: {warnings}\n"));
    text
}

fn finding_table(findings: &[Finding]) -> Table {
    let mut table = Table::new(&["CODE", "SEVERITY", "FILE", "LINE", "SECTION", "KEY", "TEXT"]);
    for finding in findings {
        table.push(vec![
            finding.code.to_string(),
            finding.severity.to_string(),
            finding.file.clone(),
            finding.line.to_string(),
            text_or_dash(&finding.section),
            text_or_dash(&finding.key),
            finding.text.clone(),
        ]);
    }
    table
}

fn difference_table(report: &ChangeReport) -> Table {
    let mut table = Table::new(&["CHANGE", "ENTRY", "NAME", "FIELD", "OLD", "NEW"]);
    for difference in &report.differences {
        for field in &difference.fields {
            table.push(vec![
                difference.kind.to_string(),
                difference.entry.to_owned(),
                difference.name.to_string(),
                field.field.clone(),
                text_or_dash(field.old.as_deref().unwrap_or_default()),
                text_or_dash(field.new.as_deref().unwrap_or_default()),
            ]);
        }
    }
    table
}

fn text_or_dash(text: &str) -> String {
    if text.is_empty() { NO_VALUE.to_owned() } else { text.to_owned() }
}
