//! Tests of connections, over loopback sockets.

mod connection;
mod framing;
