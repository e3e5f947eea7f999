//! Limits of one entry that contradict each other.

use anvillift_schema::configuration::{Edit, Profile, Team};

use super::subject::Subject;
use crate::draft_edit::DraftEdit;
use crate::finding::Finding;
use crate::finding_code::FindingCode;

/// One request, in the unit of `requests_per_s_milli`.
const REQUEST_MILLI: u64 = 1_000;

/// Warnings about contradictions within one profile or team.
pub(super) fn find(subject: &Subject<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for edit in subject.sound_edits() {
        match &edit.edit {
            Edit::PutProfile(profile) => {
                findings.extend(targets_above_deadline(subject, edit, profile));
                findings.extend(hedge_without_budget(subject, edit, profile));
                findings.extend(short_retention(subject, edit, profile));
            }
            Edit::PutTeam(team) => {
                findings.extend(burst_below_request(subject, edit, team));
                findings.extend(burst_without_rate(subject, edit, team));
            }
            _ => {}
        }
    }
    findings
}

fn targets_above_deadline(
    subject: &Subject<'_>,
    edit: &DraftEdit,
    profile: &Profile,
) -> Vec<Finding> {
    let targets = [
        ("first_token_target_ms", profile.first_token_target_ms),
        ("between_tokens_target_ms", profile.between_tokens_target_ms),
    ];
    let above = targets.into_iter().filter(|(_, target)| u64::from(*target) > profile.deadline_ms);
    above
        .map(|(key, target)| {
            let text = format!("{target} ms is above deadline_ms, {} ms", profile.deadline_ms);
            subject.finding(FindingCode::TargetAboveDeadline, edit, key, &text)
        })
        .collect()
}

/// A hedge spends a retry of the budget, which starts with a credit of ten retries when a host
/// starts.
fn hedge_without_budget(
    subject: &Subject<'_>,
    edit: &DraftEdit,
    profile: &Profile,
) -> Option<Finding> {
    let text = "a hedge costs a retry, and retry_share_milli is 0: only the first ten requests \
                of a service are hedged or retried after the start of a host";
    (profile.hedge && profile.retry_share_milli == 0)
        .then(|| subject.finding(FindingCode::HedgeWithoutBudget, edit, "hedge", text))
}

/// Outcomes are kept for at least twice the deadline, whatever the profile says.
fn short_retention(subject: &Subject<'_>, edit: &DraftEdit, profile: &Profile) -> Option<Finding> {
    let key = "command_retention_ms";
    let least_ms = profile.deadline_ms.saturating_mul(2);
    let is_short = edit.key_lines.contains_key(key) && profile.command_retention_ms < least_ms;
    let text = format!("keys are kept for {least_ms} ms, twice deadline_ms");
    is_short.then(|| subject.finding(FindingCode::ShortRetention, edit, key, &text))
}

/// A bucket that never holds one request refuses all. A request with more tokens than the burst
/// is admitted by a full bucket, so that there is no such limit for tokens.
fn burst_below_request(subject: &Subject<'_>, edit: &DraftEdit, team: &Team) -> Option<Finding> {
    let burst_milli = team.requests_per_s_milli.saturating_mul(team.burst_s.max(1).into());
    let text = format!(
        "the burst is {burst_milli} thousandths of a request, so that every request is refused"
    );
    (1..REQUEST_MILLI)
        .contains(&burst_milli)
        .then(|| subject.finding(FindingCode::BurstBelowRequest, edit, "burst_s", &text))
}

fn burst_without_rate(subject: &Subject<'_>, edit: &DraftEdit, team: &Team) -> Option<Finding> {
    let is_unlimited = team.requests_per_s_milli == 0 && team.tokens_per_s == 0;
    let text = "requests_per_s_milli and tokens_per_s are 0, so that the team has no limit";
    (is_unlimited && edit.key_lines.contains_key("burst_s"))
        .then(|| subject.finding(FindingCode::BurstWithoutRate, edit, "burst_s", text))
}
