//! A configuration with many teams changes hundreds of times. Each core keeps the documents of the
//! last thousand changes in memory, takes more memory than it has, and is ended for that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, ZONES};
use crate::record::Record;

/// Teams, and keys of each.
const TEAMS: usize = 30_000;
const KEYS: usize = 3;
/// Pause from one change to the next, and time for which there are changes.
const GAP: Duration = Duration::from_millis(330);
const CHANGES_FOR: Duration = Duration::from_secs(95);
/// Changes without the disruption.
const FEW_CHANGES: u64 = 3;
/// A day counts 0 if processes end by themselves so often on half of the core.
const ENDS: usize = 3;
const HALF_OF_CORE: usize = 2;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, &fleet::configuration(1, ""))?;
    let outcome = play(record, &fleet, has_trouble);
    fleet.stop();
    outcome
}

fn play(record: &Record, fleet: &Arc<Fleet>, has_trouble: bool) -> Result<bool, String> {
    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let mut teams: Vec<String> = (0..TEAMS).map(|number| team(number, &mut random)).collect();
    let cores = ZONES.map(|zone| format!("core-{zone}-1"));
    fleet.enforce_memory_limit();
    let began = Instant::now();
    let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
    let mut version = 1;
    while began.elapsed() < CHANGES_FOR && (has_trouble || version <= FEW_CHANGES) {
        version += 1;
        let changed = (random.next() % TEAMS as u64) as usize;
        teams[changed] = team(changed, &mut random);
        let tenants = format!("\"tenants\":[{}],", teams.join(","));
        let document = fleet::configuration(version, &tenants);
        let status = fleet.operator("POST", "/-/configuration/replace", &document).unwrap_or(0);
        *answers.entry(status).or_default() += 1;
        if version == 2 {
            record.line(&format!("first change: {} bytes, {TEAMS} teams", document.len()));
        }
        if version % 20 == 0 || !has_trouble {
            let memory = cores.each_ref().map(|core| fleet.memory_bytes(core).unwrap_or(0) >> 20);
            record.line(&format!("version {version} answered {status}; cores use {memory:?} MB"));
        }
        let due = began + GAP * (version - 1) as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for (status, count) in &answers {
        record.line(&format!("changes answered {status} (0: no answer): {count}"));
    }
    let ends = cores.each_ref().map(|core| fleet.ends(core));
    record.line(&format!("cores ended for their memory: {ends:?} times"));
    let often = ends.iter().filter(|count| **count >= ENDS).count();
    record.line(&format!(
        "cores that ended {ENDS} times or more: {often}; the day counts 0 from {HALF_OF_CORE} on"
    ));
    if answers.get(&200).copied().unwrap_or(0) == 0 {
        return Err("no change was acknowledged".to_owned());
    }
    Ok(often >= HALF_OF_CORE)
}

fn team(number: usize, random: &mut Random) -> String {
    let keys: Vec<String> =
        (0..KEYS).map(|_| format!("\"{:016x}{:016x}\"", random.next(), random.next())).collect();
    format!(
        "{{\"name\":\"team-{number:05}\",\"api_keys\":[{}],\"rate_per_s\":1000.0,\
         \"burst\":20000.0}}",
        keys.join(",")
    )
}

/// A xorshift generator.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}
