//! Tests of `anvillift settings check` on settings and change files.

use std::fs;

use rstest::rstest;

use crate::support::tool;

#[rstest]
#[case("examples/zacapa.ini", "valid: host zacapa-1 of zacapa-a in oriente, 7 hosts, 2 services")]
#[case(
    "examples/triplice-cura.ini",
    "valid: host estrela-1 of estrela-a in serra-norte, 8 hosts, 2 services"
)]
fn example_settings_are_valid(#[case] file: &str, #[case] expected: &str) {
    let run = tool::run(&["settings", "check", file]);
    assert_eq!((run.code, run.stdout.trim()), (0, expected), "{run:?}");
}

#[test]
fn every_fault_is_printed_with_its_file_line_and_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("host.ini");
    let example = fs::read_to_string("examples/zacapa.ini").expect("the example");
    let faulty = example
        .replace("heartbeat_ms = 500", "heartbeat = 500")
        .replace("format = text", "format = xml");
    fs::write(&path, &faulty).expect("written");
    let path = path.to_str().expect("a path");
    let run = tool::run(&["settings", "check", path]);
    assert_eq!(run.code, 17);
    let line_of = |text: &str| {
        1 + faulty.lines().position(|line| line == text).expect("the faulty line is in the file")
    };
    let heartbeat =
        format!("{path}:{}: [timing] heartbeat: unknown key", line_of("heartbeat = 500"));
    let format = format!("{path}:{}: [log] format: `xml` is unknown", line_of("format = xml"));
    assert!(run.stderr.contains(&heartbeat) && run.stderr.contains(&format), "{run:?}");
}

#[test]
fn change_files_are_valid_only_with_the_change_option() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("change.ini");
    fs::write(&path, "[profile quick]\npriority = 3\n").expect("written");
    let path = path.to_str().expect("a path");
    let run = tool::run(&["settings", "check", "--change", path]);
    assert_eq!((run.code, run.stdout.trim()), (0, "valid: 1 edits"), "{run:?}");
    assert_eq!(tool::run(&["settings", "check", path]).code, 17);
}
