//! Measures the round-trip time of a link.
//!
//! A ping carries the time at which it was sent; the pong returns it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bytes::Bytes;

/// A new measurement contributes one part in this many to the moving average.
const SMOOTHING: u64 = 4;

const US_PER_MS: u64 = 1000;

/// Round-trip time of one link as a moving average; 0 means not measured yet.
pub(crate) struct RoundTrip {
    started: Instant,
    smoothed_us: AtomicU64,
}

impl Default for RoundTrip {
    fn default() -> Self {
        Self { started: Instant::now(), smoothed_us: AtomicU64::new(0) }
    }
}

impl RoundTrip {
    /// Returns the payload for a ping that is sent now.
    pub(crate) fn ping_payload(&self) -> Bytes {
        Bytes::copy_from_slice(&self.now_us().to_be_bytes())
    }

    /// Updates the average from the payload of a pong; malformed payloads are ignored.
    pub(crate) fn record_pong(&self, payload: &[u8]) {
        let Ok(sent_us) = payload.try_into() else { return };
        let Some(measured_us) = self.now_us().checked_sub(u64::from_be_bytes(sent_us)) else {
            return;
        };
        let previous_us = self.smoothed_us.load(Ordering::Relaxed);
        let smoothed_us = if previous_us == 0 {
            measured_us
        } else {
            (previous_us * (SMOOTHING - 1) + measured_us) / SMOOTHING
        };
        self.smoothed_us.store(smoothed_us.max(1), Ordering::Relaxed);
    }

    pub(crate) fn smoothed_ms(&self) -> Option<u64> {
        let smoothed_us = self.smoothed_us.load(Ordering::Relaxed);
        (smoothed_us > 0).then_some(smoothed_us / US_PER_MS)
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}
