//! Runs the tests of the workspace, but for those that `KNOWN-RED.txt` lists.
//!
//! A line `test: NAME` of that file names one test in full. Each must stand in exactly one test
//! program, so that nothing else is passed over with it.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};

use snafu::ResultExt;

const LIST: &str = "KNOWN-RED.txt";
const TEST_PREFIX: &str = "test: ";
/// End of a line by which a test program lists a test.
const LISTED_SUFFIX: &str = ": test";

/// Run all tests but those that KNOWN-RED.txt lists, and print these.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "test")]
pub(crate) struct Test {}

/// Why the tests did not pass.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum Error {
    /// The list could not be read.
    #[snafu(display("cannot read {LIST}: {source}"))]
    Read { source: io::Error },
    /// Cargo could not be started.
    #[snafu(display("cannot start cargo: {source}"))]
    Start { source: io::Error },
    /// A listed test does not exist, or several have its name.
    #[snafu(display("{LIST} names {name}, and {count} tests have that name"))]
    NotOneTest { name: String, count: usize },
    /// A test failed, or the tests could not be built.
    #[snafu(display("the tests ended with {status}"))]
    Failed { status: ExitStatus },
}

impl Test {
    /// Prints the tests that are passed over, and runs the others.
    pub(crate) fn execute(&self) -> Result<(), Error> {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let list = fs::read_to_string(root.join(LIST)).context(ReadSnafu)?;
        let names = listed_names(&list);
        if !names.is_empty() {
            eprintln!("Known to fail, passed over ({LIST}):\n{list}");
            check_names(&root, &names)?;
        }
        let mut command = cargo_test(&root);
        command.arg("--exact");
        names.iter().for_each(|name| {
            command.args(["--skip", name]);
        });
        check_status(command.status().context(StartSnafu)?)
    }
}

/// The tests that a list names.
fn listed_names(list: &str) -> Vec<&str> {
    list.lines().filter_map(|line| line.strip_prefix(TEST_PREFIX)).map(str::trim).collect()
}

/// Fails unless each name is that of one test.
fn check_names(root: &Path, names: &[&str]) -> Result<(), Error> {
    let mut command = cargo_test(root);
    let output = command.arg("--list").stderr(Stdio::inherit()).output().context(StartSnafu)?;
    check_status(output.status)?;
    let listed = String::from_utf8_lossy(&output.stdout);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for test in listed.lines().filter_map(|line| line.strip_suffix(LISTED_SUFFIX)) {
        *counts.entry(test).or_default() += 1;
    }
    for name in names {
        let count = counts.get(name).copied().unwrap_or(0);
        snafu::ensure!(count == 1, NotOneTestSnafu { name: *name, count });
    }
    Ok(())
}

/// `cargo test` for the workspace; further arguments are those of the test programs.
fn cargo_test(root: &Path) -> Command {
    let mut command = Command::new(env!("CARGO"));
    command.current_dir(root).args(["test", "--workspace", "--locked", "--"]);
    command
}

fn check_status(status: ExitStatus) -> Result<(), Error> {
    if status.success() { Ok(()) } else { FailedSnafu { status }.fail() }
}
