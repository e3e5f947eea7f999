//! Authenticated links between hosts.
//!
//! Each pair of linked hosts shares one WebSocket connection that carries the
//! CBOR frames of `schema/link.json`: messages, calls and multiplexed streams.
//! The host with the smaller name dials the other. Before they exchange any
//! other frame, both sides prove that they hold the link key. Start at
//! [`mesh::Mesh`].

mod codec;
mod dial;
pub mod error;
pub mod handlers;
mod handshake;
mod link;
pub mod mesh;
mod read_limited;
pub mod round_trip;
mod settings;
pub mod stream;
mod stream_state;
pub mod tls;
mod transport;
mod write_queue;

pub use error::{CallError, OpenError, StartError};
pub use handlers::{IncomingStream, MeshHandlers};
pub use mesh::Mesh;
pub use settings::MeshSettings;
pub use stream::{AnswerSender, BodyReceiver, BodySender, ForwardedAnswer};
