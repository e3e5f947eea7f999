//! Tests of real daemon processes.

mod daemon;
mod planned_stop;
mod stalled_readers;
mod stream_upstream;
