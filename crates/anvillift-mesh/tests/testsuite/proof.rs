//! Only hosts that are in the settings and hold the link key get a link.

use std::time::Duration;

use anvillift_mesh::{Mesh, MeshSettings};
use anvillift_schema::link::{LinkFrame, PeerMessage};
use anvillift_schema::payload::Payload;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use rstest::rstest;
use tokio::time;
use tokio_tungstenite::tungstenite::Message;

use crate::pair;

/// Enough time for several dials.
const SEVERAL_DIALS: Duration = Duration::from_millis(700);

fn use_other_key(settings: &mut MeshSettings) {
    settings.link_key = "another".to_owned();
}

fn use_other_name(settings: &mut MeshSettings) {
    settings.identity.name = "aa".into();
}

fn use_other_region(settings: &mut MeshSettings) {
    settings.identity.region = "altiplano".into();
}

#[rstest]
#[case::wrong_key(use_other_key)]
#[case::unknown_name(use_other_name)]
#[case::wrong_region(use_other_region)]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_wrong_key_name_or_region_gets_no_link(
    #[case] change: impl Fn(&mut MeshSettings),
) {
    let address = pair::unused_address();
    let (mut a, mut b) = pair::settings(&address);
    b.listen = address;
    change(&mut a);
    let (handlers, mut messages) = pair::handlers(pair::drop_stream);
    let b = Mesh::start(b, handlers).await.expect("start");
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    time::sleep(SEVERAL_DIALS).await;
    assert!(a.linked_hosts().is_empty());
    assert!(b.linked_hosts().is_empty());
    assert!(messages.try_recv().is_err());
}

#[rstest]
#[case::no_proof(None)]
#[case::wrong_proof(Some(Vec::new()))]
#[tokio::test(flavor = "multi_thread")]
async fn a_dialler_without_the_key_gets_neither_proof_nor_link(#[case] mac: Option<Vec<u8>>) {
    let address = pair::unused_address();
    let (_, mut b) = pair::settings(&address);
    b.listen = address.clone();
    let (handlers, mut messages) = pair::handlers(pair::drop_stream);
    let b = Mesh::start(b, handlers).await.expect("start");
    let url = format!("ws://{address}/link");
    let tcp = tokio::net::TcpStream::connect(&address).await.expect("connect");
    let (mut socket, _) = tokio_tungstenite::client_async(url, tcp).await.expect("socket");
    let hello = LinkFrame::Hello {
        host: "a".into(),
        region: "oriente".into(),
        data_centre: "zacapa-a".into(),
        incarnation: 1,
        protocol: 1,
        nonce: Payload::from(vec![0; 32]),
    };
    socket.send(encode(&hello)).await.expect("send");
    let hello = socket.next().await.expect("frame").expect("message").into_data();
    assert!(matches!(decode(&hello), LinkFrame::Hello { .. }));
    if let Some(mac) = mac {
        let proof = LinkFrame::Proof { mac: Payload::from(mac) };
        socket.send(encode(&proof)).await.expect("send");
    }
    let message = PeerMessage::ConfigurationRequest { after_revision: 0 };
    let _ = socket.send(encode(&LinkFrame::Peer(message))).await;
    while let Some(Ok(received)) = socket.next().await {
        assert!(!received.is_binary(), "{received:?}");
    }
    assert!(b.linked_hosts().is_empty());
    assert!(messages.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_frame_before_the_proof_closes_the_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let address = pair::unused_address();
    let (_, mut b) = pair::settings(&address);
    b.listen = address.clone();
    let _b = Mesh::start(b, pair::handlers(pair::drop_stream).0).await.expect("start");
    let url = format!("ws://{address}/link");
    let tcp = tokio::net::TcpStream::connect(&address).await.expect("connect");
    let (socket, _) = tokio_tungstenite::client_async(url, tcp).await.expect("socket");
    let mut tcp = socket.into_inner();
    // The header of a masked binary frame of 16 MiB, followed by a part of its payload.
    let head = [0x82, 0xff, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0];
    tcp.write_all(&head).await.expect("write");
    let _ = tcp.write_all(&[0; 256 * 1024]).await;
    let closed = async { while matches!(tcp.read(&mut [0; 64]).await, Ok(1..)) {} };
    time::timeout(Duration::from_secs(2), closed).await.expect("the connection is closed at once");
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_does_not_stop_the_listener() {
    use tokio::io::AsyncWriteExt;
    let address = pair::unused_address();
    let (a, mut b) = pair::settings(&address);
    b.listen = address.clone();
    let _b = Mesh::start(b, pair::handlers(pair::drop_stream).0).await.expect("start");
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], b""] {
        let mut tcp = tokio::net::TcpStream::connect(&address).await.expect("connect");
        let _ = tcp.write_all(garbage).await;
    }
    let a = Mesh::start(a, pair::handlers(pair::drop_stream).0).await.expect("start");
    pair::wait_until_linked(&a).await;
}

fn encode(frame: &LinkFrame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("encode");
    Message::Binary(Bytes::from(bytes))
}

fn decode(bytes: &[u8]) -> LinkFrame {
    ciborium::from_reader(bytes).expect("decode")
}
