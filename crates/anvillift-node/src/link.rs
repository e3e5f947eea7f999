//! One link between two hosts, which carries CBOR frames in WebSocket messages.

use std::time::Duration;

use anvillift_schema::fleet::{FleetFrame, FleetPing};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};

use crate::clock;

/// Interval of the pings by which each side shows that it is alive.
const PING_INTERVAL: Duration = Duration::from_millis(600);
/// Time without a received message after which a link is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time for writing one batch of frames.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Most frames written before the socket is flushed.
const MAX_BATCH_FRAMES: usize = 64;
/// Largest part of a message that is written at once, in bytes.
const FRAGMENT_BYTES: usize = 256 * 1024;
/// Capacity of a link's queue. Frames beyond it are dropped and counted.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Sending end of a link's queue, held by the hub.
pub(crate) type FrameSender = mpsc::Sender<FleetFrame>;
/// Receiving end of a link's queue, from which the link writes.
pub(crate) type FrameReceiver = mpsc::Receiver<FleetFrame>;

/// Creates the bounded queue of a link.
pub(crate) fn queue() -> (FrameSender, FrameReceiver) {
    mpsc::channel(MAX_QUEUED_FRAMES)
}

/// Reasons for which a link ends.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum LinkError {
    #[snafu(display("no message received for {RECEIVE_TIMEOUT:?}"))]
    ReceiveTimeout,
    #[snafu(display("frames not written within {WRITE_TIMEOUT:?}"))]
    WriteTimeout,
    /// The other host closed the WebSocket, or the hub dropped the queue.
    #[snafu(display("link closed"))]
    Closed,
    #[snafu(display("malformed frame: {reason}"))]
    Unreadable { reason: String },
    #[snafu(display("{source}"), context(false))]
    Socket {
        #[snafu(source(from(SocketError, Box::new)))]
        source: Box<SocketError>,
    },
}

/// Writes queued frames to the socket and passes received frames to `receive`,
/// until the link fails. Returns the reason.
pub(crate) async fn run_link(
    mut socket: WebSocketStream<TcpStream>,
    mut queue: FrameReceiver,
    mut receive: impl FnMut(FleetFrame),
) -> LinkError {
    let mut ping = time::interval(PING_INTERVAL);
    let mut last_received = time::Instant::now();
    loop {
        tokio::select! {
            message = socket.next() => {
                last_received = time::Instant::now();
                match decode(message) {
                    Ok(Some(frame)) => receive(frame),
                    Ok(None) => (),
                    Err(error) => return error,
                }
            }
            frame = queue.recv() => {
                let Some(frame) = frame else { return LinkError::Closed };
                let written = write_batch(&mut socket, frame, &mut queue);
                match time::timeout(WRITE_TIMEOUT, written).await {
                    Ok(Ok(())) => (),
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return LinkError::WriteTimeout,
                }
            }
            _ = ping.tick() => {
                if last_received.elapsed() > RECEIVE_TIMEOUT {
                    return LinkError::ReceiveTimeout;
                }
                let ping_frame = FleetFrame::Ping(FleetPing { sent_ms: clock::now_ms() });
                let written = write_batch(&mut socket, ping_frame, &mut queue);
                match time::timeout(WRITE_TIMEOUT, written).await {
                    Ok(Ok(())) => (),
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return LinkError::WriteTimeout,
                }
            }
        }
    }
}

async fn write_batch(
    socket: &mut WebSocketStream<TcpStream>,
    first: FleetFrame,
    queue: &mut FrameReceiver,
) -> Result<(), SocketError> {
    write(socket, encode(&first)).await?;
    for _ in 1..MAX_BATCH_FRAMES {
        let Ok(frame) = queue.try_recv() else { break };
        write(socket, encode(&frame)).await?;
    }
    socket.flush().await
}

/// Writes a message; a large one in fragments that are flushed one by one. The buffers of both
/// sides of a link would otherwise keep the size of the largest message.
async fn write(socket: &mut WebSocketStream<TcpStream>, bytes: Bytes) -> Result<(), SocketError> {
    if bytes.len() <= FRAGMENT_BYTES {
        return socket.feed(Message::Binary(bytes)).await;
    }
    let mut rest = bytes;
    let mut data = Data::Binary;
    while !rest.is_empty() {
        let fragment = rest.split_to(rest.len().min(FRAGMENT_BYTES));
        let frame = Frame::message(fragment, OpCode::Data(data), rest.is_empty());
        socket.send(Message::Frame(frame)).await?;
        data = Data::Continue;
    }
    Ok(())
}

fn encode(frame: &FleetFrame) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to a vector can't fail.
    ciborium::into_writer(frame, &mut bytes).ok();
    bytes.into()
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
