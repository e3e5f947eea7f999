//! Counts the requests in service by their progress.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::entry::request_progress::RequestProgress;

/// The requests in service of a host.
#[derive(Debug, Default)]
pub(crate) struct ServedRequests {
    counts: RefCell<BTreeMap<RequestProgress, u64>>,
}

/// A request in service. It counts until it is dropped.
#[derive(Debug)]
pub(crate) struct ServedRequest {
    requests: Rc<ServedRequests>,
    progress: Cell<RequestProgress>,
    id: OnceCell<String>,
}

impl ServedRequests {
    /// Counts a request from its first byte on.
    pub(crate) fn begin(self: &Rc<Self>) -> Rc<ServedRequest> {
        let progress = RequestProgress::Receiving;
        self.add(progress);
        Rc::new(ServedRequest {
            requests: Rc::clone(self),
            progress: Cell::new(progress),
            id: OnceCell::new(),
        })
    }

    /// Number of requests in service.
    pub(crate) fn total(&self) -> u64 {
        self.counts.borrow().values().sum()
    }

    /// Number of requests in service that have got so far and no further.
    pub(crate) fn count(&self, progress: RequestProgress) -> u64 {
        self.counts.borrow().get(&progress).copied().unwrap_or(0)
    }

    fn add(&self, progress: RequestProgress) {
        *self.counts.borrow_mut().entry(progress).or_default() += 1;
    }

    fn remove(&self, progress: RequestProgress) {
        if let Some(count) = self.counts.borrow_mut().get_mut(&progress) {
            *count -= 1;
        }
    }
}

impl ServedRequest {
    pub(crate) fn progress(&self) -> RequestProgress {
        self.progress.get()
    }

    pub(crate) fn set_progress(&self, progress: RequestProgress) {
        self.requests.remove(self.progress.replace(progress));
        self.requests.add(progress);
    }

    /// Records that a worker is about to get the request.
    pub(crate) fn record_attempt(&self) {
        if self.progress.get() == RequestProgress::NotRun {
            self.set_progress(RequestProgress::MayHaveRun);
        }
    }

    /// Id of the request; `-` if it is not known or missing.
    pub(crate) fn id(&self) -> &str {
        self.id.get().map_or("-", String::as_str)
    }

    /// Records the id of the request, once its head has been read.
    pub(crate) fn set_id(&self, id: &str) {
        // The head is read once.
        self.id.set(id.to_owned()).ok();
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.requests.remove(self.progress.get());
    }
}
