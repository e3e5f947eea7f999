//! Messages and settings of anvillift, generated from the schemas in `schema/`,
//! with the result codes and log events that they refer to.
//!
//! Each module re-exported from [`generated`] holds the types of one schema file.

pub mod code;
mod defaults;
pub mod event;
pub mod generated;
pub mod key_hash;
pub mod name;
pub mod payload;
pub mod rendezvous;
pub mod team_keys;

pub use generated::{
    burn, configuration, consensus, fleet, ledger, link, membership, operators, public, settings,
    upstream,
};
