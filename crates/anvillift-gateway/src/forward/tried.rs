//! Places to which the attempts of one request went.

use anvillift_routing::decide::Decision;
use anvillift_routing::request::RequestFacts;
use anvillift_schema::code::Code;
use anvillift_schema::name::Name;

/// Place of an attempt: an upstream, or a host of another data centre.
#[derive(Clone, Debug, derive_more::Display)]
#[display("{name}")]
pub(crate) struct Place {
    /// Name of the upstream or data centre.
    pub(crate) name: Name,
    host: Option<Name>,
}

impl Place {
    /// The place that the router chose; `None` if it refused the request.
    pub(crate) fn of(decision: &Decision) -> Option<Self> {
        match decision {
            Decision::Local { upstream } => Some(Self::upstream(upstream.clone())),
            Decision::Forward { data_centre, host, .. } => {
                Some(Self::host(data_centre.clone(), host.clone()))
            }
            Decision::Refuse { .. } => None,
        }
    }

    pub(crate) fn upstream(name: Name) -> Self {
        Self { name, host: None }
    }

    pub(crate) fn host(data_centre: Name, host: Name) -> Self {
        Self { name: data_centre, host: Some(host) }
    }
}

/// Places of the failed attempts of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    places: Vec<Name>,
    failed_hosts: Vec<Name>,
}

impl Tried {
    /// A place whose attempt has not ended yet.
    pub(crate) fn slow(place: Place) -> Self {
        Self { places: vec![place.name], ..Self::default() }
    }

    /// Records a failed attempt.
    pub(crate) fn record(&mut self, place: Place, code: Code) {
        self.failed_hosts.extend(place.host.filter(|_| concerns_host(code)));
        self.places.push(place.name);
    }

    /// Number of failed attempts.
    pub(crate) fn attempts(&self) -> u32 {
        self.places.len() as u32
    }

    /// Excludes these places from the next routing decision.
    pub(crate) fn exclude_from(&self, facts: &mut RequestFacts) {
        facts.tried.clone_from(&self.places);
        facts.failed_hosts.clone_from(&self.failed_hosts);
    }
}

/// Whether a failure with this code concerns the host that was asked rather than the upstreams of
/// its data centre.
fn concerns_host(code: Code) -> bool {
    matches!(code, Code::NoUpstream | Code::NotReady | Code::Draining | Code::LinkLost)
}
