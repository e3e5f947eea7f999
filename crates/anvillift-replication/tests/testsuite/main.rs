//! Tests of running groups, with and without storage.

mod faults;
mod group;
mod support;
