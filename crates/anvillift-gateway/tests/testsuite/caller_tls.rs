//! TLS for connections of callers.

use std::fs;
use std::path::Path;

use anvillift_gateway::{Gateway, StartError};
use anvillift_schema::code::Code;
use anvillift_schema::settings::{HostSettings, TlsSettings};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use reqwest::{Certificate, Client};
use tempfile::TempDir;

/// Writes the files of an authority and of a certificate for 127.0.0.1 that expires at the start of
/// `expiry_year`.
fn write_tls_files(folder: &Path, expiry_year: i32) -> TlsSettings {
    let authority_key = KeyPair::generate().expect("key");
    let mut authority = CertificateParams::new(Vec::new()).expect("params");
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_pem = authority.self_signed(&authority_key).expect("certificate").pem();
    let issuer = Issuer::new(authority, authority_key);
    let key = KeyPair::generate().expect("key");
    let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("params");
    params.not_after = rcgen::date_time_ymd(expiry_year, 1, 1);
    let certificate = params.signed_by(&key, &issuer).expect("certificate");
    let write = |name: &str, text: &str| {
        fs::write(folder.join(name), text).expect("written");
        folder.join(name).to_str().expect("path").to_owned()
    };
    TlsSettings {
        certificate_file: write("certificate.pem", &certificate.pem()),
        key_file: write("key.pem", &key.serialize_pem()),
        authority_file: write("authority.pem", &authority_pem),
        callers: true,
        links: false,
    }
}

fn settings(tls: TlsSettings) -> HostSettings {
    HostSettings { tls: Some(tls), ..HostSettings::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_answered_over_tls_only() {
    let folder = TempDir::new().expect("folder");
    let tls = write_tls_files(folder.path(), 2999);
    let authority = fs::read(&tls.authority_file).expect("read");
    let running = Gateway::start(settings(tls)).await.expect("start");
    let authority = Certificate::from_pem(&authority).expect("certificate");
    let client = Client::builder().no_proxy().tls_certs_only([authority]).build().expect("client");
    let path = format!("{}/healthz", running.caller_addr);
    let answer = client.get(format!("https://{path}")).send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    assert!(client.get(format!("http://{path}")).send().await.is_err());
    running.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_does_not_start_with_an_expired_certificate() {
    let folder = TempDir::new().expect("folder");
    let tls = write_tls_files(folder.path(), 2001);
    let error = Gateway::start(settings(tls.clone())).await.err().expect("refused");
    assert_eq!(error.code(), Code::KeyFileInvalid);
    let StartError::KeyFile { path, reason } = error else { panic!("{error}") };
    assert_eq!(path, tls.certificate_file);
    assert!(reason.contains("expired"), "{reason}");
}
