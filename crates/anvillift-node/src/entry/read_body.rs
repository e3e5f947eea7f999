//! Reads the body of a request, within its size limit and the memory for bodies.

use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HttpError, RequestHead};
use anvillift_schema::code::Code;
use bytes::Bytes;
use tokio::time;

use crate::entry::Entry;
use crate::entry::body_memory::BodyReservation;
use crate::entry::front::ConnectionAction;

/// Longest time for receiving a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Steps in which memory is reserved for a body whose length is unknown, in bytes.
const GROWTH_BYTES: u64 = 256 * 1024;
/// Longest time for which the rest of a refused body is read and discarded, so that its sender
/// gets the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a body was not read.
enum BodyError {
    Http(HttpError),
    OutOfMemory,
}

/// A body with the memory that is reserved for it; `None` if the request has none.
pub(super) type ReservedBody<'a> = (Option<Bytes>, Option<BodyReservation<'a>>);

impl Entry {
    /// Reads the body of a request. If that fails, the request is answered here unless the
    /// connection failed, and the error is what to do with the connection.
    pub(super) async fn read_body(
        &self,
        connection: &mut Connection,
        head: &RequestHead,
        framing: Framing,
        limit_bytes: u64,
    ) -> Result<ReservedBody<'_>, ConnectionAction> {
        let first_bytes = match framing {
            Framing::None => return Ok((None, None)),
            Framing::Length(bytes) if bytes > limit_bytes => {
                let detail = "Content-Length exceeds the limit";
                return Err(self.reject(connection, Code::BodyTooLarge, detail).await);
            }
            Framing::Length(bytes) => bytes,
            Framing::Chunked | Framing::UntilClose => 0,
        };
        let Some(mut reservation) = self.body_memory.reserve(first_bytes) else {
            return Err(self.reject_for_memory(connection).await);
        };
        if head.headers.has_token("expect", "100-continue")
            && connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return Err(ConnectionAction::Close);
        }
        let mut reader = BodyReader::new(framing);
        let read = collect(connection, &mut reader, limit_bytes, &mut reservation);
        match time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), read).await {
            Ok(Ok(body)) => Ok((Some(body), Some(reservation))),
            Ok(Err(BodyError::Http(error))) => {
                Err(self.reject_unreadable(connection, &error).await)
            }
            Ok(Err(BodyError::OutOfMemory)) => {
                drop(reservation);
                Err(self.reject_for_memory(connection).await)
            }
            Err(_) => {
                Err(self.reject(connection, Code::SlowSender, "body not received in time").await)
            }
        }
    }

    async fn reject_for_memory(&self, connection: &mut Connection) -> ConnectionAction {
        let detail = "memory for request bodies is exhausted";
        let action = self.reject(connection, Code::Overloaded, detail).await;
        // Closing a connection with unread bytes would reset it before the answer is read.
        time::timeout(DISCARD_TIMEOUT, connection.discard_until_close()).await.ok();
        action
    }
}

/// Reads a body to its end. The memory is reserved before the body takes it.
async fn collect(
    connection: &mut Connection,
    reader: &mut BodyReader,
    limit_bytes: u64,
    reservation: &mut BodyReservation<'_>,
) -> Result<Bytes, BodyError> {
    let mut collected: Vec<u8> = Vec::new();
    while let Some(data) = connection.read_body(reader).await.map_err(BodyError::Http)? {
        let length = collected.len() + data.len();
        if length as u64 > limit_bytes {
            return Err(BodyError::Http(HttpError::BodyTooLarge { limit_bytes }));
        }
        if length > collected.capacity() {
            let capacity = (length as u64).next_multiple_of(GROWTH_BYTES).min(limit_bytes);
            if !reservation.grow_to(capacity) {
                return Err(BodyError::OutOfMemory);
            }
            // Exact, since the usual doubling would take memory that isn't reserved.
            collected.reserve_exact(capacity as usize - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.into())
}
