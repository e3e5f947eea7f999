//! Settings files: valid ones, and faults with their section, key and line.

use std::path::Path;

use anvillift_schema::configuration::ServiceKind;
use anvillift_settings::{Fault, load_settings, parse_settings};
use proptest::prelude::*;
use rstest::rstest;

const VALID: &str = "\
[host]
name = a-1
region = north
data_centre = a

[keys]
link_key = 00112233445566778899aabbccddeeff

[peer b-1]
region = south
data_centre = b
link = 127.0.0.1:7501

[ledger north]
voters = a-1

[profile quick]
places = north, b

[service answers]
kind = plain
profile = quick

[team growers]
home = south
";

fn faults(text: &str) -> Vec<Fault> {
    parse_settings("host.ini", text).expect_err("the settings are faulty").faults
}

#[rstest]
#[case("zacapa.ini", "zacapa-1", 7)]
#[case("triplice-cura.ini", "estrela-1", 8)]
fn examples_are_valid(#[case] file: &str, #[case] host: &str, #[case] hosts: usize) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let settings = load_settings(&folder.join(file)).expect("the example is valid");
    assert_eq!(settings.host.name.as_str(), host);
    assert_eq!(settings.peers.len(), hosts);
    assert_eq!(settings.control.voters.len(), 3);
    assert_eq!(settings.ledgers.len(), 3);
}

#[test]
fn sections_are_read_as_typed_settings() {
    let settings = parse_settings("host.ini", VALID).expect("valid");
    assert_eq!(settings.peers["a-1"].region.as_str(), "north", "this host is added");
    assert_eq!(settings.timing.upstream_expiry_ms, 3_000, "keys that are left out have defaults");
    let configuration = &settings.configuration;
    assert_eq!(configuration.services["answers"].kind, ServiceKind::Plain);
    assert_eq!(configuration.profiles["quick"].places.len(), 2);
    assert_eq!(configuration.teams["growers"].home.as_deref(), Some(&"south".into()));
}

#[rstest]
#[case::misspelt_key("[timing]\nheartbeat_m = 5", "timing", "heartbeat_m", 2, "`heartbeat_ms`?")]
#[case::unknown_section("[timings]\nx = 5", "timings", "", 1, "`timing`?")]
#[case::out_of_range(
    "[limits]\nmax_header_bytes = 12",
    "limits",
    "max_header_bytes",
    2,
    "from 1024 to"
)]
#[case::not_a_number("[timing]\nheartbeat_ms = soon", "timing", "heartbeat_ms", 2, "whole numbers")]
#[case::not_an_address("[listen]\n\nlinks = here:1", "listen", "links", 3, "IP address and port")]
#[case::unknown_word("[log]\nformat = xml", "log", "format", 2, "text, json")]
#[case::unknown_voter("[control]\nvoters = a-2", "control", "voters", 2, "`a-1`?")]
#[case::even_voters(
    "[control]\nvoters = b-1, c-1\n[peer c-1]\nregion = south\ndata_centre = b\nlink = 127.0.0.1:9",
    "control",
    "voters",
    2,
    "1, 3 or 5"
)]
#[case::voter_without_storage("[control]\nvoters = a-1", "control", "voters", 2, "[storage]")]
#[case::unknown_place("[profile p]\nplaces = nort", "profile p", "places", 2, "`north`?")]
#[case::unknown_profile("[service s]\nprofile = quik", "service s", "profile", 2, "`quick`?")]
#[case::unknown_home("[team t]\nhome = soth", "team t", "home", 2, "`south`?")]
#[case::short_hash("[team t]\nkey_hashes = 12ab", "team t", "key_hashes", 2, "64 hexadecimal")]
#[case::repeated_key("[log]\nlevel = info\nlevel = warn", "log", "level", 3, "key is a duplicate")]
#[case::repeated_section(
    "[log]\nlevel = info\n[log]\nlevel = warn",
    "log",
    "",
    3,
    "section is a duplicate"
)]
#[case::empty_value("[log]\nfile =", "log", "file", 2, "is empty")]
#[case::missing_key(
    "[peer c-1]\nregion = north\nlink = 127.0.0.1:9",
    "peer c-1",
    "data_centre",
    1,
    "is missing"
)]
#[case::split_data_centre(
    "[peer c-1]\nregion = north\ndata_centre = b\nlink = 127.0.0.1:9",
    "peer c-1",
    "data_centre",
    3,
    "one data centre has one region"
)]
#[case::shared_link(
    "[peer c-1]\nregion = south\ndata_centre = b\nlink = 127.0.0.1:7501",
    "peer c-1",
    "link",
    4,
    "also the address of [peer b-1]"
)]
#[case::unnamed_peer(
    "[peer]\nregion = south\ndata_centre = b\nlink = 127.0.0.1:9",
    "peer",
    "",
    1,
    "needs a name"
)]
#[case::short_silence(
    "[timing]\nsilent_after_ms = 600",
    "timing",
    "silent_after_ms",
    2,
    "twice heartbeat_ms"
)]
fn a_fault_names_its_section_key_and_line(
    #[case] added: &str,
    #[case] section: &str,
    #[case] key: &str,
    #[case] line: usize,
    #[case] allowed: &str,
) {
    let found = faults(&format!("{VALID}{added}\n"));
    let [fault] = &found[..] else { panic!("one fault expected: {found:?}") };
    let line_in_file = VALID.lines().count() + line;
    assert_eq!((fault.file.as_str(), fault.section.as_str()), ("host.ini", section));
    assert_eq!((fault.key.as_str(), fault.line), (key, line_in_file));
    assert!(fault.message.contains(allowed), "{}", fault.message);
}

