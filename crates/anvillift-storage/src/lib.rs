//! The data folder: checksummed log, snapshots and identity.
