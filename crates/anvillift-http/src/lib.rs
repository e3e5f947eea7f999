//! HTTP/1.1 connections for forwarding.
//!
//! A gateway that promises at most one execution must know, for each request,
//! whether a byte of it has left, whether the answer is whole, and whether the
//! bytes that follow belong to it. The types here keep that knowledge: a
//! [`Connection`] reads heads and bodies incrementally over a socket and never
//! pools, retries or follows anything by itself. Heads are parsed by
//! `httparse`; framing that two parsers could read differently is refused.
//! Start at [`Connection`].

mod body;
mod chunked;
mod connection;
mod error;
mod framing;
mod head;
mod headers;
mod parse;
mod progress;

pub use body::BodyReader;
pub use connection::Connection;
pub use error::HttpError;
pub use framing::Framing;
pub use head::{RequestHead, ResponseHead};
pub use headers::Headers;
pub use progress::Progress;
