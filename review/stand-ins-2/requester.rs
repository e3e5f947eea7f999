//! Requesters: ask the directory, open a new channel for each try, and retry as the pages say.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, CallError};
use crate::record::{self, unix_ms};

/// Time for which an answer of the directory is kept.
const DIRECTORY_TTL: Duration = Duration::from_millis(2_000);

/// Longest part of an answer of the system's own that is recorded, in characters.
const MAX_RECORDED: usize = 60;

static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// A number that looks random and differs at each call.
pub fn draw() -> u64 {
    let mut value = NUMBERS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^= u64::from(std::process::id()) << 32;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A kind of request.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub path: &'static str,
    pub is_idempotent: bool,
    pub time_limit_ms: u64,
    /// Shared parts before the request's own part, for requests with a prompt.
    pub has_prompt: bool,
}

/// One try of a requester.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub kind: &'static str,
    pub address: SocketAddr,
    pub is_first: bool,
    pub sent_ms: u64,
    pub outcome: String,
    pub is_served: bool,
    /// Body of the answer, as far as it came.
    pub body: String,
}

/// The requesters of one zone.
pub struct Requesters {
    pub directories: Vec<SocketAddr>,
    pub region: &'static str,
    pub zone: &'static str,
    cached: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    pub tries: Arc<Mutex<Vec<Try>>>,
}

impl Requesters {
    pub fn new(
        directories: Vec<SocketAddr>,
        region: &'static str,
        zone: &'static str,
        tries: Arc<Mutex<Vec<Try>>>,
    ) -> Arc<Self> {
        Arc::new(Self { directories, region, zone, cached: Mutex::default(), tries })
    }

    /// Addresses of the front machines, from the directory.
    fn addresses(&self) -> Vec<SocketAddr> {
        if let Some((at, addresses)) = &*self.cached.lock().unwrap() {
            if at.elapsed() < DIRECTORY_TTL {
                return addresses.clone();
            }
        }
        let target =
            format!("/-/resolve?name=app.example&region={}&zone={}", self.region, self.zone);
        for directory in self.directories.iter().take(3) {
            let request = http::simple("GET", &target, "");
            let deadline = Instant::now() + Duration::from_millis(1_000);
            let Ok(answer) = http::call(*directory, &request, deadline) else { continue };
            let addresses = listed(&String::from_utf8_lossy(&answer.body));
            if answer.status() == 200 && !addresses.is_empty() {
                *self.cached.lock().unwrap() = Some((Instant::now(), addresses.clone()));
                return addresses;
            }
        }
        // Longer if no new one can be had.
        self.cached.lock().unwrap().as_ref().map(|(_, kept)| kept.clone()).unwrap_or_default()
    }

    /// Sends a request with its retries, on a thread of its own.
    pub fn send(self: &Arc<Self>, kind: &Kind) {
        let (requesters, kind) = (Arc::clone(self), kind.clone());
        thread::spawn(move || requesters.send_now(&kind, None));
    }

    /// Sends a request to one front machine, without retries, on a thread of its own.
    pub fn send_to(self: &Arc<Self>, kind: &Kind, address: SocketAddr) {
        let (requesters, kind) = (Arc::clone(self), kind.clone());
        thread::spawn(move || requesters.send_now(&kind, Some(address)));
    }

    fn send_now(&self, kind: &Kind, only: Option<SocketAddr>) {
        let until = Instant::now() + Duration::from_millis(kind.time_limit_ms);
        let mut failed: Option<SocketAddr> = None;
        for round in 0..2 {
            let mut addresses = only.map_or_else(|| self.addresses(), |address| vec![address]);
            if addresses.len() > 1 {
                addresses.retain(|address| Some(*address) != failed);
            }
            if addresses.is_empty() {
                return;
            }
            let address = addresses[draw() as usize % addresses.len()];
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(20) {
                return;
            }
            let (id, request) = request_of(kind, left);
            let sent_ms = unix_ms();
            let answer = http::call(address, &request, until);
            let (outcome, is_served, status) = match &answer {
                Ok(answer) => {
                    let has_stamp = answer.header("X-Anvillift-Response-Stamp").is_some();
                    let is_served = answer.status() == 200 && has_stamp && answer.is_complete;
                    let cut = if answer.is_complete { "" } else { " cut" };
                    let body = String::from_utf8_lossy(&answer.body);
                    let body: String = body.trim().chars().take(MAX_RECORDED).collect();
                    let own = if has_stamp { String::new() } else { format!(" {body}") };
                    (format!("{}{cut}{own}", answer.status()), is_served, answer.status())
                }
                Err(error) => (format!("{error:?}"), false, 0),
            };
            let ended_ms = unix_ms();
            let tried = Try {
                id,
                kind: kind.name,
                address,
                is_first: round == 0,
                sent_ms,
                outcome,
                is_served,
                body: answer.as_ref().map_or(String::new(), |answer| {
                    String::from_utf8_lossy(&answer.body).into_owned()
                }),
            };
            record::line_at(
                ended_ms,
                &format!(
                    "{} {} to {address} sent at {} answered {}",
                    tried.kind,
                    tried.id,
                    record::since_start(sent_ms),
                    tried.outcome
                ),
            );
            self.tries.lock().unwrap().push(tried);
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            let may_retry = match &answer {
                Ok(answer) if answer.status() / 100 == 2 && answer.is_complete => false,
                Ok(_) => is_promise || (kind.is_idempotent && !(400..500).contains(&status)),
                Err(CallError::NoChannel) => true,
                Err(_) => kind.is_idempotent,
            };
            if !may_retry || only.is_some() {
                return;
            }
            failed = Some(address);
            let wait = answer.ok().and_then(|answer| {
                answer.header("Retry-After").and_then(|text| text.parse::<f64>().ok())
            });
            let left = until.saturating_duration_since(Instant::now());
            let wait = Duration::from_secs_f64(wait.unwrap_or(0.05).clamp(0.0, 60.0));
            thread::sleep(wait.min(left / 3));
        }
    }
}

/// The bytes of a request and its id.
fn request_of(kind: &Kind, left: Duration) -> (String, Vec<u8>) {
    let id = format!("{:016x}", draw());
    let prompt = if kind.has_prompt {
        format!(
            "X-Anvillift-Model: m\r\nX-Anvillift-Token-Counts: 291,48\r\n\
             X-Anvillift-Prompt-Prefix: 5c1e07a2:55,{:x}:37,{:x}:199\r\n",
            0x91bd_0000 + draw() % 300,
            draw()
        )
    } else {
        String::new()
    };
    let body = format!("{{\"ask\":\"{id}\"}}");
    let text = format!(
        "POST {}{id} HTTP/1.1\r\nHost: app.example\r\nX-Anvillift-Request-Id: {id}\r\n{prompt}\
         X-Anvillift-Deadline: {}\r\nContent-Length: {}\r\n\r\n{body}",
        kind.path,
        left.as_millis(),
        body.len()
    );
    (id, text.into_bytes())
}

/// The addresses in an answer of the directory.
fn listed(body: &str) -> Vec<SocketAddr> {
    let list = body.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
    let Some((list, _)) = list else { return Vec::new() };
    list.split(',').filter_map(|text| text.trim().trim_matches('"').parse().ok()).collect()
}
