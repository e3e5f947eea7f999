//! One link between two hosts: CBOR frames in WebSocket messages.

use std::time::Duration;

use anvillift_schema::fleet::{FleetFrame, FleetPing};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};

use crate::clock;

/// Between signs of life.
const PING_EVERY: Duration = Duration::from_millis(600);
/// Silence after which a link is given up.
const SILENT_AFTER: Duration = Duration::from_millis(2_000);
/// Longest time for writing what waits.
const WRITE_WITHIN: Duration = Duration::from_millis(2_000);
/// Frames written before the socket is flushed.
const MAX_BATCH_FRAMES: usize = 64;
/// Frames that may wait; a link that is so far behind is given up.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Frames on their way to a link.
pub(crate) type FrameSender = mpsc::Sender<FleetFrame>;
/// Frames that a link is to send.
pub(crate) type FrameReceiver = mpsc::Receiver<FleetFrame>;

/// The queue of a link.
pub(crate) fn queue() -> (FrameSender, FrameReceiver) {
    mpsc::channel(MAX_QUEUED_FRAMES)
}

/// Why a link ended.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum LinkError {
    /// The other host was silent.
    #[snafu(display("the host was silent"))]
    Silent,
    /// Frames could not be written in time.
    #[snafu(display("frames could not be written in time"))]
    Stuck,
    /// The link was closed.
    #[snafu(display("the link was closed"))]
    Closed,
    /// A frame can't be read.
    #[snafu(display("a frame can't be read: {reason}"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// The socket failed.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// Cause.
        #[snafu(source(from(SocketError, Box::new)))]
        source: Box<SocketError>,
    },
}

/// Carries frames until the link fails; `receive` takes those that arrive.
pub(crate) async fn carry(
    mut socket: WebSocketStream<TcpStream>,
    mut queue: FrameReceiver,
    mut receive: impl FnMut(FleetFrame),
) -> LinkError {
    let mut ping = time::interval(PING_EVERY);
    let mut heard = time::Instant::now();
    loop {
        tokio::select! {
            message = socket.next() => {
                heard = time::Instant::now();
                match decode(message) {
                    Ok(Some(frame)) => receive(frame),
                    Ok(None) => (),
                    Err(error) => return error,
                }
            }
            frame = queue.recv() => {
                let Some(frame) = frame else { return LinkError::Closed };
                let written = write(&mut socket, frame, &mut queue);
                match time::timeout(WRITE_WITHIN, written).await {
                    Ok(Ok(())) => (),
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return LinkError::Stuck,
                }
            }
            _ = ping.tick() => {
                if heard.elapsed() > SILENT_AFTER {
                    return LinkError::Silent;
                }
                let sign = FleetFrame::Ping(FleetPing { sent_ms: clock::now_ms() });
                let written = write(&mut socket, sign, &mut queue);
                match time::timeout(WRITE_WITHIN, written).await {
                    Ok(Ok(())) => (),
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return LinkError::Stuck,
                }
            }
        }
    }
}

async fn write(
    socket: &mut WebSocketStream<TcpStream>,
    first: FleetFrame,
    queue: &mut FrameReceiver,
) -> Result<(), SocketError> {
    socket.feed(encode(&first)).await?;
    for _ in 1..MAX_BATCH_FRAMES {
        let Ok(frame) = queue.try_recv() else { break };
        socket.feed(encode(&frame)).await?;
    }
    socket.flush().await
}

fn encode(frame: &FleetFrame) -> Message {
    let mut bytes = Vec::new();
    // Writing into memory can't fail.
    ciborium::into_writer(frame, &mut bytes).ok();
    Message::Binary(bytes.into())
}

fn decode(message: Option<Result<Message, SocketError>>) -> Result<Option<FleetFrame>, LinkError> {
    match message {
        None => ClosedSnafu.fail(),
        Some(Err(error)) => Err(error.into()),
        Some(Ok(Message::Binary(bytes))) => match ciborium::from_reader(bytes.as_ref()) {
            Ok(frame) => Ok(Some(frame)),
            Err(error) => UnreadableSnafu { reason: error.to_string() }.fail(),
        },
        Some(Ok(Message::Close(_))) => ClosedSnafu.fail(),
        Some(Ok(_)) => Ok(None),
    }
}
