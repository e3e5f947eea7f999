//! The daemon's start with settings that are not valid.

use std::fs;
use std::process::{Command, Output};

use rstest::rstest;

fn start(text: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("host.ini");
    fs::write(&path, text).expect("written");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_anvilliftd"));
    daemon.arg("--settings").arg(path).output().expect("the daemon ends")
}

#[rstest]
#[case::misspelt_key("[host]\nnam = a\n", "host.ini:2: [host] nam: unknown key")]
#[case::no_keys("[host]\nname = a\n", "the section [keys] is missing")]
fn faulty_settings_end_the_daemon_with_each_fault(#[case] text: &str, #[case] fault: &str) {
    let output = start(text);
    let shown = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{shown}");
    assert!(shown.contains("1701") && shown.contains(fault), "{shown}");
}
