//! A relay between two hosts that can stop passing bytes on.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

/// Bytes that the kernel keeps for a relay that does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
const CHUNK_BYTES: usize = 4 * 1024;

/// Passes bytes on while it is open.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Relay {
    pub(crate) async fn start(target: String) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("buffer");
        socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
        let listener = socket.listen(16).expect("listen");
        let address = listener.local_addr().expect("address");
        let (open, _) = watch::channel(true);
        let gate = open.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(&target).await else { continue };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pass(near_read, far_write, gate.subscribe()));
                tokio::spawn(pass(far_read, near_write, gate.subscribe()));
            }
        });
        Self { address, open }
    }

    /// Passes nothing on, and keeps the connections.
    pub(crate) fn shut(&self) {
        self.open.send_replace(false);
    }

    pub(crate) fn open(&self) {
        self.open.send_replace(true);
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut gate: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        if gate.wait_for(|open| *open).await.is_err() {
            return;
        }
        match from.read(&mut chunk).await {
            Ok(count @ 1..) => {
                if gate.wait_for(|open| *open).await.is_err()
                    || to.write_all(&chunk[..count]).await.is_err()
                {
                    return;
                }
            }
            _ => return,
        }
    }
}
