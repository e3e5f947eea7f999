//! Log line and metrics of a relayed answer.

use anvillift_http::Framing;
use anvillift_schema::event::Event;
use anvillift_schema::name::Name;

use crate::entry::answer_outcome::AnswerOutcome;
use crate::entry::request::Request;
use crate::entry::response_writer::ResponseWriter;
use crate::entry::upstream_response::UpstreamResponse;

/// Facts about the last upstream response of an answer, for its log line.
pub(super) struct EndedResponse {
    from: Name,
    status: u16,
    framing: Framing,
    /// Bytes after the last complete event of a stream, otherwise 0.
    partial_bytes: u64,
}

impl EndedResponse {
    pub(super) fn of(upstream: &UpstreamResponse) -> Self {
        Self {
            from: upstream.target.name.clone(),
            status: upstream.head.status,
            framing: upstream.framing,
            partial_bytes: upstream.partial_bytes(),
        }
    }
}

/// Logs how the answer to a caller ended and records its metrics.
pub(super) fn record_answer(
    request: &Request,
    response: &EndedResponse,
    writer: &ResponseWriter,
    outcome: AnswerOutcome,
) {
    let age_ms = request.age_ms();
    let first_ms = writer.first_write_ms.map_or(age_ms, |ms| ms - request.arrived_ms);
    log::info!(
        event = Event::AnswerEnded.number(), id = request.id.as_str(),
        route = request.route.name.as_str(), from = response.from.as_str(),
        status = response.status, first_ms = first_ms, age_ms = age_ms,
        parts = writer.chunks_written, pause_ms = writer.longest_pause_ms,
        framing = response.framing.to_string(), partial_bytes = response.partial_bytes,
        team = request.team_text(), version = request.version;
        "answer {outcome}"
    );
    metrics::counter!("anvillift_answers_total", "outcome" => outcome.to_string()).increment(1);
    metrics::histogram!("anvillift_first_byte_ms", "kind" => request.route.kind.to_string())
        .record(first_ms as f64);
    metrics::histogram!("anvillift_answer_ms", "kind" => request.route.kind.to_string())
        .record(age_ms as f64);
}
