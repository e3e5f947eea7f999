//! Refuses requests that are quarantined because requests like them crash workers.

use anvillift_schema::event::Event;

use crate::clock;
use crate::entry::Entry;
use crate::entry::request::Request;
use crate::entry::request_failure::RequestFailure;
use crate::fleet_view::FleetView;

impl Entry {
    /// The answer to a request that crashes workers.
    pub(super) fn quarantine_refusal(&self, request: &Request) -> Option<RequestFailure> {
        let remaining_ms = remaining_ms(&self.node.view.borrow(), request)?;
        metrics::counter!("anvillift_rejected_for_quarantine_total").increment(1);
        log::info!(
            event = Event::RequestQuarantined.number(), id = request.id.as_str(),
            service = request.service.as_str(), parts = request.parts_text(),
            fingerprint = request.fingerprint_text(), remaining_ms = remaining_ms;
            "request refused: requests like it crash workers"
        );
        Some(RequestFailure::quarantined(remaining_ms))
    }
}

/// Time for which a request is quarantined, in milliseconds. `None` if it is not, or is sent as a
/// trial all the same.
pub(super) fn remaining_ms(view: &FleetView, request: &Request) -> Option<u64> {
    if request.is_trial.get() {
        return None;
    }
    view.quarantine.remaining_ms(clock::now_ms(), &request.features)
}
