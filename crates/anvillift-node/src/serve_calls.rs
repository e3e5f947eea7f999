//! Connections over which short calls are answered: the control plane, the
//! directory, readiness and metrics.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use anvillift_http::{BodyReader, Connection, Framing, HttpError, RequestHead};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::{task, time};

use crate::listen;
use crate::respond::Reply;

/// Largest head, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Largest body, in bytes.
const BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest time for a body.
const BODY_WITHIN: Duration = Duration::from_secs(5);
/// Longest time without a call.
const IDLE: Duration = Duration::from_secs(30);

/// The answer to a call, once it is there.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = Reply>>>;
/// Answers a call.
pub(crate) type AnswerCall = Rc<dyn Fn(RequestHead, Bytes) -> ReplyFuture>;

/// Serves the connections of a listener.
pub(crate) fn serve(listener: TcpListener, answer: AnswerCall) {
    task::spawn_local(async move {
        loop {
            let stream = listen::accept(&listener).await;
            let answer = Rc::clone(&answer);
            task::spawn_local(async move {
                if let Err(error) = serve_connection(&answer, Connection::new(stream)).await {
                    log::debug!("a connection for calls ended: {error}");
                }
            });
        }
    });
}

async fn serve_connection(
    answer: &AnswerCall,
    mut connection: Connection,
) -> Result<(), HttpError> {
    loop {
        let read = time::timeout(IDLE, connection.read_request(HEAD_BYTES)).await;
        let Ok(read) = read else { return Ok(()) };
        let head = match read {
            Ok(head) => head,
            Err(HttpError::Closed) => return Ok(()),
            Err(error) => return refuse(&connection, &error).await,
        };
        let framing = match Framing::of_request(&head) {
            Ok(framing) => framing,
            Err(error) => return refuse(&connection, &error).await,
        };
        let mut reader = BodyReader::new(framing);
        let body = connection.read_whole(&mut reader, BODY_BYTES);
        let Ok(body) = time::timeout(BODY_WITHIN, body).await else { return Ok(()) };
        let body = body?;
        let keeps = head.keeps_alive();
        let mut reply = answer(head, body).await;
        reply.closes |= !keeps;
        let closes = reply.closes;
        reply.write(&connection).await?;
        if closes {
            return Ok(());
        }
    }
}

async fn refuse(connection: &Connection, error: &HttpError) -> Result<(), HttpError> {
    let status = if matches!(error, HttpError::HeadTooLarge { .. }) { 431 } else { 400 };
    Ok(Reply::new(status, b"{}".to_vec()).closing().write(connection).await?)
}
