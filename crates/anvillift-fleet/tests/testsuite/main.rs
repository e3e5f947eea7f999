//! Tests of the fleet's tables and decisions.

mod choose;
mod cold;
mod control;
mod core_roster;
mod directory;
mod health;
mod patience;
mod seed;
mod spill;
mod verdict;
mod workers;
