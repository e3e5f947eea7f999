//! Service-level burn: how fast the error budget of each profile is used up.
//!
//! A request is good if it met the objectives of its profile. The burn rate of
//! a window is the share of bad requests over the share that the objective
//! allows: at a rate of 1 the budget lasts exactly its period. An alert fires
//! when a long and a short window both burn faster than the pair's threshold,
//! so that it neither misses slow burns nor lasts after recovery. Counts go
//! from [`BurnRecorder`] to [`BurnReport`].

mod alert;
mod plot;
mod recorder;
mod report;
mod ring;
mod text;

pub use alert::{ALERT_PAIRS, AlertPair};
pub use recorder::BurnRecorder;
pub use report::{AlertState, BurnReport, ProfileReport};
