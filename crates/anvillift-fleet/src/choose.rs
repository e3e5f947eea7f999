//! Which worker takes a request.
//!
//! Workers without trouble come first, warm ones before cold ones. Among those,
//! a prompt with a long shared part goes where that part is likely to be kept:
//! each part ranks the workers by a hash that all hosts compute alike, and the
//! first of the ranking that isn't much busier than the others takes it.
//! Everything else goes to the less loaded of the candidates that this host
//! prefers. A worker that is much slower than the others counts as more loaded
//! than its requests say: where many hosts share a worker, none of them has many
//! requests there.

use anvillift_schema::name::Name;
use anvillift_schema::rendezvous;

use crate::in_flight::InFlight;
use crate::prompt::Prompt;

/// Shared parts shorter than this are cheaper to read again than to follow, in tokens.
const FOLLOWED_TOKENS: u64 = 1_000;
/// Load above the least loaded candidate up to which a shared part is followed.
const FOLLOWED_EXCESS: f64 = 0.25;
/// Prompt tokens that weigh as much as a full batch.
const BATCH_TOKENS: f64 = 60_000.0;

/// Multiple of the usual pace up to which a worker is not slow.
const SLOW_PACE: f64 = 1.5;

/// Whether a prompt goes where its shared part is kept.
pub fn follows(prompt: &Prompt) -> bool {
    prompt.shared_tokens >= FOLLOWED_TOKENS
}

/// The worker of a whole fleet that is most likely to keep the shared part of a
/// prompt, if that part is long enough to follow it.
pub fn keeper<'a>(workers: impl Iterator<Item = &'a Name>, prompt: &Prompt) -> Option<&'a Name> {
    if !follows(prompt) {
        return None;
    }
    workers.max_by_key(|worker| rendezvous::rank(prompt.shared_id, worker))
}

/// How much a worker is to be avoided.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, derive_more::Display)]
pub enum Trouble {
    /// Not at all.
    #[default]
    #[display("none")]
    None,
    /// It failed often lately.
    #[display("failing")]
    Failing,
    /// It doesn't answer.
    #[display("silent")]
    Silent,
}

/// A worker that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the worker.
    pub worker: Name,
    /// Work of this host that waits there.
    pub work: InFlight,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it is cold.
    pub is_cold: bool,
    /// How much it is to be avoided.
    pub trouble: Trouble,
    /// Whether it belongs to the part of the workers that this host prefers.
    pub is_preferred: bool,
    /// What its answers take, as a multiple of what they usually take.
    pub pace: f64,
}

impl Default for Candidate {
    fn default() -> Self {
        Self {
            worker: Name::default(),
            work: InFlight::default(),
            slots: 0,
            is_cold: false,
            trouble: Trouble::None,
            is_preferred: false,
            pace: 1.0,
        }
    }
}

impl Candidate {
    /// Load in batches with one request more, the greater where the worker is
    /// slow beside the usual one.
    fn load(&self, usual_pace: f64) -> f64 {
        let next = 1.0 / self.slots.max(1) as f64;
        let slowness = self.pace / usual_pace / SLOW_PACE;
        (load(&self.work, self.slots) + next) * slowness.max(1.0)
    }
}

/// The lower median of the candidates' paces.
fn usual_pace(candidates: &[Candidate]) -> f64 {
    let mut paces: Vec<f64> = candidates.iter().map(|candidate| candidate.pace).collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
}

/// The load that work makes, in batches of `slots` requests.
pub fn load(work: &InFlight, slots: u64) -> f64 {
    work.requests as f64 / slots.max(1) as f64 + work.unread_tokens as f64 / BATCH_TOKENS
}

/// The candidates in the order in which they are to be tried. `draw` breaks ties.
pub fn order(candidates: &mut [Candidate], prompt: &Prompt, draw: u64) {
    let usual_pace = usual_pace(candidates);
    let load = |candidate: &Candidate| candidate.load(usual_pace);
    let rank = |candidate: &Candidate, key: u64| rendezvous::rank(key, &candidate.worker);
    candidates.sort_by(|left, right| {
        let avoid = |candidate: &Candidate| {
            let is_apart = !candidate.is_preferred && !follows(prompt);
            (candidate.trouble, candidate.is_cold, is_apart)
        };
        let by_load = load(left).total_cmp(&load(right));
        let tie = rank(left, draw).cmp(&rank(right, draw));
        avoid(left).cmp(&avoid(right)).then(by_load).then(tie)
    });
    if !follows(prompt) {
        return;
    }
    let Some(first) = candidates.first() else { return };
    let (trouble, is_cold, least) = (first.trouble, first.is_cold, load(first));
    let alike = candidates
        .iter()
        .take_while(|other| other.trouble == trouble && other.is_cold == is_cold)
        .count();
    let free = candidates[..alike]
        .iter()
        .take_while(|other| load(other) <= least + FOLLOWED_EXCESS)
        .count();
    let keeper = (0..free).max_by_key(|index| rank(&candidates[*index], prompt.shared_id));
    if let Some(index) = keeper {
        candidates[..=index].rotate_right(1);
    }
}
