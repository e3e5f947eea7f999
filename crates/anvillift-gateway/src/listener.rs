//! The HTTP listener, which routes each path to its handler.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvillift_schema::code::Code;
use salvo::catcher::Catcher;
use salvo::conn::ConnCtrl;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Service, async_trait};

use crate::answer::Answer;
use crate::callers::caller_request::{self, CallerRequest};
use crate::callers::{directory, readiness};
use crate::control;
use crate::exporter;
use crate::gateway::Gateway;
use crate::headers;
use crate::operators;
use crate::problem::Refusal;
use crate::upstreams;

/// Path of chat completions, for callers that name the service in a header.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Bytes of a header line in addition to its name and value: `: ` and the line end.
const HEADER_LINE_BYTES: usize = 4;
const SERVICE_PREFIX: &str = "/s/";

/// Endpoints of the listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Endpoint {
    ServiceByPath,
    ServiceByHeader,
    Directory,
    Health,
    Metrics,
    Announce,
    OperatorHosts,
    OperatorUpstreams,
    OperatorConfiguration,
    OperatorBurn,
    OperatorChanges,
    OperatorChange,
    OperatorOrders,
    OperatorControl,
    OperatorReplace,
}

struct EndpointHandler {
    gateway: Arc<Gateway>,
    endpoint: Endpoint,
}

/// Builds the HTTP service with all endpoints of a gateway.
pub(crate) fn service(gateway: &Arc<Gateway>) -> Service {
    let handler = |endpoint| EndpointHandler { gateway: gateway.clone(), endpoint };
    let operator = Router::with_path("v1/operator")
        .push(Router::with_path("hosts").get(handler(Endpoint::OperatorHosts)))
        .push(Router::with_path("upstreams").get(handler(Endpoint::OperatorUpstreams)))
        .push(Router::with_path("burn").get(handler(Endpoint::OperatorBurn)))
        .push(Router::with_path("configuration").get(handler(Endpoint::OperatorConfiguration)))
        .push(Router::with_path("changes/{id}").get(handler(Endpoint::OperatorChange)))
        .push(Router::with_path("changes").post(handler(Endpoint::OperatorChanges)))
        .push(Router::with_path("orders").post(handler(Endpoint::OperatorOrders)))
        .push(Router::with_path("control/replace").post(handler(Endpoint::OperatorReplace)))
        .push(Router::with_path("control").get(handler(Endpoint::OperatorControl)));
    let router = Router::new()
        .push(Router::with_path("s/{service}/{**rest}").goal(handler(Endpoint::ServiceByPath)))
        .push(Router::with_path("v1/chat/completions").post(handler(Endpoint::ServiceByHeader)))
        .push(Router::with_path("v1/hosts").get(handler(Endpoint::Directory)))
        .push(Router::with_path("healthz").get(handler(Endpoint::Health)))
        .push(Router::with_path("metrics").get(handler(Endpoint::Metrics)))
        .push(Router::with_path("v1/upstreams/announce").post(handler(Endpoint::Announce)))
        .push(operator);
    Service::new(router).catcher(Catcher::default().hoop(ProblemCatcher))
}

