//! `anvillift settings`: checks settings and change files without contacting a host.

use std::path::PathBuf;

use anvillift_settings as settings;
use snafu::ResultExt;

use crate::error::{Error, SettingsSnafu};
use crate::output::{self, Format};

/// Check settings and change files.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub(crate) struct Settings {
    #[argh(subcommand)]
    action: Action,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Check(Check),
}

/// Check a settings or change file, and print every error.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "check")]
struct Check {
    /// file to check
    #[argh(positional)]
    file: PathBuf,
    /// treat the file as a change file
    #[argh(switch)]
    change: bool,
}

impl Settings {
    /// Checks the file and prints a summary of it; an invalid file is an error.
    pub(crate) fn execute(&self, format: Format) -> Result<(), Error> {
        let Action::Check(check) = &self.action;
        match check.change {
            true => {
                let edits = settings::load_change(&check.file).context(SettingsSnafu)?;
                output::print(format, &edits, format_args!("valid: {} edits", edits.len()))
            }
            false => {
                let settings = settings::load_settings(&check.file).context(SettingsSnafu)?;
                let host = &settings.host;
                let text = format_args!(
                    "valid: host {} of {} in {}, {} hosts, {} services",
                    host.name,
                    host.data_centre,
                    host.region,
                    settings.peers.len(),
                    settings.configuration.services.len(),
                );
                output::print(format, &host, text)
            }
        }
    }
}
