//! Reads and checks INI settings and change files.
