//! Proof of both sides that they belong to the system.
//!
//! Each side sends a hello with a nonce. The dialler proves first that it
//! holds the link key, by an HMAC over both hellos and its role; only then
//! does the listener give its own proof.

use std::collections::BTreeMap;

use anvillift_schema::link::LinkFrame;
use anvillift_schema::name::Name;
use anvillift_schema::settings::PeerSettings;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use snafu::ResultExt;
use subtle::ConstantTimeEq;
use tokio_tungstenite::tungstenite::Message;

use crate::codec;
use crate::error::{LinkError, RefusedSnafu, WebSocketSnafu};
use crate::settings::MeshSettings;
use crate::transport::Socket;

/// Version of the frames.
const PROTOCOL: u32 = 1;
const NONCE_BYTES: usize = 32;
/// Largest hello or proof, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;

/// Which side of a link a host is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    Dialler,
    Listener,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialler => b"anvillift dialler",
            Self::Listener => b"anvillift listener",
        }
    }
}

/// Runs the handshake and gives the name of the proven other side.
pub(crate) async fn run(
    socket: &mut Socket,
    settings: &MeshSettings,
    role: Role,
) -> Result<Name, LinkError> {
    let own = codec::encode(&own_hello(settings));
    match role {
        Role::Dialler => {
            send(socket, own.clone()).await?;
            let other = receive(socket).await?;
            let name = check_hello(&other, settings)?;
            send(socket, proof(settings, Role::Dialler, &own, &other)).await?;
            let expected = proof(settings, Role::Listener, &own, &other);
            check_proof(&receive(socket).await?, &expected, &name)?;
            Ok(name)
        }
        Role::Listener => {
            let other = receive(socket).await?;
            let name = check_hello(&other, settings)?;
            send(socket, own.clone()).await?;
            let expected = proof(settings, Role::Dialler, &other, &own);
            check_proof(&receive(socket).await?, &expected, &name)?;
            send(socket, proof(settings, Role::Listener, &other, &own)).await?;
            Ok(name)
        }
    }
}

fn own_hello(settings: &MeshSettings) -> LinkFrame {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    LinkFrame::Hello {
        host: settings.identity.name.clone(),
        region: settings.identity.region.clone(),
        data_centre: settings.identity.data_centre.clone(),
        incarnation: settings.incarnation,
        protocol: PROTOCOL,
        nonce: nonce.into(),
    }
}

fn check_hello(bytes: &[u8], settings: &MeshSettings) -> Result<Name, LinkError> {
    let LinkFrame::Hello { host, region, data_centre, protocol, .. } = codec::decode(bytes)? else {
        return Err(refused(&Name::default(), "the first frame is no hello"));
    };
    if protocol != PROTOCOL {
        return Err(refused(&host, "another protocol version"));
    }
    if host == settings.identity.name {
        return Err(refused(&host, "the name of this host"));
    }
    match find(&settings.peers, &host) {
        Some(peer) if peer.region == region && peer.data_centre == data_centre => Ok(host),
        Some(_) => Err(refused(&host, "another region or data centre than in the settings")),
        None => Err(refused(&host, "not in the settings")),
    }
}

fn find<'a>(peers: &'a BTreeMap<Name, PeerSettings>, host: &Name) -> Option<&'a PeerSettings> {
    peers.get(host)
}

fn proof(settings: &MeshSettings, role: Role, dialler: &[u8], listener: &[u8]) -> Bytes {
    let mut mac = Hmac::<Sha256>::new_from_slice(settings.link_key.as_bytes())
        .expect("HMAC takes keys of any length");
    for part in [role.label(), dialler, listener] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    codec::encode(&LinkFrame::Proof { mac: mac.finalize().into_bytes().to_vec().into() })
}

fn check_proof(bytes: &[u8], expected: &[u8], host: &Name) -> Result<(), LinkError> {
    if bool::from(bytes.ct_eq(expected)) { Ok(()) } else { Err(refused(host, "a wrong proof")) }
}

fn refused(host: &Name, reason: &'static str) -> LinkError {
    RefusedSnafu { host: host.clone(), reason }.build()
}

async fn send(socket: &mut Socket, bytes: Bytes) -> Result<(), LinkError> {
    socket.send(Message::Binary(bytes)).await.context(WebSocketSnafu)
}

async fn receive(socket: &mut Socket) -> Result<Bytes, LinkError> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_HANDSHAKE_BYTES => {
                return Ok(bytes);
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) => return Err(refused(&Name::default(), "an unexpected message")),
            Some(Err(source)) => return Err(source).context(WebSocketSnafu),
            None => return Err(LinkError::Closed),
        }
    }
}
