//! Writes a request to a connection and finds the head of its response.

use anvillift_http::{
    BodyReader, Connection, Framing, HeadLimits, HttpError, Progress, ResponseHead,
};

use crate::entry::request::Request;
use crate::entry::request_bytes::RequestBytes;

/// Most interim responses and late responses to earlier requests that are skipped.
const MAX_SKIPPED_HEADS: u32 = 16;
/// Largest body of a late response to an earlier request that is skipped, in bytes.
const MAX_SKIPPED_BODY_BYTES: u64 = 1024 * 1024;

/// Status after which the connection speaks another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Writes a request and reads the head of the response at the same time, since the
/// response may come before the entire request is written. A late response to an
/// earlier request, recognised by its request id, is skipped, as are interim
/// responses. `on_head` gets the head of each.
pub(super) async fn send_and_read(
    connection: &mut Connection,
    bytes: &RequestBytes,
    sent_bytes: &mut usize,
    request: &Request,
    id_field: &str,
    limits: HeadLimits,
    on_head: impl Fn(&ResponseHead),
) -> Result<ResponseHead, HttpError> {
    *sent_bytes += connection.try_write(bytes.after(0))?;
    let mut skipped_heads = 0;
    loop {
        while let Some(head) = connection.parse_response(limits)? {
            if head.status == SWITCHING_PROTOCOLS {
                return Err(HttpError::ProtocolSwitched);
            }
            on_head(&head);
            let is_interim = (100..200).contains(&head.status);
            let is_for_other_request =
                head.headers.get(id_field).is_some_and(|id| id != request.id);
            if !is_interim && !is_for_other_request {
                return Ok(head);
            }
            skipped_heads += 1;
            if skipped_heads > MAX_SKIPPED_HEADS {
                return Err(HttpError::TooManyHeads { limit: MAX_SKIPPED_HEADS });
            }
            if is_for_other_request {
                skip_body(connection, &head, &request.head.method).await?;
            }
        }
        match connection.write_or_read(bytes.after(*sent_bytes)).await? {
            Progress::Wrote(written_bytes) => *sent_bytes += written_bytes,
            Progress::Read => (),
            Progress::Closed => return Err(HttpError::Incomplete),
        }
    }
}

/// Reads and discards the body of a response to an earlier request.
async fn skip_body(
    connection: &mut Connection,
    head: &ResponseHead,
    method: &str,
) -> Result<(), HttpError> {
    let framing = Framing::of_response(head, method)?;
    if framing == Framing::UntilClose {
        return Err(HttpError::Incomplete);
    }
    let mut body = BodyReader::new(framing);
    connection.read_full_body(&mut body, MAX_SKIPPED_BODY_BYTES).await.map(|_| ())
}
