//! The connection below a link: TCP, optionally with TLS, and a WebSocket on top.

use std::io;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Limit of unsent bytes in the kernel's send buffer, so that frames of a higher
/// class are not delayed behind them.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;
const BUFFER_BYTES: usize = 64 * 1024;
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A byte stream to a peer, with or without TLS.
pub(crate) trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// The WebSocket that carries the frames of a link.
pub(crate) type Socket = WebSocketStream<Box<dyn Connection>>;

/// Sets the TCP options of a link: no Nagle delay, and little unsent data in the kernel.
pub(crate) fn set_tcp_options(tcp: &TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    SockRef::from(tcp).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

pub(crate) fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
