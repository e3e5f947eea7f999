//! Finds the team of a request by its key, or by the field that a forwarding host sets.

use std::sync::Arc;

use anvillift_fleet::{FleetConfiguration, FleetTeam, Route};
use anvillift_http::RequestHead;
use anvillift_schema::key_hash::KeyHash;

use crate::entry::Entry;
use crate::entry::forward_headers::TEAM_HEADER;
use crate::entry::front::Origin;
use crate::entry::request_failure::RequestFailure;
use crate::fleet_view::FleetView;

impl Entry {
    /// The team of a request, or `None` for an anonymous one. With teams configured, a caller
    /// needs a key unless the route, if there is one, allows anonymous requests.
    pub(super) fn team_of(
        &self,
        view: &FleetView,
        configuration: &FleetConfiguration,
        head: &RequestHead,
        route: Option<&Route>,
        origin: Origin,
    ) -> Result<Option<Arc<FleetTeam>>, RequestFailure> {
        if origin == Origin::Host {
            return forwarded_team(configuration, head);
        }
        if configuration.teams.is_empty() {
            return Ok(None);
        }
        let names = &self.node.dialect.headers;
        let mut credentials = head.headers.all(names.credentials);
        let Some(field) = credentials.next() else {
            let is_anonymous = route.is_some_and(|route| route.allows_anonymous);
            return if is_anonymous { Ok(None) } else { Err(RequestFailure::KEY_MISSING) };
        };
        if credentials.next().is_some() {
            return Err(RequestFailure::KEY_AMBIGUOUS);
        }
        let presented =
            KeyHash::of_field(field, names.key_scheme).ok_or(RequestFailure::KEY_UNREADABLE)?;
        let team = view.teams.team_of_key(configuration, &presented);
        team.map(Some).ok_or(RequestFailure::KEY_UNKNOWN)
    }
}

/// The team that the forwarding host names. That host has checked the key, so that a request
/// without a team is anonymous, or the host has an earlier configuration without teams.
fn forwarded_team(
    configuration: &FleetConfiguration,
    head: &RequestHead,
) -> Result<Option<Arc<FleetTeam>>, RequestFailure> {
    if !head.headers.contains(TEAM_HEADER) {
        return Ok(None);
    }
    let named = head.headers.get(TEAM_HEADER).and_then(|name| configuration.teams.get(name));
    named.map(|team| Some(Arc::new(team.clone()))).ok_or(RequestFailure::TEAM_UNKNOWN)
}
