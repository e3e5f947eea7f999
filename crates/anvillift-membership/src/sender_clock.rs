//! Estimates how late a message arrives.
//!
//! A message carries the monotonic clock of its sender. The smallest difference
//! between both clocks seen so far serves as the offset of a message without
//! delay. This reveals messages that waited in a buffer, behind a frozen process
//! or on an interrupted link, as well as duplicates. Start at [`SenderClock`].

/// Tolerated drift between two clocks: the offset may grow by 1 ms in this many
/// milliseconds.
const DRIFT_DIVISOR: u64 = 1000;

/// Estimated offset between the clock of this host and the clock of one incarnation of a sender.
#[derive(Clone, Debug, Default)]
pub struct SenderClock {
    incarnation: u64,
    offset_ms: Option<i64>,
    updated_ms: u64,
}

impl SenderClock {
    /// Returns how much longer a message took than one without delay, in milliseconds;
    /// `None` if an older incarnation sent it. A newer incarnation resets the offset.
    pub fn delay_ms(&mut self, now_ms: u64, incarnation: u64, sent_ms: u64) -> Option<u64> {
        if incarnation < self.incarnation {
            return None;
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, ..Self::default() };
        }
        let sample_ms = now_ms as i64 - sent_ms as i64;
        let offset_ms = match self.offset_ms {
            Some(offset_ms) => sample_ms.min(offset_ms + self.tolerated_drift_ms(now_ms)),
            None => sample_ms,
        };
        if self.offset_ms != Some(offset_ms) || sample_ms == offset_ms {
            self.offset_ms = Some(offset_ms);
            self.updated_ms = now_ms;
        }
        Some((sample_ms - offset_ms).unsigned_abs())
    }

    /// Newest incarnation of the sender seen so far; 0 before the first message.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn tolerated_drift_ms(&self, now_ms: u64) -> i64 {
        (now_ms.saturating_sub(self.updated_ms) / DRIFT_DIVISOR) as i64
    }
}
