//! Stand-in upstreams, load tool, experiments and benchmarks.
