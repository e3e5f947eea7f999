//! Tests that the quickstart example prints a complete answer and its route.
//!
//! `cargo test` builds the examples first unless it is limited to some targets.

use std::env;
use std::path::PathBuf;
use std::process::Command;

/// Returns the path of the built example, which Cargo puts beside the folder of the test binaries.
fn quickstart_path() -> PathBuf {
    let test_binary = env::current_exe().unwrap();
    test_binary.parent().and_then(|folder| folder.parent()).unwrap().join("examples/quickstart")
}

#[test]
fn quickstart_answers_through_another_region_and_exits_0() {
    let output = Command::new(quickstart_path()).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let line = |start: &str| text.lines().find(|line| line.starts_with(start)).unwrap();
    assert_eq!(line("answer:").split_whitespace().count(), 13);
    let route = line("route:");
    assert!(route.contains("oriente/zacapa-a/"), "{route}");
    assert!(route.contains(">costa-sur/escuintla-a/"), "{route}");
    assert!(route.ends_with(">engine-1"), "{route}");
}
