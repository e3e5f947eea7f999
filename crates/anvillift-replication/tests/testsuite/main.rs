//! Tests of running groups, with and without disks.

mod faults;
mod group;
mod support;
