//! Metrics of the process, and the `/metrics` page.
//!
//! The recorder belongs to the process: a daemon installs it once, before it starts its gateway.
//! Without a recorder, metrics are discarded and the page answers with [`Code::NotFound`].

use std::sync::OnceLock;

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use metrics::{counter, gauge};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::answer::{self, Answer};
use crate::gateway::Gateway;
use crate::problem::Refusal;

const UNKNOWN_SERVICE: &str = "unknown";

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process. Fails if one is already installed.
pub fn install_metrics() -> Result<(), BuildError> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    let _ = RECORDER.set(handle);
    Ok(())
}

/// Renders the `/metrics` page.
pub(crate) fn page(gateway: &Gateway) -> Answer {
    let Some(recorder) = RECORDER.get() else {
        return Refusal::from(Code::NotFound).answer(None);
    };
    set_gauges(gateway);
    recorder.run_upkeep();
    answer::text(recorder.render())
}

/// Counts a request by its service and the status of its answer. Unknown services share one label
/// value, so that callers cannot add series.
pub(crate) fn count_request(gateway: &Gateway, service: &str, answer: &Answer) {
    let is_configured = gateway.configuration.load().services.contains_key(service);
    let service = if is_configured { service } else { UNKNOWN_SERVICE };
    let labels = [("service", service.to_owned()), ("status", answer.status.as_u16().to_string())];
    counter!("anvillift_requests_total", &labels).increment(1);
}

/// Counts a failed attempt by its result code.
pub(crate) fn count_failed_attempt(code: Code) {
    counter!("anvillift_failed_attempts_total", "code" => code.number().to_string()).increment(1);
}

/// Counts a forwarded request by the region of the host that receives it.
pub(crate) fn count_forwarded(region: &Name) {
    counter!("anvillift_forwarded_total", "region" => region.to_string()).increment(1);
}

/// Counts a stream that was resumed at its upstream.
pub(crate) fn count_resumed() {
    counter!("anvillift_resumed_streams_total").increment(1);
}

fn set_gauges(gateway: &Gateway) {
    let snapshot = gateway.snapshot.load();
    let alive = snapshot.view.hosts.values().filter(|host| host.alive).count();
    gauge!("anvillift_requests_in_flight").set(f64::from(gateway.in_flight.count()));
    gauge!("anvillift_upstreams").set(snapshot.view.upstreams.len() as f64);
    gauge!("anvillift_hosts_alive").set(alive as f64);
    gauge!("anvillift_links_up").set(gateway.mesh().linked_hosts().len() as f64);
    gauge!("anvillift_configuration_revision").set(gateway.configuration.load().revision as f64);
}
