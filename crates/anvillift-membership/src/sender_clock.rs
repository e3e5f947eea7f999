//! How late a message is.
//!
//! A message carries its sender's monotonic clock. The smallest difference
//! between both clocks seen so far stands for a prompt message, so that one
//! that waited in a buffer, behind a frozen process or on a cut link is known
//! to be old, as is a duplicate. Start at [`SenderClock`].

/// Drift between two clocks that is forgiven, in milliseconds a millisecond.
const DRIFT_DIVISOR: u64 = 1000;

/// The clock of one incarnation of a sender, as seen from here.
#[derive(Clone, Debug, Default)]
pub struct SenderClock {
    incarnation: u64,
    offset_ms: Option<i64>,
    updated_ms: u64,
}

impl SenderClock {
    /// How late a message is, in milliseconds; `None` if an older incarnation sent it.
    pub fn delay_ms(&mut self, now_ms: u64, incarnation: u64, sent_ms: u64) -> Option<u64> {
        if incarnation < self.incarnation {
            return None;
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, ..Self::default() };
        }
        let sample_ms = now_ms as i64 - sent_ms as i64;
        let offset_ms = match self.offset_ms {
            Some(offset_ms) => sample_ms.min(offset_ms + self.drift_ms(now_ms)),
            None => sample_ms,
        };
        if self.offset_ms != Some(offset_ms) || sample_ms == offset_ms {
            self.offset_ms = Some(offset_ms);
            self.updated_ms = now_ms;
        }
        Some((sample_ms - offset_ms).unsigned_abs())
    }

    /// Incarnation of the sender.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn drift_ms(&self, now_ms: u64) -> i64 {
        (now_ms.saturating_sub(self.updated_ms) / DRIFT_DIVISOR) as i64
    }
}
