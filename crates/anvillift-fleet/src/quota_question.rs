//! A frame that a host sends to the owner of the quotas.

use anvillift_schema::fleet::FleetQuotaWanted;
use anvillift_schema::name::Name;

/// A frame and its receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaQuestion {
    /// The owner; `None` if it is not known, and all core hosts are asked.
    pub owner: Option<Name>,
    /// What is asked.
    pub frame: FleetQuotaWanted,
}
