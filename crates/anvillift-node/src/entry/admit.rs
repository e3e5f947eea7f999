//! From the head of a request to a request that may be served.

use anvillift_http::RequestHead;
use anvillift_schema::name::Name;
use bytes::Bytes;
use rand::Rng;

use crate::clock;
use crate::entry::Entry;
use crate::entry::attempt::{FORWARDED, NOT_RUN_THERE};
use crate::entry::final_answer::GivenUp;
use crate::entry::front::Origin;
use crate::entry::request::Request;

/// Time after the planned stop began from which nothing new is begun, since it
/// might outlast the grace, in milliseconds.
const BEGIN_UNTIL_MS: u64 = 2_500;

impl Entry {
    /// Finds the route of a request, and its time.
    pub(crate) fn admit(
        &self,
        mut head: RequestHead,
        body: Option<Bytes>,
        origin: Origin,
        arrived_ms: u64,
    ) -> Result<Request, GivenUp> {
        let names = &self.node.dialect.headers;
        let known = self.node.known.borrow();
        let Some(configuration) = &known.configuration else {
            return Err(GivenUp::NO_CONFIGURATION);
        };
        let host = head.headers.get("host").unwrap_or_default();
        let Some(route) = known.routes.find(host, head.path()).cloned() else {
            return Err(GivenUp::NO_ROUTE);
        };
        let Some(id) = head.headers.get(names.request_id).map(str::to_owned) else {
            return Err(GivenUp::NO_ID);
        };
        if self.is_too_late_to_begin() {
            return Err(GivenUp::LEAVING);
        }
        let asked_ms = head.headers.get(names.deadline_ms).and_then(|text| text.parse().ok());
        let wait_ms = asked_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let draw = self.load.borrow_mut().rng.random();
        let service = route.target(draw).map(|target| target.service.clone());
        let service = service.unwrap_or_else(Name::default);
        let prompt = (self.node.dialect.decode_prompt)(&head.headers);
        let minor_version = head.minor_version;
        self.strip(&mut head);
        Ok(Request {
            head,
            body,
            id,
            route,
            service,
            prompt,
            origin,
            arrived_ms,
            end_ms: arrived_ms + wait_ms,
            minor_version,
            version: configuration.version,
        })
    }

    /// Removes what concerns the caller's connection or only this system may set.
    fn strip(&self, head: &mut RequestHead) {
        let names = &self.node.dialect.headers;
        head.headers.remove_hop_by_hop();
        let own = [names.deadline_ms, names.expected_worker, names.engine_priority, FORWARDED];
        let framing = ["content-length", "expect", NOT_RUN_THERE];
        head.headers.retain(|name| {
            let dropped = own.iter().chain(&framing).chain(names.system_only);
            !dropped.into_iter().any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
        });
    }

    /// Whether a request that begins now would be cut by the planned stop.
    fn is_too_late_to_begin(&self) -> bool {
        let Some(since_ms) = self.leaving_since_ms.get() else { return false };
        let until_ms = BEGIN_UNTIL_MS.min(self.node.settings.grace_ms / 2);
        clock::now_ms() > since_ms + until_ms
    }
}
