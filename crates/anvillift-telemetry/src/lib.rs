//! Structured logs, metrics and service-level burn.
