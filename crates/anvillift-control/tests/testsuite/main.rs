//! Tests of the control state and of the configuration that daemons hold.

mod changes;
mod held;
mod support;