#[async_trait]
impl Handler for EndpointHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let answer = match self.run(request).await {
            Ok(answer) => answer,
            Err(refusal) => refusal.answer(None),
        };
        answer.write(response);
        if self.gateway.draining.load(Ordering::Acquire) {
            // The connection ends with this answer, before the caller can send on it again.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl EndpointHandler {
    async fn run(&self, request: &mut Request) -> Result<Answer, Refusal> {
        let gateway = &self.gateway;
        check_head(gateway, request)?;
        match self.endpoint {
            Endpoint::ServiceByPath | Endpoint::ServiceByHeader => {
                let incoming = self.caller_request(request)?;
                Ok(caller_request::handle(gateway, incoming).await)
            }
            Endpoint::Directory => {
                directory::hosts(gateway, request.headers(), request.query("service"))
            }
            Endpoint::Health => Ok(readiness::health(gateway)),
            Endpoint::Metrics => Ok(exporter::page(gateway)),
            Endpoint::Announce => {
                upstreams::check_key(gateway, request.headers())?;
                let body = read_body(gateway, request, upstreams::MAX_ANNOUNCEMENT_BYTES).await?;
                upstreams::announce(gateway, &body)
            }
            operator => {
                operators::check_key(gateway, request.headers())?;
                self.run_operator(operator, request).await
            }
        }
    }

    async fn run_operator(
        &self,
        endpoint: Endpoint,
        request: &mut Request,
    ) -> Result<Answer, Refusal> {
        let gateway = &self.gateway;
        match endpoint {
            Endpoint::OperatorBurn => Ok(operators::burn(gateway)),
            Endpoint::OperatorHosts => Ok(operators::hosts(gateway)),
            Endpoint::OperatorUpstreams => Ok(operators::upstreams(gateway)),
            Endpoint::OperatorControl => control::control_status(gateway),
            Endpoint::OperatorChange => {
                let id: String = request.param("id").ok_or(Code::NotFound)?;
                control::change_status(gateway, &id).await
            }
            Endpoint::OperatorChanges | Endpoint::OperatorOrders | Endpoint::OperatorReplace => {
                let body = read_body(gateway, request, control::MAX_CHANGE_BYTES).await?;
                match endpoint {
                    Endpoint::OperatorChanges => control::submit_change(gateway, &body).await,
                    Endpoint::OperatorOrders => control::submit_order(gateway, &body).await,
                    _ => control::replace(gateway, &body).await,
                }
            }
            _ => Ok(operators::configuration(gateway)),
        }
    }

    fn caller_request(&self, request: &mut Request) -> Result<CallerRequest, Refusal> {
        let uri = request.uri().clone();
        let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let (service, path) = if self.endpoint == Endpoint::ServiceByHeader {
            let service = headers::text(request.headers(), headers::SERVICE);
            (service.ok_or_else(missing_service)?.to_owned(), CHAT_PATH.to_owned())
        } else {
            split_path(uri.path()).ok_or(Code::NotFound)?
        };
        let connection = request.extensions().get::<ConnCtrl>().cloned().unwrap_or_default();
        Ok(CallerRequest {
            service,
            method: request.method().clone(),
            path: path + &query,
            headers: request.headers().clone(),
            body: request.take_body(),
            connection,
        })
    }
}

/// Splits `/s/{service}/{path}` into service and path, which stay percent-encoded.
fn split_path(path: &str) -> Option<(String, String)> {
    let (service, rest) = path.strip_prefix(SERVICE_PREFIX)?.split_once('/')?;
    Some((service.to_owned(), format!("/{rest}")))
}

/// Refuses a request whose head is larger than the limit of the settings.
fn check_head(gateway: &Gateway, request: &Request) -> Result<(), Refusal> {
    let headers = request.headers().iter();
    let headers_bytes: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES).sum();
    let limit_bytes = gateway.settings.limits.max_header_bytes;
    let head_bytes = (request.uri().to_string().len() + headers_bytes) as u64;
    if head_bytes > limit_bytes { Err(Code::HeadTooLarge.into()) } else { Ok(()) }
}

fn missing_service() -> Refusal {
    Refusal::with_detail(Code::MalformedRequest, "the header Anvillift-Service is missing")
}

async fn read_body(
    gateway: &Gateway,
    request: &mut Request,
    limit_bytes: u64,
) -> Result<bytes::Bytes, Refusal> {
    let expected_bytes = crate::callers::check_length(request.headers(), limit_bytes)?;
    let timeout_ms = gateway.settings.limits.body_timeout_ms;
    crate::callers::read_body(request.take_body(), expected_bytes, limit_bytes, timeout_ms).await
}

/// Converts the refusals of the HTTP server itself to problem details.
struct ProblemCatcher;

#[async_trait]
impl Handler for ProblemCatcher {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let code = match response.status_code {
            Some(StatusCode::NOT_FOUND) => Code::NotFound,
            Some(StatusCode::METHOD_NOT_ALLOWED) => Code::MethodNotAllowed,
            Some(StatusCode::PAYLOAD_TOO_LARGE) => Code::BodyTooLarge,
            Some(status) if status.is_client_error() => Code::MalformedRequest,
            _ => Code::Internal,
        };
        Refusal::from(code).answer(None).write(response);
        flow.skip_rest();
    }
}
