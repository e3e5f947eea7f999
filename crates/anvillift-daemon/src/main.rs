//! The anvillift daemon.

fn main() {}
