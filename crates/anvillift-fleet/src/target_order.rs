//! The order of the ways by which a request may reach a worker.
//!
//! A request passes two entry hosts at most: what another host has forwarded goes to a worker
//! of this region or is refused.

/// A way to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Another region that is less loaded, or caches the prefix of the prompt.
    PreferredRegion,
    /// A healthy worker of this region.
    LocalWorker,
    /// Another entry host of this region, which sends the request to a worker.
    Sibling,
    /// An entry host of another region.
    OtherRegion,
    /// A worker of this region that is failing or silent.
    DegradedWorker,
}

/// How far this host reaches the workers of its region.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Contact {
    /// It reaches some of them.
    #[default]
    Full,
    /// Only over connections that are open: new ones fail.
    OpenConnections,
    /// It reaches none.
    None,
}

/// What decides the order.
#[derive(Clone, Copy, Debug)]
pub struct WayFacts {
    /// Whether a caller sent the request, rather than another entry host.
    pub is_from_caller: bool,
    /// How far this host reaches the workers of its region.
    pub contact: Contact,
    /// Workers of this region that could not be reached with this request.
    pub unreachable_workers: u32,
}

/// Workers that one request may fail to reach before another host of the region is asked.
const MAX_UNREACHABLE_WORKERS: u32 = 2;

/// The ways of a request, the one to try first at the front.
pub fn ways(facts: &WayFacts) -> &'static [Way] {
    let is_unreached = facts.unreachable_workers >= MAX_UNREACHABLE_WORKERS;
    match (facts.is_from_caller, facts.contact) {
        (true, Contact::Full) if !is_unreached => {
            &[Way::PreferredRegion, Way::LocalWorker, Way::OtherRegion, Way::DegradedWorker]
        }
        (true, Contact::Full | Contact::OpenConnections) => {
            &[Way::Sibling, Way::OtherRegion, Way::LocalWorker, Way::DegradedWorker]
        }
        (true, Contact::None) => &[Way::Sibling, Way::OtherRegion],
        (false, Contact::Full) => &[Way::LocalWorker, Way::DegradedWorker],
        // The other host asks a further one, or uses its own connections.
        (false, Contact::OpenConnections | Contact::None) => &[],
    }
}
