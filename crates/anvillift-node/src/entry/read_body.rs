//! Reads the body of a request, within its size limit and the memory for bodies.

use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HttpError, RequestHead};
use anvillift_schema::code::Code;
use bytes::Bytes;
use tokio::time;

use crate::entry::Entry;
use crate::entry::body_memory::BodyReservation;
use crate::entry::front::ConnectionAction;
use crate::entry::served_request::ServedRequest;

/// Longest time for receiving a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Part of its length by which the memory of a body grows if that isn't known before, and the
/// least and the largest step, in bytes.
const GROWTH_PART: usize = 4;
const MIN_GROWTH_BYTES: usize = 4 * 1024;
const MAX_GROWTH_BYTES: usize = 256 * 1024;

/// Why a body was not read.
enum BodyError {
    Http(HttpError),
    OutOfMemory,
}

/// The body of a request.
#[derive(Default)]
pub(super) struct ReceivedBody<'a> {
    /// Its bytes; `None` if the request has no body.
    pub(super) bytes: Option<Bytes>,
    /// The memory reserved for it, to be kept until the request has ended.
    pub(super) reservation: Option<BodyReservation<'a>>,
}

impl Entry {
    /// Reads the body of a request. If that fails, the request is answered here unless the
    /// connection failed, and the error is what to do with the connection.
    pub(super) async fn read_body(
        &self,
        connection: &mut Connection,
        served: &ServedRequest,
        head: &RequestHead,
        framing: Framing,
        limit_bytes: u64,
    ) -> Result<ReceivedBody<'_>, ConnectionAction> {
        let announced_bytes = match framing {
            Framing::None => return Ok(ReceivedBody::default()),
            Framing::Length(bytes) if bytes > limit_bytes => {
                let detail = "Content-Length exceeds the limit";
                return Err(self.reject(connection, served, Code::BodyTooLarge, detail).await);
            }
            Framing::Length(bytes) => bytes,
            Framing::Chunked | Framing::UntilClose => 0,
        };
        let Some(mut reservation) = self.body_memory.reserve(announced_bytes) else {
            return Err(self.reject_for_memory(connection, served).await);
        };
        if head.headers.has_token("expect", "100-continue")
            && connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return Err(ConnectionAction::Close);
        }
        let mut reader = BodyReader::new(framing);
        let collected = Vec::with_capacity(announced_bytes as usize);
        let read = collect(connection, &mut reader, collected, limit_bytes, &mut reservation);
        match time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), read).await {
            Ok(Ok(bytes)) => {
                Ok(ReceivedBody { bytes: Some(bytes), reservation: Some(reservation) })
            }
            Ok(Err(BodyError::Http(error))) => {
                Err(self.reject_unreadable(connection, served, &error).await)
            }
            Ok(Err(BodyError::OutOfMemory)) => {
                drop(reservation);
                Err(self.reject_for_memory(connection, served).await)
            }
            Err(_) => {
                let detail = "body not received in time";
                Err(self.reject(connection, served, Code::SlowSender, detail).await)
            }
        }
    }

    async fn reject_for_memory(
        &self,
        connection: &mut Connection,
        served: &ServedRequest,
    ) -> ConnectionAction {
        let detail = "memory for request bodies is exhausted";
        self.reject(connection, served, Code::Overloaded, detail).await
    }
}

/// Reads a body to its end. The memory is reserved before the body takes it.
async fn collect(
    connection: &mut Connection,
    reader: &mut BodyReader,
    mut collected: Vec<u8>,
    limit_bytes: u64,
    reservation: &mut BodyReservation<'_>,
) -> Result<Bytes, BodyError> {
    while let Some(data) = connection.read_body(reader).await.map_err(BodyError::Http)? {
        let length = collected.len() + data.len();
        if length as u64 > limit_bytes {
            return Err(BodyError::Http(HttpError::BodyTooLarge { limit_bytes }));
        }
        if length > collected.capacity() {
            let step = (length / GROWTH_PART).clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
            let capacity = length + step;
            if !reservation.grow_to(capacity as u64) {
                return Err(BodyError::OutOfMemory);
            }
            // Exact, since the usual doubling would take memory that isn't reserved.
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.into())
}
