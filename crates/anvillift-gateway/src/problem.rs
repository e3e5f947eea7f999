//! Refusals and errors as problem-details answers.

use anvillift_schema::code::Code;
use anvillift_schema::name::Name;
use anvillift_schema::public::{Outcome, Problem};
use salvo::http::{HeaderMap, StatusCode, header};

use crate::answer::{Answer, AnswerBody};
use crate::headers;

const MS_PER_S: u64 = 1000;
/// Detail of a refusal that says nothing about earlier requests under the same key.
const UNSENT_COMMAND_DETAIL: &str =
    "this request was not sent; an earlier one under the same key may have run";

/// Reason why the gateway answers a request itself, instead of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) detail: Option<String>,
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) hosts: Vec<String>,
    pub(crate) revision: Option<u64>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self {
            code,
            outcome: code.outcome(),
            detail: None,
            retry_after_ms: None,
            hosts: Vec::new(),
            revision: None,
        }
    }
}

impl Refusal {
    pub(crate) fn with_detail(code: Code, detail: impl Into<String>) -> Self {
        Self { detail: Some(detail.into()), ..Self::from(code) }
    }

    pub(crate) fn retry_after(code: Code, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..Self::from(code) }
    }

    /// The refusal of a command whose key was not looked up in the ledger. If it may be
    /// repeated, it may also be a repetition itself, so its outcome is unknown.
    pub(crate) fn before_lookup(self) -> Self {
        let may_be_repeated = matches!(self.code.status(), 421 | 429 | 502 | 503);
        if self.outcome != Outcome::NotRun || !may_be_repeated {
            return self;
        }
        Self { outcome: Outcome::Unknown, ..self }.of_unsent_command()
    }

    /// States that this request did not send the command, unless there is another detail.
    pub(crate) fn of_unsent_command(self) -> Self {
        let detail = self.detail.unwrap_or_else(|| UNSENT_COMMAND_DETAIL.to_owned());
        Self { detail: Some(detail), ..self }
    }

    /// Converts the refusal to problem details.
    pub(crate) fn problem(&self, request_id: Option<&Name>) -> Problem {
        Problem {
            outcome: self.outcome,
            detail: self.detail.clone(),
            retry_after_ms: self.retry_after_ms,
            hosts: self.hosts.clone(),
            revision: self.revision,
            request_id: request_id.cloned(),
            ..self.code.problem()
        }
    }

    /// Builds the answer with the problem details and their headers.
    pub(crate) fn answer(&self, request_id: Option<&Name>) -> Answer {
        let problem = self.problem(request_id);
        let body = serde_json::to_vec(&problem).expect("problem details can be written as JSON");
        let content_type = header::HeaderValue::from_static("application/problem+json");
        let mut map = HeaderMap::new();
        map.insert(header::CONTENT_TYPE, content_type);
        let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut answer = Answer { status, headers: map, body: AnswerBody::Complete(body.into()) };
        answer.set_header(headers::CODE, &problem.code.to_string());
        answer.set_header(headers::OUTCOME, &problem.outcome.to_string());
        if let Some(retry_after_ms) = problem.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
            answer.set_header("retry-after", &seconds.to_string());
        }
        answer
    }

    /// Builds the event that ends a truncated event stream.
    pub(crate) fn error_event(&self, request_id: Option<&Name>) -> String {
        let problem = serde_json::to_string(&self.problem(request_id));
        format!(
            "event: error\ndata: {}\n\n",
            problem.expect("problem details can be written as JSON")
        )
    }
}
