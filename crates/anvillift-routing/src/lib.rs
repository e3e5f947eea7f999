//! Decisions about requests, without I/O.
//!
//! [`decide::decide`] is one pure function from the facts of a request, the
//! known load, the profile and a seeded generator to a [`decide::Decision`].

pub mod decide;
pub mod load_view;
pub mod request;
