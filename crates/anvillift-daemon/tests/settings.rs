//! Starts the daemon with invalid settings and checks the errors that it prints.

use std::fs;
use std::process::{Command, Output};

use rstest::rstest;

fn run_with_settings(settings: &str) -> Output {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let path = folder.path().join("host.ini");
    fs::write(&path, settings).expect("write settings");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_anvilliftd"));
    daemon.arg("--settings").arg(path).output().expect("run daemon")
}

#[rstest]
#[case::misspelt_key("[host]\nnam = a\n", "host.ini:2: [host] nam: unknown key")]
#[case::missing_section("[host]\nname = a\n", "the section [keys] is missing")]
fn invalid_settings_stop_the_daemon_and_are_reported(
    #[case] settings: &str,
    #[case] expected: &str,
) {
    let output = run_with_settings(settings);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("1701") && stderr.contains(expected), "{stderr}");
}
