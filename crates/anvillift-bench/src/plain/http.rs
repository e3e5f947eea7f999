//! HTTP interface of the stand-in plain service.
//!
//! Every path is served: `GET` and `HEAD` requests are readings, other methods
//! are commands. Two endpoints are for tests: `GET /v1/inspect` returns a
//! [`RunReport`], and `POST /v1/mode` replaces the [`PlainFaults`].

use std::future;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvillift_schema::upstream::UpstreamLoad;
use bytes::Bytes;
use futures_util::stream;
use salvo::conn::ConnCtrl;
use salvo::http::{Method, StatusCode};
use salvo::prelude::Json;
use salvo::{Depot, Request, Response, Router, handler};
use serde_json::json;
use tokio::time;

use super::runs::{Run, RunReport};
use super::settings::{Fault, PlainFaults};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const MAX_RUNNING_REQUESTS: u32 = 256;

/// State shared by the handlers.
pub(super) struct Shared {
    faults: Mutex<PlainFaults>,
    report: Mutex<RunReport>,
    running: AtomicU32,
}

impl Shared {
    pub(super) fn new(faults: PlainFaults) -> Self {
        Self {
            faults: Mutex::new(faults),
            report: Mutex::new(RunReport::default()),
            running: AtomicU32::new(0),
        }
    }

    pub(super) fn set_faults(&self, faults: PlainFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    pub(super) fn report(&self) -> RunReport {
        self.with_report(|report| report.clone())
    }

    pub(super) fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            running_requests: self.running.load(Ordering::Relaxed),
            max_running_requests: MAX_RUNNING_REQUESTS,
            ..UpstreamLoad::default()
        }
    }

    fn with_report<T>(&self, work: impl FnOnce(&mut RunReport) -> T) -> T {
        work(&mut self.report.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn delay(&self) -> Duration {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_millis(faults.delay_ms)
    }

    /// Returns the fault for a command that has just arrived and counts down
    /// `fault_count`.
    fn next_fault(&self) -> Fault {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut faults.fault_count {
            Some(0) => return Fault::None,
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        faults.fault
    }
}

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .push(Router::with_path("v1/inspect").get(Inspect(Arc::clone(shared))))
        .push(Router::with_path("v1/mode").post(ReplaceFaults(Arc::clone(shared))))
        .push(Router::with_path("{**rest}").goal(Serve(Arc::clone(shared))))
}

struct Serve(Arc<Shared>);

#[handler]
impl Serve {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        conn: &mut ConnCtrl,
    ) {
        let shared = &self.0;
        let _running = RunningGuard::new(shared);
        if req.method() == Method::GET || req.method() == Method::HEAD {
            time::sleep(shared.delay()).await;
            shared.with_report(|report| report.reads += 1);
            res.render(Json(json!({ "path": path(req), "reading": 42 })));
            return;
        }
        shared.with_report(|report| report.commands_seen += 1);
        let fault = shared.next_fault();
        if fault == Fault::CloseOnArrival {
            conn.abort();
            return future::pending().await;
        }
        let Ok(body) = req.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let number = record_run(shared, req, &body);
        time::sleep(shared.delay()).await;
        match fault {
            Fault::RunThenClose => {
                conn.abort();
                future::pending().await
            }
            Fault::Hang => future::pending().await,
            Fault::CutAnswer => res.stream(stream::iter([
                Ok(Bytes::from_static(b"{\"run\":")),
                Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
            ])),
            _ => res.render(Json(json!({ "path": path(req), "run": number }))),
        }
    }
}

fn record_run(shared: &Shared, req: &Request, body: &Bytes) -> usize {
    let header = |name: &str| {
        req.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let run = Run {
        method: req.method().to_string(),
        path: path(req),
        key: header("idempotency-key"),
        key_hash: header("anvillift-key-hash"),
        attempt: header("anvillift-attempt"),
        body: String::from_utf8_lossy(body).into_owned(),
    };
    shared.with_report(|report| {
        report.runs.push(run);
        report.runs.len()
    })
}

fn path(req: &Request) -> String {
    req.uri().path_and_query().map_or_else(String::new, ToString::to_string)
}

/// Counts a request as running until it is dropped.
struct RunningGuard<'a>(&'a Shared);

impl<'a> RunningGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
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
        match req.parse_json::<PlainFaults>().await {
            Ok(faults) => self.0.set_faults(faults),
            Err(_) => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }
}
