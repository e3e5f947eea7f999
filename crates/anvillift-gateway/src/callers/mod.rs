//! The side towards callers.
//!
//! [`ask`](self) takes a request from its head to its answer: key, service,
//! loop check and placement before the body is read, then the body, admission
//! and the attempt.

pub(crate) mod ask;
pub mod chat;
pub(crate) mod directory;
mod hops;
mod read_body;
pub(crate) mod report;

pub(crate) use hops::check as check_hops;
pub(crate) use read_body::{check_length, read as read_body};
