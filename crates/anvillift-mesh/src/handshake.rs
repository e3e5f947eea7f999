//! Mutual authentication of the two hosts of a link.
//!
//! Each side sends a hello with a nonce. The dialler proves first that it
//! holds the link key, by an HMAC over both hellos and its role; only then
//! does the listener send its own proof.

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

/// Version of the frame format; both sides must use the same.
const PROTOCOL: u32 = 1;
const NONCE_BYTES: usize = 32;
/// Largest size of a hello or proof frame.
const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;

/// The side that a host takes in the handshake of a link.
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

/// Runs the handshake and returns the name of the authenticated peer.
pub(crate) async fn run(
    socket: &mut Socket,
    settings: &MeshSettings,
    role: Role,
) -> Result<Name, LinkError> {
    let own_frame = codec::encode(&own_hello(settings));
    match role {
        Role::Dialler => {
            send(socket, own_frame.clone()).await?;
            let peer_frame = receive(socket).await?;
            let name = check_hello(&peer_frame, settings)?;
            send(socket, proof(settings, Role::Dialler, &own_frame, &peer_frame)).await?;
            let expected = proof(settings, Role::Listener, &own_frame, &peer_frame);
            check_proof(&receive(socket).await?, &expected, &name)?;
            Ok(name)
        }
        Role::Listener => {
            let peer_frame = receive(socket).await?;
            let name = check_hello(&peer_frame, settings)?;
            send(socket, own_frame.clone()).await?;
            let expected = proof(settings, Role::Dialler, &peer_frame, &own_frame);
            check_proof(&receive(socket).await?, &expected, &name)?;
            send(socket, proof(settings, Role::Listener, &peer_frame, &own_frame)).await?;
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
        return Err(refused(&Name::default(), "the first frame is not a hello"));
    };
    if protocol != PROTOCOL {
        return Err(refused(&host, "it uses another protocol version"));
    }
    if host == settings.identity.name {
        return Err(refused(&host, "it uses the name of this host"));
    }
    match find_peer(&settings.peers, &host) {
        Some(peer) if peer.region == region && peer.data_centre == data_centre => Ok(host),
        Some(_) => Err(refused(&host, "its region or data centre differs from the settings")),
        None => Err(refused(&host, "it is not in the settings")),
    }
}

fn find_peer<'a>(peers: &'a BTreeMap<Name, PeerSettings>, host: &Name) -> Option<&'a PeerSettings> {
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
    if bool::from(bytes.ct_eq(expected)) {
        Ok(())
    } else {
        Err(refused(host, "its proof of the link key is invalid"))
    }
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
            Some(Ok(_)) => {
                return Err(refused(&Name::default(), "it sent an unexpected message"));
            }
            Some(Err(source)) => return Err(source).context(WebSocketSnafu),
            None => return Err(LinkError::Closed),
        }
    }
}
