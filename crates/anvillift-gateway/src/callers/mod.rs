//! HTTP interface for callers.
//!
//! `caller_request` handles a request from its head to its answer. It checks the key, the
//! service, loops and the permitted places before it reads the body. Then it admits the request and
//! sends it to an upstream.

pub(crate) mod caller_request;
pub mod chat;
pub(crate) mod directory;
mod hops;
mod read_body;
pub(crate) mod readiness;
mod unread_answer;

pub(crate) use hops::check as check_hops;
pub(crate) use read_body::{check_length, read as read_body};
