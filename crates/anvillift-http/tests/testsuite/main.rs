//! Tests of the HTTP/1.1 connection, over loopback sockets.

mod connection;
mod framing;
