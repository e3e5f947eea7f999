//! The replicated log core, without I/O, clock or randomness of its own.
