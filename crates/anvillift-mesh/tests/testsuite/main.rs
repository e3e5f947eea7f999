//! Tests of links over real sockets.

mod calls;
mod certificates;
mod classes;
mod credits;
mod pair;
mod proof;
mod relay;
mod streams;
