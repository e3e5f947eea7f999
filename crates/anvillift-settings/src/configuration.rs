//! Reads the sections `[profile NAME]`, `[service NAME]` and `[team NAME]`.
//!
//! They have the same keys in a settings file, where they form the configuration
//! at revision 0, and in a change file.

use anvillift_schema::configuration::{Profile, Service, ServiceKind, Team};
use anvillift_schema::name::Name;

use crate::reader::Reader;

/// Largest weight of a routing criterion, in thousandths.
const MAX_WEIGHT_MILLI: u64 = 1_000_000;
/// Longest deadline of a request: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// Longest retention of command outcomes: 30 days.
const MAX_RETENTION_MS: u64 = 30 * MAX_DEADLINE_MS;
/// Largest body that a profile may allow: 1 GiB.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// Highest priority that a profile may give to its requests.
const MAX_PRIORITY: u64 = 1000;
/// Longest target time to the first token or between tokens: ten minutes.
const MAX_TARGET_MS: u64 = 600_000;
/// Highest rate limit of a team, in thousandths of a request per second or in tokens per second.
const MAX_RATE: u64 = 1_000_000_000_000;
/// Longest burst of a team: one hour of its rate limit.
const MAX_BURST_S: u64 = 3600;

/// Reads a `[profile]` section; keys that are left out take the defaults of [`Profile`].
pub(crate) fn read_profile(reader: &mut Reader<'_>) -> Profile {
    let default = Profile::default();
    let name = reader.label();
    Profile {
        name,
        places: reader.names("places"),
        weight_tail_milli: read_weight(reader, "weight_tail_milli", default.weight_tail_milli),
        weight_cost_milli: read_weight(reader, "weight_cost_milli", default.weight_cost_milli),
        weight_away_milli: read_weight(reader, "weight_away_milli", default.weight_away_milli),
        first_token_target_ms: reader.number(
            "first_token_target_ms",
            default.first_token_target_ms,
            1..=MAX_TARGET_MS,
        ),
        between_tokens_target_ms: reader.number(
            "between_tokens_target_ms",
            default.between_tokens_target_ms,
            1..=MAX_TARGET_MS,
        ),
        objective_milli: reader.number("objective_milli", default.objective_milli, 1..=999),
        deadline_ms: reader.number("deadline_ms", default.deadline_ms, 1..=MAX_DEADLINE_MS),
        priority: reader.number("priority", default.priority, 0..=MAX_PRIORITY),
        hedge: reader.flag("hedge", default.hedge),
        retry_share_milli: reader.number("retry_share_milli", default.retry_share_milli, 0..=1000),
        max_body_bytes: reader.number("max_body_bytes", default.max_body_bytes, 1..=MAX_BODY_BYTES),
        command_retention_ms: reader.number(
            "command_retention_ms",
            default.command_retention_ms,
            1000..=MAX_RETENTION_MS,
        ),
    }
}

fn read_weight(reader: &mut Reader<'_>, key: &'static str, default: u32) -> u32 {
    reader.number(key, default, 0..=MAX_WEIGHT_MILLI)
}

/// Reads a `[service]` section; without a `kind` the service is a model.
pub(crate) fn read_service(reader: &mut Reader<'_>) -> Service {
    let kinds = [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
    Service {
        name: reader.label(),
        kind: reader.choice("kind", ServiceKind::Model, &kinds),
        profile: reader.required_name("profile"),
    }
}

/// Reads a `[team]` section; a rate of 0 means that the team has no such limit.
pub(crate) fn read_team(reader: &mut Reader<'_>) -> Team {
    let default = Team::default();
    Team {
        name: reader.label(),
        key_hashes: reader.hashes("key_hashes"),
        home: reader.name("home"),
        requests_per_s_milli: reader.number("requests_per_s_milli", 0, 0..=MAX_RATE),
        tokens_per_s: reader.number("tokens_per_s", 0, 0..=MAX_RATE),
        burst_s: reader.number("burst_s", default.burst_s, 1..=MAX_BURST_S),
    }
}

/// Reads the name of the profile, service or team that a change removes.
pub(crate) fn read_removed_name(reader: &mut Reader<'_>) -> Name {
    reader.label()
}
