//! The router's count of requests in flight at each place.

use std::sync::Arc;

use anvillift_schema::name::Name;

use crate::gateway::Gateway;
use crate::request::Request;

/// A request that the router counts as in flight at a place. Dropping the guard removes it from the
/// count.
pub(crate) struct RouteGuard {
    gateway: Arc<Gateway>,
    service: Name,
    place: Name,
}

impl RouteGuard {
    pub(crate) fn new(gateway: &Arc<Gateway>, request: &Request, place: &Name) -> Self {
        Self { gateway: gateway.clone(), service: request.service.clone(), place: place.clone() }
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        self.gateway.router.lock().expect("lock").record_finished(&self.service, &self.place);
    }
}
