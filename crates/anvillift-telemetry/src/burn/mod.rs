//! Burn rate: how fast the error budget of each profile is spent.
//!
//! A request is good if it met the objectives of its profile. The burn rate of
//! a window is the share of bad requests divided by the share that the
//! objective allows: at a rate of 1 the budget lasts exactly its period. An
//! alert fires while a long and a short window both exceed the threshold of
//! their pair. The long window detects slow burns, and the short window ends the
//! alert soon after recovery. Each daemon counts requests in a [`BurnRecorder`],
//! and the operators' tool merges these counts into a [`BurnReport`].

mod alert;
mod plot;
mod recorder;
mod report;
mod ring;
mod text;

pub use alert::{ALERT_PAIRS, AlertPair};
pub use recorder::BurnRecorder;
pub use report::{AlertState, BurnReport, ProfileReport};
