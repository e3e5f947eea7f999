//! Checks a change before it is sent.
//!
//! Errors are the reasons for which the change would be rejected: the faults of the file and
//! what the control state machine refuses. Warnings are about entries without effect, limits
//! that contradict each other and limits that are lowered a lot. Without the configuration in
//! force, what depends on entries outside the file is not checked. Start at [`check_change`].

mod contradictions;
mod errors;
mod home_regions;
mod lowered;
mod no_effect;
mod places;
mod subject;

use anvillift_control::{self as control, Difference};
use anvillift_schema::name::Name;

use crate::baseline::Baseline;
use crate::change_draft::ChangeDraft;
use crate::change_report::ChangeReport;
use crate::redact;

use subject::Subject;

/// Checks a change against the configuration in force, or by itself.
pub fn check_change(draft: &ChangeDraft, baseline: Option<&Baseline>) -> ChangeReport {
    let subject = Subject::new(draft, baseline);
    let mut findings = errors::find(&subject);
    findings.extend(no_effect::find(&subject));
    findings.extend(places::find(&subject));
    findings.extend(contradictions::find(&subject));
    findings.extend(lowered::find(&subject));
    findings.sort_by_key(|finding| (finding.line, finding.code));
    let differences = match draft.faults.is_empty() && baseline.is_some() {
        true => redacted(control::differences(&subject.before, &subject.after)),
        false => Vec::new(),
    };
    ChangeReport {
        against: baseline.map(|baseline| baseline.origin.clone()),
        findings,
        differences,
    }
}

fn redacted(mut differences: Vec<Difference>) -> Vec<Difference> {
    for difference in &mut differences {
        difference.name = Name::from(redact::redact(&difference.name));
        for field in &mut difference.fields {
            field.old = field.old.as_deref().map(redact::redact);
            field.new = field.new.as_deref().map(redact::redact);
        }
    }
    differences
}
