//! Sets up links: dials peers, and accepts connections of peers that dial.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::error::{ConnectSnafu, LinkError, WebSocketSnafu};
use crate::handshake::{self, Role};
use crate::read_limited::ReadLimited;
use crate::settings::MeshSettings;
use crate::tls::LinkTls;
use crate::transport::{self, Connection, Socket};
use anvillift_schema::name::Name;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connects to a host and runs the handshake. Returns the name of the authenticated peer.
pub(crate) async fn dial(
    settings: &MeshSettings,
    tls: &LinkTls,
    address: &str,
) -> Result<(Name, Socket), LinkError> {
    with_handshake_timeout(async {
        let tcp = TcpStream::connect(address).await.context(ConnectSnafu)?;
        transport::set_tcp_options(&tcp).context(ConnectSnafu)?;
        let connection = tls.connect(tcp).await?;
        let request = format!("ws://{address}/link");
        let config = Some(transport::web_socket_config());
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(request, connection, config)
                .await
                .context(WebSocketSnafu)?;
        let name = handshake::run(&mut socket, settings, Role::Dialler).await?;
        Ok((name, socket))
    })
    .await
}

/// Runs the handshake on an accepted connection. Returns the name of the authenticated peer.
pub(crate) async fn accept(
    settings: &MeshSettings,
    tls: &LinkTls,
    tcp: TcpStream,
) -> Result<(Name, Socket), LinkError> {
    with_handshake_timeout(async {
        transport::set_tcp_options(&tcp).context(ConnectSnafu)?;
        let (connection, allowance) = ReadLimited::new(tls.accept(tcp).await?);
        let connection: Box<dyn Connection> = Box::new(connection);
        let config = Some(transport::web_socket_config());
        let mut socket = tokio_tungstenite::accept_async_with_config(connection, config)
            .await
            .context(WebSocketSnafu)?;
        let name = handshake::run(&mut socket, settings, Role::Listener).await?;
        allowance.remove_limit();
        Ok((name, socket))
    })
    .await
}

async fn with_handshake_timeout<T>(
    handshake: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    time::timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or(Err(LinkError::HandshakeTimeout))
}

/// Exponential back-off between dials, with random jitter.
pub(crate) struct BackOff {
    settings: Arc<MeshSettings>,
    wait_ms: u64,
}

impl BackOff {
    pub(crate) fn new(settings: Arc<MeshSettings>) -> Self {
        let wait_ms = settings.redial_ms;
        Self { settings, wait_ms }
    }

    pub(crate) fn reset(&mut self) {
        self.wait_ms = self.settings.redial_ms;
    }

    pub(crate) async fn wait(&mut self) {
        let wait_ms = rand::rng().random_range(self.wait_ms / 2..=self.wait_ms);
        time::sleep(Duration::from_millis(wait_ms)).await;
        self.wait_ms = (self.wait_ms * 2).min(self.settings.max_redial_ms);
    }
}

/// Whether an accept error concerns only one connection and not the listener.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}
