//! The tables of result codes and events agree with the code.

use std::collections::BTreeMap;
use std::fs;

use anvillift_schema::code::Code;
use anvillift_schema::event::Event;

/// Rows of a page's table that begin with a number.
fn rows(page: &str) -> BTreeMap<u16, Vec<String>> {
    let text = fs::read_to_string(page).unwrap_or_else(|error| panic!("{page}: {error}"));
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
    };
    let mut rows = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with('|')) {
        let cells = cells(line);
        if let Ok(number) = cells[0].parse() {
            assert!(rows.insert(number, cells).is_none(), "{page}: {number} stands twice");
        }
    }
    rows
}

#[test]
fn result_codes_page_agrees_with_the_code() {
    let mut rows = rows("docs/RESULT-CODES.md");
    for code in Code::ALL {
        let row = rows.remove(&code.number()).unwrap_or_else(|| panic!("{code:?} has no row"));
        let exit = (code.number() / 100).to_string();
        let expected =
            [code.status().to_string(), code.outcome().to_string(), exit, code.title().to_owned()];
        assert_eq!(row[1..5], expected, "{code:?}");
        assert!(!row[5].is_empty(), "{code:?} says nothing on what to do");
    }
    assert!(rows.is_empty(), "rows without a code: {rows:?}");
}

#[test]
fn events_page_agrees_with_the_code() {
    let mut rows = rows("docs/EVENTS.md");
    for event in Event::ALL {
        let row = rows.remove(&event.number()).unwrap_or_else(|| panic!("{event:?} has no row"));
        assert_eq!(row[1..3], [event.level().to_owned(), event.meaning().to_owned()], "{event:?}");
        assert!(!row[3].is_empty(), "{event:?} says nothing on what to do");
    }
    assert!(rows.is_empty(), "rows without an event: {rows:?}");
}
