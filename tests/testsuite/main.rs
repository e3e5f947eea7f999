//! Tests of the whole system: the command-line tool and real daemons.
//!
//! Each module holds one subject; `support` starts and harms the processes.

mod burn;
mod changes;
mod cli;
mod commands;
mod control;
mod directory;
mod drain;
mod isolation;
mod leave;
mod loops;
mod operating;
mod placement;
mod restart;
mod settings;
mod soak;
mod streaming;
mod support;
mod tables;
