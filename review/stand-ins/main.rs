//! Stand-ins of the platform, of callers and of servers for the cases of the review.
//!
//! `stand-ins CASE RECORD` runs one case against the programs of the deploy file on loopback
//! addresses, writes what was seen to the file RECORD, and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the case
//! runs without its disruption. Only the standard library is used.

mod fleet;
mod http;
mod many_changes;
mod record;
mod resumed_streams;
mod stalled_stream;
mod streams;
mod uploads;
mod version_change;
mod worker;

use std::env;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let result = match case.as_str() {
        "version-change" => version_change::run(&record, has_trouble),
        "uploads" => uploads::run(&record, has_trouble),
        "many-changes" => many_changes::run(&record, has_trouble),
        "resumed-streams" => resumed_streams::run(&record, has_trouble),
        "stalled-stream" => stalled_stream::run(&record, has_trouble),
        other => Err(format!("unknown case {other}")),
    };
    match result {
        Ok(true) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
