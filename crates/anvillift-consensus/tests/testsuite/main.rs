//! Tests of the replicated log core under a virtual clock.

mod harness;
mod leadership;
mod schedules;
mod starts;
mod votes;