#[test]
fn all_faults_are_reported_at_once_sorted_by_line() {
    let text = VALID.replace("region = south", "region = so/uth").replace("kind = plain", "kind=x");
    let found = faults(&text);
    let positions: Vec<(usize, &str)> =
        found.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    assert_eq!(positions, [(10, "region"), (21, "kind"), (25, "home")]);
    assert!(found[0].to_string().starts_with("host.ini:10: [peer b-1] region: "));
}

#[rstest]
#[case::unclosed_title("[host]\nname = a\n[peer", 3)]
#[case::key_before_sections("name = a\n[host]\nname = a", 1)]
fn malformed_text_is_a_fault_at_its_line(#[case] text: &str, #[case] line: usize) {
    assert_eq!(faults(text)[0].line, line);
}

#[test]
fn a_missing_file_is_a_fault() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = load_settings(&folder.path().join("absent.ini")).expect_err("no file");
    assert!(error.to_string().contains("cannot be read"));
}

#[test]
fn secret_keys_are_not_shown_in_faults() {
    let text = VALID.replace("00112233445566778899aabbccddeeff", "secret-of-the-links");
    let shown = parse_settings("host.ini", &text).expect_err("no key").to_string();
    assert!(shown.contains("link_key") && !shown.contains("secret"), "{shown}");
}

fn line() -> impl Strategy<Value = String> {
    let words = "host|listen|peer a|keys|control|ledger north|profile p|team t|timing|voters|name";
    let word = proptest::string::string_regex(words).expect("a pattern");
    (0..4u8, word, ".{0,12}").prop_map(|(form, word, rest)| match form {
        0 => format!("[{word}]"),
        1 => format!("{word} = {rest}"),
        2 => format!("[{word} {rest}"),
        _ => rest,
    })
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = parse_settings("host.ini", &text);
    }

    #[test]
    fn arbitrary_sections_never_panic(lines in prop::collection::vec(line(), 0..24)) {
        let text = lines.join("\n");
        if let Err(error) = parse_settings("host.ini", &text) {
            prop_assert!(!error.faults.is_empty());
            prop_assert!(error.faults.iter().all(|fault| fault.line >= 1));
            prop_assert!(error.faults.is_sorted_by_key(|fault| fault.line));
        }
    }
}
