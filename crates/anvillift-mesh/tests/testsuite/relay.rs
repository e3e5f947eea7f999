//! A TCP relay between two hosts that can pause the traffic.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

/// Small receive buffer, so that a paused relay soon blocks the sender.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
const CHUNK_BYTES: usize = 4 * 1024;

/// Forwards bytes in both directions unless it is paused.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    is_open: watch::Sender<bool>,
}

impl Relay {
    pub(crate) async fn start(target: String) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("buffer");
        socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
        let listener = socket.listen(16).expect("listen");
        let address = listener.local_addr().expect("address");
        let (is_open, _) = watch::channel(true);
        let gate = is_open.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(&target).await else { continue };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(forward(client_read, server_write, gate.subscribe()));
                tokio::spawn(forward(server_read, client_write, gate.subscribe()));
            }
        });
        Self { address, is_open }
    }

    /// Stops forwarding, but keeps the connections open.
    pub(crate) fn pause(&self) {
        self.is_open.send_replace(false);
    }

    pub(crate) fn resume(&self) {
        self.is_open.send_replace(true);
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut gate: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        if gate.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        match from.read(&mut chunk).await {
            Ok(count @ 1..) => {
                if gate.wait_for(|is_open| *is_open).await.is_err()
                    || to.write_all(&chunk[..count]).await.is_err()
                {
                    return;
                }
            }
            _ => return,
        }
    }
}
