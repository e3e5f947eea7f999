//! HTTP towards callers, upstreams and operators; wires the parts together.
