//! Stand-ins, load tool and experiments of anvillift.

fn main() {}
