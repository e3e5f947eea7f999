//! Links over TLS, and the errors for certificate files that cannot be used.

use std::fs;
use std::path::Path;

use anvillift_mesh::{Mesh, MeshSettings, StartError, tls};
use anvillift_schema::settings::TlsSettings;
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, Issuer, KeyPair};
use rstest::rstest;
use tempfile::TempDir;

use crate::pair;

/// A certificate authority with its key.
struct Authority {
    certificate: Certificate,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().expect("key");
        let mut params = CertificateParams::new(Vec::new()).expect("params");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("certificate");
        Self { certificate, issuer: Issuer::new(params, key) }
    }

    /// Issues a certificate for a host at `ip` and writes its files.
    fn issue(&self, folder: &Path, ip: &str, change: fn(&mut CertificateParams)) -> TlsSettings {
        let key = KeyPair::generate().expect("key");
        let mut params = CertificateParams::new(vec![ip.to_owned()]).expect("params");
        change(&mut params);
        let certificate = params.signed_by(&key, &self.issuer).expect("certificate");
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            fs::write(&path, text).expect("written");
            path.to_str().expect("path").to_owned()
        };
        TlsSettings {
            certificate_file: write("certificate.pem", &certificate.pem()),
            key_file: write("key.pem", &key.serialize_pem()),
            authority_file: write("authority.pem", &self.certificate.pem()),
            callers: false,
            links: true,
        }
    }
}

fn keep_valid(_params: &mut CertificateParams) {}

fn make_expired(params: &mut CertificateParams) {
    params.not_before = rcgen::date_time_ymd(2001, 1, 1);
    params.not_after = rcgen::date_time_ymd(2002, 1, 1);
}

fn settings_and_ip(address: &str) -> (MeshSettings, MeshSettings, String) {
    let (a, mut b) = pair::settings(address);
    b.listen = address.to_owned();
    let ip = address.split(':').next().expect("ip").to_owned();
    (a, b, ip)
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_with_certificates_of_one_authority_are_linked() {
    let address = pair::unused_address();
    let (mut a, mut b, ip) = settings_and_ip(&address);
    let (authority, folders) = (Authority::new(), [TempDir::new(), TempDir::new()]);
    let [a_folder, b_folder] = folders.map(|folder| folder.expect("folder"));
    a.tls = Some(authority.issue(a_folder.path(), "127.0.0.1", keep_valid));
    b.tls = Some(authority.issue(b_folder.path(), &ip, keep_valid));
    let _b = Mesh::start(b, pair::handlers(pair::drop_stream).0).await.expect("start");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    pair::wait_until_linked(&a).await;
}

#[rstest]
#[case::another_authority(true, false)]
#[case::no_tls(false, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_certificate_of_the_authority_gets_no_link(
    #[case] other_authority: bool,
    #[case] no_tls: bool,
) {
    let address = pair::unused_address();
    let (mut a, mut b, ip) = settings_and_ip(&address);
    let (authority, folders) = (Authority::new(), [TempDir::new(), TempDir::new()]);
    let [a_folder, b_folder] = folders.map(|folder| folder.expect("folder"));
    b.tls = Some(authority.issue(b_folder.path(), &ip, keep_valid));
    let mut a_tls = Authority::new().issue(a_folder.path(), "127.0.0.1", keep_valid);
    if other_authority {
        // This host trusts the authority of the other host, but not the other way round.
        let trusted = b.tls.as_ref().expect("tls").authority_file.clone();
        let both = fs::read_to_string(&a_tls.authority_file).expect("read")
            + &fs::read_to_string(trusted).expect("read");
        fs::write(&a_tls.authority_file, both).expect("written");
    } else {
        a_tls.links = false;
    }
    a.tls = (!no_tls).then_some(a_tls);
    let b = Mesh::start(b, pair::handlers(pair::drop_stream).0).await.expect("start");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    assert!(a.linked_hosts().is_empty());
    assert!(b.linked_hosts().is_empty());
}

#[test]
fn the_error_names_an_expired_certificate() {
    let folder = TempDir::new().expect("folder");
    let settings = Authority::new().issue(folder.path(), "127.0.0.1", make_expired);
    let error = tls::load(&settings).err().expect("refused");
    let StartError::KeyFile { path, reason } = error else { panic!("{error}") };
    assert_eq!(path, settings.certificate_file);
    assert!(reason.contains("expired"), "{reason}");
}

#[rstest]
#[case::missing(|settings: &mut TlsSettings| settings.key_file += ".missing", "key.pem.missing")]
#[case::no_certificate(
    |settings: &mut TlsSettings| settings.certificate_file = settings.key_file.clone(),
    "key.pem"
)]
#[case::wrong_key(
    |settings: &mut TlsSettings| {
        let key = KeyPair::generate().expect("key").serialize_pem();
        fs::write(&settings.key_file, key).expect("written");
    },
    "key.pem"
)]
#[case::wrong_authority(
    |settings: &mut TlsSettings| {
        let other = Authority::new().certificate.pem();
        fs::write(&settings.authority_file, other).expect("written");
    },
    "certificate.pem"
)]
fn the_error_names_the_file_that_cannot_be_used(
    #[case] change: fn(&mut TlsSettings),
    #[case] named: &str,
) {
    let folder = TempDir::new().expect("folder");
    let mut settings = Authority::new().issue(folder.path(), "127.0.0.1", keep_valid);
    change(&mut settings);
    let error = tls::load(&settings).err().expect("refused");
    let StartError::KeyFile { path, .. } = &error else { panic!("{error}") };
    assert!(path.ends_with(named), "{error}");
}
