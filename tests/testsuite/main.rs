//! Tests of the whole system: the command-line tool and real daemons.
//!
//! Each module holds one subject; `support` starts and harms the processes.

mod cli;
mod settings;
mod support;
mod tables;
