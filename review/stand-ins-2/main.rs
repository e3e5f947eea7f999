//! Stand-ins and cases of the second review. One binary, built by `review/build-2.sh`:
//! `stand-ins case N FOLDER` plays a case, `stand-ins worker ...` is one worker process.

mod case_forward;
mod case_cold;
mod case_cut;
mod case_drain;
mod case_quarantine;
mod case_versions;
mod fleet;
mod http;
mod record;
mod requester;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("worker") => worker::run(&arguments[1..]),
        Some("case") => {
            let folder = arguments.get(2).cloned().unwrap_or_else(|| ".".to_owned());
            let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            record::start(&folder, has_trouble);
            fleet::exit_after(115);
            let verdict = match arguments.get(1).map(String::as_str) {
                Some("quarantine") => case_quarantine::run(has_trouble),
                Some("cut") => case_cut::run(has_trouble),
                Some("forward") => case_forward::run(has_trouble),
                Some("versions") => case_versions::run(has_trouble),
                Some("drain") => case_drain::run(has_trouble),
                Some("cold") => case_cold::run(has_trouble),
                _ => Err("unknown case".to_owned()),
            };
            fleet::end_all();
            finish(verdict)
        }
        _ => ExitCode::from(2),
    }
}

/// 0 if the rule held, 1 if it was broken, 2 if the case could not run.
fn finish(verdict: Result<bool, String>) -> ExitCode {
    match verdict {
        Ok(true) => {
            record::line("VERDICT the rule held");
            ExitCode::from(0)
        }
        Ok(false) => {
            record::line("VERDICT the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record::line(&format!("VERDICT the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
