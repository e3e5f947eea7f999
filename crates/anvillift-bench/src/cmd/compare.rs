//! `anvillift-bench compare`: compares placement policies and checks targets.
//!
//! Prints the report as text and writes it as JSON, with a plot when policies
//! were compared.

use std::fs;
use std::path::{Path, PathBuf};

use anvillift_bench::compare::{self, CompareSettings, plot, report};
use anvillift_bench::error::{BenchError, WriteSnafu};
use anvillift_bench::load::experiment_file;
use snafu::ResultExt;

/// Run each placement policy on the same seeds against real hosts.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct CompareCommand {
    /// experiment file
    #[argh(positional)]
    experiment: PathBuf,
    /// folder for the JSON report and the plot
    #[argh(option, default = "PathBuf::from(\"target/bench\")")]
    out: PathBuf,
    /// skip the runs under overload and faults
    #[argh(switch)]
    skip_faults: bool,
    /// skip the comparison of policies
    #[argh(switch)]
    skip_policies: bool,
    /// seeds, comma separated; the file's seeds when absent
    #[argh(option)]
    seeds: Option<String>,
}

impl CompareCommand {
    /// Runs the comparison, then prints and writes its results.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        let mut experiment = experiment_file::read(&self.experiment)?;
        if let Some(seeds) = &self.seeds {
            experiment.seeds =
                seeds.split(',').filter_map(|seed| seed.trim().parse().ok()).collect();
        }
        let comparison = compare::run(CompareSettings {
            experiment,
            skip_faults: self.skip_faults,
            skip_policies: self.skip_policies,
        })
        .await;
        super::print_line(&report::text(&comparison));
        fs::create_dir_all(&self.out).context(WriteSnafu { path: path_text(&self.out) })?;
        let name = comparison.experiment.name.as_str();
        let json = self.out.join(format!("{name}.json"));
        let text = format!("{:#}\n", report::json(&comparison));
        fs::write(&json, text).context(WriteSnafu { path: path_text(&json) })?;
        if !comparison.outcomes.is_empty() {
            plot::draw(&comparison, &self.out.join(format!("{name}.svg")))?;
        }
        Ok(())
    }
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
