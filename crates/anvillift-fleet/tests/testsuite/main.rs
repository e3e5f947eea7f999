//! Tests of the tables and decisions of a fleet.

mod choose;
mod cold;
mod control;
mod core_roster;
mod directory;
mod health;
mod in_flight;
mod patience;
mod retries;
mod seed;
mod spill;
mod start_wait;
mod subset;
mod verdict;
mod workers;
