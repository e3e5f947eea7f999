//! Moves the rejections of an overloaded service to teams above their share. [`TeamAdmission`]
//! decides; this module keeps its state for each service and logs the rejections.

use std::cell::RefCell;
use std::collections::BTreeMap;

use anvillift_fleet::{FleetConfiguration, TeamAdmission, TeamReason, TeamRequest, TeamVerdict};
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::log_budget::LogBudget;

/// Most log lines about rejected requests within a second.
const MAX_REJECTION_LINES_PER_S: u32 = 20;

/// Demand of the teams at this host.
pub(super) struct TeamSharing {
    /// By service; only services with recent demand of teams.
    services: RefCell<BTreeMap<Name, TeamAdmission>>,
    rejection_lines: LogBudget,
}

impl TeamSharing {
    pub(super) fn new() -> Self {
        Self {
            services: RefCell::default(),
            rejection_lines: LogBudget::new(MAX_REJECTION_LINES_PER_S),
        }
    }

    /// Removes services without recent demand.
    pub(super) fn remove_old(&self, now_ms: u64) {
        self.services.borrow_mut().retain(|_, teams| {
            teams.advance(now_ms);
            teams.team_count() > 0
        });
    }
}

impl Entry {
    /// Whether a request is rejected. `is_asked` says whether admission control asks for its
    /// rejection, without regard to its team; without teams in the configuration that decides.
    /// `draw` lies between 0 and 1.
    pub(super) fn is_rejected_by_share(
        &self,
        request: &Request,
        is_asked: bool,
        draw: f64,
    ) -> bool {
        let view = self.node.view.borrow();
        let has_teams = |configuration: &FleetConfiguration| !configuration.teams.is_empty();
        if !view.configuration.as_deref().is_some_and(has_teams) {
            return is_asked;
        }
        let is_new = !request.is_demand_counted.replace(true);
        let of_team = TeamRequest::new(request.team.as_deref(), &request.prompt, is_new);
        let mut services = self.team_sharing.services.borrow_mut();
        let teams = services.entry(request.service.clone()).or_default();
        let verdict = teams.decide(clock::now_ms(), &of_team, is_asked, draw);
        if verdict.reason != TeamReason::NotOverloaded {
            let reason = verdict.reason.to_string();
            metrics::counter!("anvillift_team_share_decisions_total", "reason" => reason)
                .increment(1);
        }
        if verdict.is_rejected() {
            self.log_rejection(request, &of_team, is_asked, &verdict);
        }
        verdict.is_rejected()
    }

    fn log_rejection(
        &self,
        request: &Request,
        of_team: &TeamRequest,
        is_asked: bool,
        verdict: &TeamVerdict,
    ) {
        let Some(omitted) = self.team_sharing.rejection_lines.take(clock::now_ms()) else { return };
        log::info!(
            event = Event::TeamShareApplied.number(), id = request.id.as_str(),
            service = request.service.as_str(), team = request.team_text(),
            reason = verdict.reason.to_string(), work = of_team.work as u64,
            share_per_s = verdict.share_per_s as u64, demand_per_s = verdict.demand_per_s as u64,
            weight = of_team.weight, rejected_percent = (verdict.rejection * 100.0) as u64,
            is_asked = is_asked, omitted = omitted;
            "request rejected by the share of its team while its service is overloaded"
        );
    }
}
