//! A request under way at a place, as the router counts it.

use std::sync::Arc;

use anvillift_schema::name::Name;

use crate::gateway::Gateway;
use crate::request::Request;

/// Tells the router when the request has ended.
pub(crate) struct UnderWay {
    gateway: Arc<Gateway>,
    service: Name,
    place: Name,
}

impl UnderWay {
    pub(crate) fn new(gateway: &Arc<Gateway>, request: &Request, place: &Name) -> Self {
        Self { gateway: gateway.clone(), service: request.service.clone(), place: place.clone() }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.gateway.router.lock().expect("lock").finished(&self.service, &self.place);
    }
}
