//! At most once: reservations and outcomes of commands.
