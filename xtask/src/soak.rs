//! Runs the whole system under a seeded schedule of faults.
//!
//! The test module `soak` holds the schedule and the checks. This task builds
//! the daemon and runs that test with the given length and seed.

use std::process::{Command, ExitStatus};

use snafu::{ResultExt, ensure};

const SECONDS_PER_MINUTE: u64 = 60;
/// Test that reads the length and the seed from environment variables.
const TEST: &str = "soak::faults_break_no_promise";

/// Run callers and operators under injected faults, and check the answers they got.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// length of the run, in minutes
    #[argh(option, default = "5")]
    minutes: u64,
    /// seed of the schedule
    #[argh(option, default = "1")]
    seed: u64,
}

/// Why a soak run failed.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum Error {
    /// Cargo could not be started.
    #[snafu(display("cargo could not be started: {source}"))]
    Cargo { source: std::io::Error },
    /// The build of the daemon failed.
    #[snafu(display("the build of the daemon failed: {status}"))]
    Build { status: ExitStatus },
    /// The soak test failed: a guarantee of the system did not hold.
    #[snafu(display("the soak run with seed {seed} failed: {status}"))]
    Failed { seed: u64, status: ExitStatus },
}

impl Soak {
    /// Builds the daemon and runs the soak test with cargo.
    pub(crate) fn execute(&self) -> Result<(), Error> {
        let status = cargo()
            .args(["build", "--package", "anvillift-daemon", "--locked"])
            .status()
            .context(CargoSnafu)?;
        ensure!(status.success(), BuildSnafu { status });
        let seed = self.seed;
        let status = cargo()
            .args(["test", "--package", "anvillift", "--locked", "--test", "testsuite", "--"])
            .args(["--exact", TEST, "--nocapture"])
            .env("ANVILLIFT_SOAK_SECONDS", (self.minutes * SECONDS_PER_MINUTE).to_string())
            .env("ANVILLIFT_SOAK_SEED", seed.to_string())
            .status()
            .context(CargoSnafu)?;
        ensure!(status.success(), FailedSnafu { seed, status });
        Ok(())
    }
}

fn cargo() -> Command {
    Command::new(env!("CARGO"))
}
