//! Shortlist of the best upstreams, built while they are scored.
//!
//! All hosts see the same delayed load reports. If each took the single best
//! upstream, they would all overload the same one. Instead two of the nearly best
//! are drawn at random and the better of the two is taken.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::estimate::Estimate;

/// Most upstreams on the shortlist.
const CAPACITY: usize = 4;

/// Upstreams whose score exceeds the best one by no more than this may be drawn, in milliseconds.
const SLACK_MS: f64 = 25.0;

/// Upstreams whose score exceeds the best one by no more than this share of it may be drawn.
const SLACK_SHARE: f64 = 0.1;

/// An upstream with its score and estimate.
#[derive(Clone, Copy, Debug)]
pub struct ScoredUpstream {
    /// Index of the upstream in the view.
    pub position: usize,
    /// Score in milliseconds; lower is better.
    pub score_ms: f64,
    /// Expected latency at the upstream.
    pub estimate: Estimate,
}

/// The best upstreams offered so far, best first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortlist {
    best: [Option<ScoredUpstream>; CAPACITY],
    /// Score of the last entry; `None` until the list is full.
    worst_ms: Option<f64>,
}

impl Shortlist {
    /// Offers an upstream. If it is listed already, the better of both scores counts.
    #[inline]
    pub fn offer(&mut self, position: usize, score_ms: f64, estimate: Estimate) {
        // Most upstreams are worse than all entries, so this check avoids most insertions.
        if self.worst_ms.is_none_or(|worst_ms| score_ms < worst_ms) {
            self.insert(position, score_ms, estimate);
        }
    }

    fn insert(&mut self, position: usize, score_ms: f64, estimate: Estimate) {
        let listed = self.best.iter().flatten().find(|scored| scored.position == position);
        if let Some(listed) = listed {
            if listed.score_ms <= score_ms {
                return;
            }
            self.remove(position);
        }
        let mut offered = Some(ScoredUpstream { position, score_ms, estimate });
        for slot in &mut self.best {
            let better = match (&*slot, &offered) {
                (Some(kept), Some(new)) => new.score_ms < kept.score_ms,
                (None, _) => true,
                (_, None) => false,
            };
            if better {
                std::mem::swap(slot, &mut offered);
            }
        }
        self.worst_ms = self.best[CAPACITY - 1].map(|worst| worst.score_ms);
    }

    /// Draws two of the nearly best upstreams and returns the better one; `None` if
    /// the list is empty.
    pub fn draw(&self, rng: &mut SmallRng) -> Option<ScoredUpstream> {
        let best = self.best[0]?;
        let limit_ms = best.score_ms + SLACK_MS.max(best.score_ms * SLACK_SHARE);
        let nearly_best =
            self.best.iter().flatten().filter(|scored| scored.score_ms <= limit_ms).count();
        let one = rng.random_range(0..nearly_best);
        let other = rng.random_range(0..nearly_best);
        self.best[one.min(other)]
    }

    fn remove(&mut self, position: usize) {
        let kept = self.best.into_iter().flatten().filter(|scored| scored.position != position);
        let mut best = [None; CAPACITY];
        for (slot, scored) in best.iter_mut().zip(kept) {
            *slot = Some(scored);
        }
        self.best = best;
    }
}
