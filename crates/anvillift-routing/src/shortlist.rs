//! The few best upstreams seen while scoring.
//!
//! Hosts share the same late news. If each took the single best upstream they
//! would all take the same one, so two of the nearly best are drawn and the
//! better of them is taken. Start at [`Shortlist`].

use rand::Rng;
use rand::rngs::SmallRng;

use crate::estimate::Estimate;

/// Upstreams kept.
const LENGTH: usize = 4;

/// An upstream this much worse than the best is not drawn, in milliseconds.
const SLACK_MS: f64 = 25.0;

/// An upstream worse than the best by this share is not drawn.
const SLACK_SHARE: f64 = 0.1;

/// An upstream with its score.
#[derive(Clone, Copy, Debug)]
pub struct Scored {
    /// Position in the view.
    pub position: usize,
    /// Score in milliseconds; lower is better.
    pub score_ms: f64,
    /// What is expected there.
    pub estimate: Estimate,
}

/// The best upstreams seen so far, best first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortlist {
    best: [Option<Scored>; LENGTH],
    /// Score of the last place, once all are taken.
    worst_ms: Option<f64>,
}

impl Shortlist {
    /// Offers an upstream; a better score for a listed one replaces its old score.
    #[inline]
    pub fn offer(&mut self, position: usize, score_ms: f64, estimate: Estimate) {
        // Most upstreams end here.
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
            self.withdraw(position);
        }
        let mut offered = Some(Scored { position, score_ms, estimate });
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
        self.worst_ms = self.best[LENGTH - 1].map(|worst| worst.score_ms);
    }

    /// Draws two of the nearly best and gives the better.
    pub fn draw(&self, draws: &mut SmallRng) -> Option<Scored> {
        let best = self.best[0]?;
        let limit_ms = best.score_ms + SLACK_MS.max(best.score_ms * SLACK_SHARE);
        let near = self.best.iter().flatten().filter(|scored| scored.score_ms <= limit_ms).count();
        let one = draws.random_range(0..near);
        let other = draws.random_range(0..near);
        self.best[one.min(other)]
    }

    fn withdraw(&mut self, position: usize) {
        let kept = self.best.into_iter().flatten().filter(|scored| scored.position != position);
        let mut best = [None; LENGTH];
        for (slot, scored) in best.iter_mut().zip(kept) {
            *slot = Some(scored);
        }
        self.best = best;
    }
}
