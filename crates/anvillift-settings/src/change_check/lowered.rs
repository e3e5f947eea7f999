//! Limits that a change lowers by more than half.

use anvillift_schema::configuration::{Edit, Profile, Team};

use super::subject::Subject;
use crate::finding::Finding;
use crate::finding_code::FindingCode;

/// Names and values of the limits of an entry; `None` is unlimited.
type Limits = Vec<(&'static str, Option<u64>)>;

/// Warnings about limits that are lowered against the configuration in force.
pub(super) fn find(subject: &Subject<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for edit in subject.sound_edits() {
        let limits = match &edit.edit {
            Edit::PutProfile(new) => {
                let old = subject.before.profiles.get(&new.name);
                old.map(|old| (profile_limits(old), profile_limits(new)))
            }
            Edit::PutTeam(new) => {
                let old = subject.before.teams.get(&new.name);
                old.map(|old| (team_limits(old), team_limits(new)))
            }
            _ => None,
        };
        let Some((old, new)) = limits else { continue };
        for ((key, old), (_, new)) in old.into_iter().zip(new) {
            if is_lowered(old, new) {
                let text = format!("is lowered from {} to {}", shown(old), shown(new));
                findings.push(subject.finding(FindingCode::LimitLowered, edit, key, &text));
            }
        }
    }
    findings
}

fn profile_limits(profile: &Profile) -> Limits {
    vec![
        ("deadline_ms", Some(profile.deadline_ms)),
        ("retry_share_milli", Some(profile.retry_share_milli.into())),
        ("max_body_bytes", Some(profile.max_body_bytes)),
        ("command_retention_ms", Some(profile.command_retention_ms)),
    ]
}

fn team_limits(team: &Team) -> Limits {
    let rate = |rate: u64| (rate > 0).then_some(rate);
    let is_limited = team.requests_per_s_milli > 0 || team.tokens_per_s > 0;
    vec![
        ("requests_per_s_milli", rate(team.requests_per_s_milli)),
        ("tokens_per_s", rate(team.tokens_per_s)),
        ("burst_s", is_limited.then_some(team.burst_s.into())),
    ]
}

fn is_lowered(old: Option<u64>, new: Option<u64>) -> bool {
    match (old, new) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(old), Some(new)) => new.saturating_mul(2) < old,
    }
}

fn shown(limit: Option<u64>) -> String {
    limit.map_or_else(|| "unlimited".to_owned(), |limit| limit.to_string())
}
