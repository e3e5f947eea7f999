//! A worker: listens, reports itself to the cores, and passes each request to a closure.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::{Fleet, HEARTBEAT_MS, REGIONS, WORKER_PORT, ZONES};
use crate::http::{self, Channel, Head};

/// A request as a worker received it, whole.
pub struct Request {
    pub id: String,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Serves a request on its connection. Returns whether the connection is kept.
pub type Serve = Arc<dyn Fn(&Worker, &Request, &mut Channel) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    service: &'static str,
    region: usize,
    slots: u64,
    address: SocketAddr,
    serve: Serve,
    /// Version of its software.
    pub version: &'static str,
    sequence: Arc<AtomicU64>,
    born_ms: u64,
    /// Whether it has left, and reports itself no more.
    has_left: Arc<AtomicBool>,
    /// Whether it has ended.
    is_gone: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker whose address ends with `last`, and its reports.
    pub fn start(
        fleet: &Arc<Fleet>,
        last: u8,
        region: usize,
        (service, slots): (&'static str, u64),
        serve: Serve,
    ) -> Result<(), String> {
        Self::start_version(fleet, last, region, (service, slots), "v1", serve).map(|_| ())
    }

    /// The same for a worker of another software version.
    pub fn start_version(
        fleet: &Arc<Fleet>,
        last: u8,
        region: usize,
        (service, slots): (&'static str, u64),
        version: &'static str,
        serve: Serve,
    ) -> Result<Self, String> {
        let address = SocketAddr::from((fleet.ip(last), WORKER_PORT));
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Self {
            id: format!("i-{last}"),
            service,
            region,
            slots,
            address,
            serve,
            version,
            sequence: Arc::default(),
            born_ms: born.as_millis() as u64,
            has_left: Arc::default(),
            is_gone: Arc::default(),
        };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone() {
                    return;
                }
                let worker = accepting.clone();
                thread::spawn(move || worker.serve_connection(Channel::new(stream)));
            }
        });
        let (fleet, reporting) = (Arc::clone(fleet), worker.clone());
        thread::spawn(move || {
            while !reporting.has_left.load(Ordering::Relaxed) {
                reporting.report(&fleet);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        Ok(worker)
    }

    /// Says that it leaves. Returns whether a core has acknowledged that. It goes on serving
    /// until [`end`](Self::end).
    pub fn leave(&self, fleet: &Fleet) -> bool {
        self.has_left.store(true, Ordering::Relaxed);
        let path = format!("/-/instances/{}/leave", self.id);
        (0..REGIONS.len()).any(|offset| {
            let address = fleet.control_address((self.region + offset) % REGIONS.len());
            let answer = http::call(address, "POST", &path, "", Duration::from_secs(1));
            answer.is_ok_and(|(head, _)| head.status() == 200)
        })
    }

    /// Ends: its connections are closed at their next event.
    pub fn end(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
    }

    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }

    /// Reports to the core of the own region, or to the next one that acknowledges it.
    fn report(&self, fleet: &Fleet) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, ZONES[self.region], self.version, self.slots, self.born_ms
        );
        let path = format!("/-/instances/{}/heartbeat", self.id);
        for offset in 0..REGIONS.len() {
            let address = fleet.control_address((self.region + offset) % REGIONS.len());
            let answer = http::call(address, "POST", &path, &body, Duration::from_secs(1));
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                return;
            }
        }
    }

    fn serve_connection(&self, mut channel: Channel) {
        while let Ok(head) = channel.read_head() {
            let Ok(body) = channel.read_body(&head) else { return };
            let id = head.get("x-anvillift-request-id").unwrap_or_default().to_owned();
            let request = Request { id, head, body };
            if request.head.get("x-anvillift-expect-instance") != Some(&self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Anvillift-Request-Id: {}\r\n\
                     X-Anvillift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    request.id
                );
                if channel.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !(self.serve)(self, &request, &mut channel) {
                return;
            }
        }
    }
}

/// Head of a successful answer.
pub fn ok_head(id: &str, fields: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Anvillift-Request-Id: {id}\r\nX-Anvillift-Response-Stamp: s.{id}\r\n\
         {fields}\r\n"
    )
}
