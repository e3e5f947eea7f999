//! Change files: their edits and their faults.

use anvillift_schema::configuration::{Edit, Profile};
use anvillift_settings::parse_change;
use proptest::prelude::*;

#[test]
fn sections_are_read_as_edits_in_order() {
    let text = "\
[profile quick]
priority = 7

[service answers]
kind = plain
profile = quick

[team growers]
remove = true
";
    let edits = parse_change(text).expect("a valid change");
    let quick = Profile { name: "quick".into(), priority: 7, ..Profile::default() };
    assert_eq!(edits[0], Edit::PutProfile(quick));
    assert!(matches!(&edits[1], Edit::PutService(service) if service.name.as_str() == "answers"));
    assert_eq!(edits[2], Edit::RemoveTeam("growers".into()));
}

#[test]
fn sections_of_other_kinds_are_faults() {
    let error = parse_change("[profiles x]\npriority = 1\n").expect_err("a fault");
    assert_eq!(error.faults[0].line, 1);
    assert!(error.to_string().contains("did you mean `profile`?"), "{error}");
}

#[test]
fn other_keys_next_to_remove_are_faults() {
    let error = parse_change("[team t]\nremove = true\nhome = north\n").expect_err("a fault");
    assert_eq!((error.faults[0].key.as_str(), error.faults[0].line), ("home", 3));
}

#[test]
fn a_change_without_edits_is_a_fault() {
    assert!(parse_change("; nothing\n").expect_err("a fault").to_string().contains("no edit"));
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = parse_change(&text);
    }
}
