//! Connections under a link: TCP, and TLS over it.

use std::io;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Bytes that may wait in the kernel unsent, so that frames of a higher class
/// are not held up behind them.
const UNSENT_BYTES: u32 = 64 * 1024;
const BUFFER_BYTES: usize = 64 * 1024;
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A connection of any kind.
pub(crate) trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// The WebSocket of a link.
pub(crate) type Socket = WebSocketStream<Box<dyn Connection>>;

/// Sets the options of a link's TCP connection.
pub(crate) fn configure(tcp: &TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    SockRef::from(tcp).set_tcp_notsent_lowat(UNSENT_BYTES)
}

pub(crate) fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
