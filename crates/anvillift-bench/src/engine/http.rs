//! HTTP interface of the stand-in engine.
//!
//! It serves chat completions and orders, and two endpoints for tests:
//! `GET /v1/inspect` returns an [`EngineReport`], and `POST /v1/mode` replaces
//! the [`EngineFaults`].

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use anvillift_schema::upstream::{FencedOrder, UpstreamOrderAction};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::Json;
use salvo::{Depot, Request, Response, Router, handler};
use serde::Serialize;
use tokio::sync::watch;

use super::batch::SequenceRequest;
use super::orders::OrderState;
use super::prompt::{ChatRequest, Prompt};
use super::runner::Engine;
use super::settings::{EngineFaults, EngineSettings};
use super::stream::{self, StreamSettings};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// State shared by the handlers.
pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) engine: Arc<Engine>,
    pub(super) orders: Mutex<OrderState>,
    pub(super) leaving: watch::Sender<bool>,
    rng: Mutex<SmallRng>,
    requests: AtomicU64,
    failed: AtomicU64,
}

/// Counters and state of an engine, as returned by `GET /v1/inspect`.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Chat requests received, including those that failed.
    pub requests: u64,
    /// Requests answered with status 500 because of `fail_milli`.
    pub failed: u64,
    /// Answers whose final token was generated.
    pub completed: u64,
    /// Requests cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Requests admitted to the batch.
    pub running: usize,
    /// Requests not yet admitted to the batch.
    pub queued: usize,
    /// Prompt tokens prefilled.
    pub computed_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Answer tokens generated.
    pub answer_tokens: u64,
    /// Orders accepted, in order of arrival.
    pub orders: Vec<FencedOrder>,
    /// Names of the models that are loaded.
    pub models: Vec<anvillift_schema::name::Name>,
}

impl Shared {
    pub(super) fn new(
        settings: EngineSettings,
        engine: Arc<Engine>,
        leaving: watch::Sender<bool>,
    ) -> Self {
        let orders = OrderState::new(settings.checks_fencing, settings.models.clone());
        let rng = SmallRng::seed_from_u64(settings.seed.wrapping_add(1));
        Self {
            settings,
            engine,
            orders: Mutex::new(orders),
            leaving,
            rng: Mutex::new(rng),
            requests: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    pub(super) fn report(&self) -> EngineReport {
        let (totals, running, queued) = self.engine.with_batch(|batch| {
            (batch.totals(), batch.running_requests(), batch.queued_requests())
        });
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        EngineReport {
            requests: self.requests.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            completed: totals.completed,
            cancelled: totals.cancelled,
            running,
            queued,
            computed_tokens: totals.computed_tokens,
            cached_tokens: totals.cached_tokens,
            answer_tokens: totals.answer_tokens,
            orders: orders.accepted.clone(),
            models: orders.models.clone(),
        }
    }

    fn draw_failure(&self, faults: &EngineFaults) -> bool {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        faults.fail_milli > 0 && rng.random_range(0..1000) < faults.fail_milli
    }
}

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(Chat(Arc::clone(shared))))
        .push(Router::with_path("v1/orders").post(Orders(Arc::clone(shared))))
        .push(Router::with_path("v1/inspect").get(Inspect(Arc::clone(shared))))
        .push(Router::with_path("v1/mode").post(ReplaceFaults(Arc::clone(shared))))
}

struct Chat(Arc<Shared>);

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response) {
        let shared = &self.0;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let faults = shared.engine.faults();
        if shared.draw_failure(&faults) {
            shared.failed.fetch_add(1, Ordering::Relaxed);
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            return;
        }
        // The body is parsed regardless of its `Content-Type`, as model engines do.
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await.cloned().unwrap_or_default();
        let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let prompt = Prompt::new(&chat.messages);
        let sequence = sequence(&shared.settings, req, &chat, &prompt);
        let id = header(req, "anvillift-attempt").unwrap_or_default();
        if let Ok(id) = HeaderValue::from_str(&id) {
            res.headers_mut().insert("anvillift-attempt", id);
        }
        let stream_settings = StreamSettings {
            id,
            model: chat.model,
            answer_tokens: sequence.answer_tokens,
            first_event: sequence.first_index,
            reports_usage: shared.settings.reports_usage,
            break_after_tokens: faults.break_after_tokens,
        };
        let Some(answer) = shared.engine.submit(sequence) else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        };
        if chat.stream {
            stream::write_events(res, stream_settings, prompt, answer);
        } else {
            stream::write_complete(res, stream_settings, prompt, answer).await;
        }
    }
}

fn sequence(
    settings: &EngineSettings,
    req: &Request,
    chat: &ChatRequest,
    prompt: &Prompt,
) -> SequenceRequest {
    let number = |name| header(req, name).and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
    let first_index = if settings.can_resume { number("anvillift-resume-offset") } else { 0 };
    let requested_tokens = chat.max_tokens.unwrap_or(settings.default_answer_tokens);
    SequenceRequest {
        priority: number("anvillift-priority"),
        prompt_tokens: prompt.tokens + u64::from(first_index),
        blocks: prompt.blocks.clone(),
        first_index,
        answer_tokens: requested_tokens.clamp(1, settings.batch.max_answer_tokens),
    }
}

fn header(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(str::to_owned)
}

struct Orders(Arc<Shared>);

#[handler]
impl Orders {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response) {
        let Ok(order) = req.parse_json::<FencedOrder>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let is_leave_order = order.order.action == UpstreamOrderAction::Leave;
        let accepted = self.0.orders.lock().unwrap_or_else(PoisonError::into_inner).apply(order);
        if !accepted {
            res.status_code(StatusCode::CONFLICT);
        } else if is_leave_order {
            self.0.leaving.send_replace(true);
        }
    }
}

struct Inspect(Arc<Shared>);

#[handler]
impl Inspect {
    async fn handle(&self, _req: &mut Request, _depot: &mut Depot, res: &mut Response) {
        res.render(Json(self.0.report()));
    }
}

struct ReplaceFaults(Arc<Shared>);

#[handler]
impl ReplaceFaults {
    async fn handle(&self, req: &mut Request, _depot: &mut Depot, res: &mut Response) {
        match req.parse_json::<EngineFaults>().await {
            Ok(faults) => self.0.engine.set_faults(faults),
            Err(_) => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }
}
