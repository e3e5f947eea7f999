//! The round trip of a link, measured by its pings.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bytes::Bytes;

/// Weight of a new measurement is one part in this many.
const SMOOTHING: u64 = 4;

const US_PER_MS: u64 = 1000;

/// Round trip of one link; 0 stands for not measured.
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
    /// Payload of a ping sent now.
    pub(crate) fn ping(&self) -> Bytes {
        Bytes::copy_from_slice(&self.now_us().to_be_bytes())
    }

    /// Takes the payload of a ping back.
    pub(crate) fn pong(&self, payload: &[u8]) {
        let Ok(sent) = payload.try_into() else { return };
        let Some(measured_us) = self.now_us().checked_sub(u64::from_be_bytes(sent)) else { return };
        let before_us = self.smoothed_us.load(Ordering::Relaxed);
        let smoothed_us = if before_us == 0 {
            measured_us
        } else {
            (before_us * (SMOOTHING - 1) + measured_us) / SMOOTHING
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
