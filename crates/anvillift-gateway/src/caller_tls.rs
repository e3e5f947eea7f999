//! TLS for connections of callers.

use std::fs;
use std::io;

use anvillift_mesh::tls;
use anvillift_schema::settings::TlsSettings;
use salvo::conn::Listener;
use salvo::conn::rustls::{Keycert, RustlsAcceptor, RustlsConfig, RustlsListener};
use snafu::ResultExt;

use crate::caller_acceptor::CallerAcceptor;
use crate::error::{ListenSnafu, StartError};

const HTTP_1_1: &[u8] = b"http/1.1";

/// Listener for [`RustlsListener`] whose acceptor is already bound.
struct BoundListener(CallerAcceptor);

impl Listener for BoundListener {
    type Acceptor = CallerAcceptor;

    async fn try_bind(self) -> salvo::Result<CallerAcceptor> {
        Ok(self.0)
    }
}

/// Checks the certificate and key files, then wraps a bound acceptor in TLS.
pub(crate) async fn accept(
    acceptor: CallerAcceptor,
    settings: &TlsSettings,
    address: &str,
) -> Result<RustlsAcceptor<CallerAcceptor>, StartError> {
    tls::load(settings).map_err(start_error)?;
    let keycert = Keycert::new()
        .cert(read(&settings.certificate_file, address)?)
        .key(read(&settings.key_file, address)?);
    let config = RustlsConfig::new(keycert).alpn_protocols(vec![HTTP_1_1.to_vec()]);
    let listener = RustlsListener::new(config, BoundListener(acceptor));
    listener.try_bind().await.map_err(io::Error::other).context(ListenSnafu { address })
}

fn start_error(source: anvillift_mesh::StartError) -> StartError {
    match source {
        anvillift_mesh::StartError::KeyFile { path, reason } => {
            StartError::KeyFile { path, reason }
        }
        source => StartError::Mesh { source },
    }
}

fn read(path: &str, address: &str) -> Result<Vec<u8>, StartError> {
    fs::read(path).context(ListenSnafu { address })
}
