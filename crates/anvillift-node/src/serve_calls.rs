//! HTTP server for short calls: the control plane, the directory, readiness and
//! metrics.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HeadLimits, HttpError, RequestHead};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::{task, time};

use crate::call_count::CallCount;
use crate::listen;
use crate::respond::Reply;

/// Limits of the head of a call.
const HEAD_LIMITS: HeadLimits = HeadLimits { bytes: 16 * 1024, fields: 128 };
/// Largest accepted body of a call, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest time for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Future of the answer to a call.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = Reply>>>;
/// Handler that answers a call from its head and body.
pub(crate) type AnswerCall = Rc<dyn Fn(RequestHead, Bytes) -> ReplyFuture>;

/// Starts a task that accepts connections and answers their calls, which `calls` counts.
pub(crate) fn serve(listener: TcpListener, calls: &CallCount, answer: AnswerCall) {
    let calls = calls.clone();
    task::spawn_local(async move {
        loop {
            let stream = listen::accept(&listener).await;
            let (calls, answer) = (calls.clone(), Rc::clone(&answer));
            task::spawn_local(async move {
                let connection = Connection::new(stream);
                if let Err(error) = serve_connection(&calls, &answer, connection).await {
                    log::debug!("cannot serve calls on a connection: {error}");
                }
            });
        }
    });
}

async fn serve_connection(
    calls: &CallCount,
    answer: &AnswerCall,
    mut connection: Connection,
) -> Result<(), HttpError> {
    loop {
        let read = time::timeout(IDLE_TIMEOUT, connection.read_request(HEAD_LIMITS)).await;
        let Ok(read) = read else { return Ok(()) };
        let head = match read {
            Ok(head) => head,
            Err(HttpError::Closed) => return Ok(()),
            Err(error) => return reject(&connection, &error).await,
        };
        let _call = calls.begin();
        let framing = match Framing::of_request(&head) {
            Ok(framing) => framing,
            Err(error) => return reject(&connection, &error).await,
        };
        let mut reader = BodyReader::new(framing);
        let body = connection.read_full_body(&mut reader, MAX_BODY_BYTES);
        let Ok(body) = time::timeout(BODY_TIMEOUT, body).await else { return Ok(()) };
        let body = body?;
        let keeps_alive = head.keeps_alive();
        let mut reply = answer(head, body).await;
        reply.closes_connection |= !keeps_alive;
        let closes_connection = reply.closes_connection;
        reply.write(&connection).await?;
        if closes_connection {
            return Ok(());
        }
    }
}

async fn reject(connection: &Connection, error: &HttpError) -> Result<(), HttpError> {
    let status = if matches!(error, HttpError::HeadTooLarge { .. }) { 431 } else { 400 };
    Ok(Reply::new(status, b"{}".to_vec()).close_connection().write(connection).await?)
}
