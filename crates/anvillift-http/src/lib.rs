//! HTTP/1.1 connections for a reverse proxy.
//!
//! A gateway that guarantees at most one execution must know, for each request,
//! whether any byte of it was sent, whether the response is complete, and whether
//! the bytes that follow belong to it. HTTP clients that pool connections, retry or
//! follow redirects by themselves hide this. A [`Connection`] therefore only reads
//! and writes: heads and bodies are read incrementally from a socket. Heads are
//! parsed by `httparse`. Framing that two parsers could interpret differently is
//! refused, since it would allow request smuggling.
//!
//! A [`ClosingListener`] accepts the connections that a listening socket has when it is closed.

mod body;
mod chunked;
mod closing_listener;
mod connection;
mod error;
mod framing;
mod head;
mod head_limits;
mod headers;
mod parse;
mod progress;

pub use body::BodyReader;
pub use closing_listener::ClosingListener;
pub use connection::Connection;
pub use error::HttpError;
pub use framing::Framing;
pub use head::{RequestHead, ResponseHead};
pub use head_limits::HeadLimits;
pub use headers::Headers;
pub use progress::Progress;
