//! The configuration state machine: profiles, changes, orders to upstreams.
