//! Outcome of the admission of a request that is about to be sent to a worker of this region.

use crate::entry::request_failure::RequestFailure;
use crate::entry::target::Target;

/// Decision by the load of the workers.
pub(crate) enum LoadDecision {
    /// The worker gets the request.
    Admit,
    /// A host of another region gets it.
    Forward(Target),
    /// It is rejected, not run.
    Reject(RequestFailure),
}
