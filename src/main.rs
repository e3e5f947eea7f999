//! The command-line tool of anvillift.

fn main() {}
