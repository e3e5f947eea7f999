//! Durability of the vote of a single replica.

use std::sync::Arc;

use anvillift_consensus::{Effect, RecoveredState, Replica, ReplicaSettings, Snapshot};
use anvillift_schema::consensus::{
    ConsensusEnvelope, ConsensusMessage, SnapshotMeta, Vote, Voter, VoterSet,
};
use anvillift_schema::name::Name;

const TERM: u64 = 5;
const LONG_AFTER_START_MS: u64 = 10_000;

fn voter(host: &str) -> Voter {
    Voter { host: Name::from(host), storage_id: Name::from(format!("disk of {host}")) }
}

fn start(vote: Option<Vote>) -> Replica {
    let voters = ["a", "b", "c"].map(voter).to_vec();
    let voters = VoterSet { voters, learners: Vec::new() };
    let meta = SnapshotMeta { index: 1, term: 1, voters };
    let snapshot = Some(Snapshot { meta, data: Arc::default() });
    let recovered = RecoveredState { vote, snapshot, ..RecoveredState::default() };
    let mut replica = Replica::new(ReplicaSettings::default(), voter("c"), recovered, 1);
    replica.tick(0);
    replica
}

fn request_vote(replica: &mut Replica, candidate: &Voter) -> Vec<Effect> {
    let message = ConsensusMessage::VoteRequest {
        term: TERM,
        pre_vote: false,
        last_index: 1,
        last_term: 1,
        transfer: false,
    };
    let envelope = ConsensusEnvelope {
        group: Name::default(),
        from_storage_id: candidate.storage_id.clone(),
        to_storage_id: voter("c").storage_id,
        message,
    };
    replica.receive(LONG_AFTER_START_MS, &candidate.host, envelope)
}

fn is_granted(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Send { envelope, .. } if matches!(
            envelope.message,
            ConsensusMessage::VoteResponse { granted: true, .. }
        ))
    })
}

/// Vote that is durable before the first message is sent.
fn saved_vote(effects: &[Effect]) -> Option<Vote> {
    let before = effects.iter().take_while(|effect| !matches!(effect, Effect::Send { .. }));
    let votes = before.filter_map(|effect| match effect {
        Effect::SaveVote { vote } => Some(vote.clone()),
        _ => None,
    });
    votes.last()
}

#[test]
fn a_vote_is_durable_before_it_is_sent_and_survives_a_restart() {
    let effects = request_vote(&mut start(None), &voter("a"));
    assert!(is_granted(&effects));
    let mut restarted = start(saved_vote(&effects));
    assert!(!is_granted(&request_vote(&mut restarted, &voter("b"))));
    assert!(
        is_granted(&request_vote(&mut restarted, &voter("a"))),
        "the same vote may be sent again"
    );
}

#[test]
fn a_vote_for_a_host_is_not_valid_after_its_disk_was_replaced() {
    let effects = request_vote(&mut start(None), &voter("a"));
    let mut restarted = start(saved_vote(&effects));
    let wiped = Voter { storage_id: Name::from("another disk of a"), ..voter("a") };
    assert!(!is_granted(&request_vote(&mut restarted, &wiped)));
}
