//! Tests of real daemon processes.

mod daemon;
mod metrics;
mod planned_stop;
mod stalled_readers;
mod stream_upstream;
