//! Loads and checks certificates and keys, and sets up TLS on links.
//!
//! [`load`] reads the files when a host starts. It checks that the key matches
//! the certificate, and that the certificate is issued by the authority and
//! valid now. Links use mutual TLS; the gateway uses the same files for callers.

use std::fs;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;

use anvillift_schema::settings::TlsSettings;
use rustls::crypto::{CryptoProvider, ring};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::error::{KeyFileSnafu, LinkError, StartError};
use crate::transport::Connection;

/// A certificate chain that has been checked against its key and its authority.
pub struct TlsIdentity {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

/// Reads and checks the files of TLS settings. The error names the first file at fault.
pub fn load(settings: &TlsSettings) -> Result<TlsIdentity, StartError> {
    let certificates = read_certificates(&settings.certificate_file)?;
    let key = PrivateKeyDer::from_pem_slice(&read(&settings.key_file)?)
        .map_err(|error| unusable_file(&settings.key_file, &error))?;
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&settings.authority_file)? {
        roots.add(certificate).map_err(|error| unusable_file(&settings.authority_file, &error))?;
    }
    let identity = TlsIdentity { certificates, key, roots: Arc::new(roots) };
    identity.check(settings)?;
    Ok(identity)
}

impl TlsIdentity {
    fn check(&self, settings: &TlsSettings) -> Result<(), StartError> {
        let file = &settings.certificate_file;
        let verifier =
            self.verifier().map_err(|error| unusable_file(&settings.authority_file, &error))?;
        let (first, rest) = self.certificates.split_first().expect("certificates are not empty");
        verifier
            .verify_client_cert(first, rest, UnixTime::now())
            .map_err(|error| unusable_file(file, &error))?;
        self.server().map(drop).map_err(|error| unusable_file(&settings.key_file, &error))
    }

    fn verifier(
        &self,
    ) -> Result<Arc<dyn ClientCertVerifier>, rustls::server::VerifierBuilderError> {
        WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider()).build()
    }

    fn server(&self) -> Result<ServerConfig, rustls::Error> {
        let verifier =
            self.verifier().map_err(|error| rustls::Error::General(error.to_string()))?;
        ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificates.clone(), self.key.clone_key())
    }

    fn client(&self) -> Result<ClientConfig, rustls::Error> {
        ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.certificates.clone(), self.key.clone_key())
    }
}

/// TLS of the links of one host. Without TLS settings, connections remain plain TCP.
#[derive(Clone, Default)]
pub(crate) struct LinkTls {
    endpoints: Option<(TlsConnector, TlsAcceptor)>,
}

impl LinkTls {
    pub(crate) fn new(settings: Option<&TlsSettings>) -> Result<Self, StartError> {
        let Some(settings) = settings else { return Ok(Self::default()) };
        let identity = load(settings)?;
        let unusable_key = |error: rustls::Error| unusable_file(&settings.key_file, &error);
        let connector = TlsConnector::from(Arc::new(identity.client().map_err(unusable_key)?));
        let acceptor = TlsAcceptor::from(Arc::new(identity.server().map_err(unusable_key)?));
        Ok(Self { endpoints: Some((connector, acceptor)) })
    }

    pub(crate) async fn connect(&self, tcp: TcpStream) -> Result<Box<dyn Connection>, LinkError> {
        let Some((connector, _)) = &self.endpoints else { return Ok(Box::new(tcp)) };
        let ip: IpAddr = tcp.peer_addr().map_err(|error| tls_error(&error))?.ip();
        let stream = connector.connect(ServerName::IpAddress(ip.into()), tcp).await;
        Ok(Box::new(stream.map_err(|error| tls_error(&error))?))
    }

    pub(crate) async fn accept(&self, tcp: TcpStream) -> Result<Box<dyn Connection>, LinkError> {
        let Some((_, acceptor)) = &self.endpoints else { return Ok(Box::new(tcp)) };
        let stream = acceptor.accept(tcp).await;
        Ok(Box::new(stream.map_err(|error| tls_error(&error))?))
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read(path: &str) -> Result<Vec<u8>, StartError> {
    fs::read(Path::new(path)).map_err(|error| unusable_file(path, &error))
}

fn read_certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, StartError> {
    let pem = read(path)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let certificates = certificates.map_err(|error| unusable_file(path, &error))?;
    if certificates.is_empty() {
        return Err(unusable_file(path, &"the file contains no certificate"));
    }
    Ok(certificates)
}

fn unusable_file(path: &str, reason: &dyn std::fmt::Display) -> StartError {
    KeyFileSnafu { path, reason: reason.to_string() }.build()
}

fn tls_error(error: &dyn std::fmt::Display) -> LinkError {
    LinkError::Tls { reason: error.to_string() }
}
