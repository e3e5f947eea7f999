//! Tests of the data folder: recovery, damage and faults.

mod damage;
mod faults;
mod recovery;
mod support;
