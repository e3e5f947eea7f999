//! The amount that a request has used of its team's quota.

use anvillift_fleet::QuotaUse;

use crate::entry::Entry;

/// What was counted for a request. Dropping it gives the amount back, unless something of the
/// request was sent.
pub(super) struct CountedQuota<'a> {
    entry: &'a Entry,
    used: Option<QuotaUse>,
    /// Whether the request has waited for a grant.
    pub(super) has_waited: bool,
}

impl<'a> CountedQuota<'a> {
    /// `used` is `None` for a request without a quota.
    pub(super) fn new(entry: &'a Entry, used: Option<QuotaUse>, has_waited: bool) -> Self {
        Self { entry, used, has_waited }
    }

    /// Records that a worker or another host may have received something of the request.
    pub(super) fn keep(&mut self) {
        self.used = None;
    }
}

impl Drop for CountedQuota<'_> {
    fn drop(&mut self) {
        if let Some(used) = self.used.take() {
            self.entry.quotas.host.borrow_mut().give_back(&used);
        }
    }
}
