//! Requests of an entry host that wait for grants of the owner of the quotas.

use std::collections::BTreeMap;

use anvillift_schema::fleet::FleetQuotaDemand;
use anvillift_schema::name::Name;

use crate::team_quota::TeamQuota;

/// A request that the grants of this host do not cover.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) team: Name,
    pub(crate) quota: TeamQuota,
    pub(crate) amount_milli: u64,
    /// The question that asks for it; `None` if it has not been sent.
    sequence: Option<u64>,
}

/// The waiting requests by number, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingRequests {
    requests: BTreeMap<u64, WaitingRequest>,
    last_number: u64,
}

impl WaitingRequests {
    /// Adds a request and returns its number.
    pub(crate) fn add(&mut self, team: &Name, quota: &TeamQuota, amount_milli: u64) -> u64 {
        self.last_number += 1;
        let (team, quota) = (team.clone(), *quota);
        let request = WaitingRequest { team, quota, amount_milli, sequence: None };
        self.requests.insert(self.last_number, request);
        self.last_number
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<WaitingRequest> {
        self.requests.remove(&number)
    }

    /// Whether a request was not asked for yet.
    pub(crate) fn has_unasked(&self) -> bool {
        // Requests are asked for in the order of their arrival.
        self.requests.last_key_value().is_some_and(|(_, request)| request.sequence.is_none())
    }

    /// What the requests want that were not asked for yet. The question asks for them now.
    pub(crate) fn ask(&mut self, sequence: u64) -> BTreeMap<Name, FleetQuotaDemand> {
        let mut demands = BTreeMap::new();
        let unasked = self.requests.values_mut().filter(|request| request.sequence.is_none());
        for request in unasked {
            request.sequence = Some(sequence);
            let demand = demand_of(&mut demands, &request.team);
            demand.waiting = demand.waiting.saturating_add(request.amount_milli);
            demand.largest = demand.largest.max(request.amount_milli);
        }
        demands
    }

    /// Removes the requests of a team that a question has asked for. Returns their numbers and
    /// amounts.
    pub(crate) fn take_answered(&mut self, sequence: u64, team: &Name) -> Vec<(u64, u64)> {
        let is_answered =
            |request: &WaitingRequest| request.sequence == Some(sequence) && request.team == *team;
        let answered = self.requests.extract_if(.., |_, request| is_answered(request));
        answered.map(|(number, request)| (number, request.amount_milli)).collect()
    }
}

/// The demand of a team in a question, which is added if it is not there yet.
pub(crate) fn demand_of<'a>(
    demands: &'a mut BTreeMap<Name, FleetQuotaDemand>,
    team: &Name,
) -> &'a mut FleetQuotaDemand {
    demands.entry(team.clone()).or_insert_with(|| FleetQuotaDemand {
        team: team.clone(),
        waiting: 0,
        largest: 0,
        ahead: 0,
        unused: 0,
    })
}
