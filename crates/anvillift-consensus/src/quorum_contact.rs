//! What the leader concludes from the answers of a majority: its lease, that it has lost its
//! quorum, and linearizable reads.

use crate::effect::Effect;
use crate::progress::Progress;
use crate::quorum;
use crate::replica::Replica;
use crate::role::{Leadership, PendingRead, ReplicaKey, Role};

impl Replica {
    /// End of the lease. No other replica can become leader before this time.
    pub(crate) fn lease_until_ms(&self, leadership: &Leadership, now_ms: u64) -> u64 {
        self.quorum_acked_ms(leadership, now_ms) + self.settings.lease_ms()
    }

    /// Send time of the newest message that a majority of the voters has
    /// answered.
    fn quorum_acked_ms(&self, leadership: &Leadership, now_ms: u64) -> u64 {
        quorum::majority_value(self.log.voters(), |voter| {
            if *voter == self.identity {
                return now_ms;
            }
            let progress: Option<&Progress> =
                leadership.progress.get::<ReplicaKey>(&Self::key(voter));
            progress.map_or(0, |progress| progress.acked_ms)
        })
    }

    /// Steps down if no majority has answered within an election timeout.
    pub(crate) fn check_quorum(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else { return };
        let acked_ms = self.quorum_acked_ms(leadership, now_ms).max(leadership.since_ms);
        if now_ms > acked_ms + self.settings.election_timeout_ms {
            self.become_follower(now_ms);
        }
    }

    pub(crate) fn begin_read(&mut self, now_ms: u64, request_id: u64) {
        let can_serve = self.can_serve_reads(now_ms);
        let commit_index = self.commit_index;
        let Role::Leader(leadership) = &mut self.role else { return };
        if can_serve {
            self.emit(Effect::Answer { request_id, result: Ok(commit_index) });
            return;
        }
        let index = commit_index.max(leadership.first_index);
        leadership.reads.push(PendingRead { request_id, requested_ms: now_ms, index });
    }

    /// Answers the pending reads for which a majority has answered a message that
    /// was sent after the read arrived, which confirms the leadership.
    pub(crate) fn answer_reads(&mut self, now_ms: u64) {
        let applied_index = self.applied_index;
        let Role::Leader(leadership) = &self.role else { return };
        let acked_ms = self.quorum_acked_ms(leadership, now_ms);
        let Role::Leader(leadership) = &mut self.role else { return };
        let ready =
            |read: &mut PendingRead| read.requested_ms < acked_ms && read.index <= applied_index;
        let answered: Vec<PendingRead> = leadership.reads.extract_if(.., ready).collect();
        for read in answered {
            self.emit(Effect::Answer { request_id: read.request_id, result: Ok(read.index) });
        }
    }
}
