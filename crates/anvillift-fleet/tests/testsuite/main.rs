//! Tests of the tables and decisions of a fleet.

mod admission;
mod answer_timeouts;
mod choose;
mod cold;
mod control;
mod core_roster;
mod crash_evidence;
mod directory;
mod event_position;
mod fingerprint;
mod health;
mod in_flight;
mod limit_share;
mod notices;
mod overload;
mod prefixes;
mod region_contact;
mod retries;
mod retry_decision;
mod room_share;
mod seed;
mod spill;
mod start_wait;
mod stream_origin;
mod subset;
mod workers;
