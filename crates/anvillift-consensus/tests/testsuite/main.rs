//! Tests of the consensus core under a virtual clock.

mod harness;
mod leadership;
mod schedules;
mod starts;
mod votes;
