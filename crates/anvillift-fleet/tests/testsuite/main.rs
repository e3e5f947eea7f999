//! Tests of the fleet's tables and decisions.

mod seed;
mod verdict;
mod workers;
