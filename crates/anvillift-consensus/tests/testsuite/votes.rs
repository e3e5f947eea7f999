//! Votes of a single replica.

use std::sync::Arc;

use anvillift_consensus::{Effect, Recovered, Replica, ReplicaSettings, Snapshot};
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
    let recovered = Recovered { vote, snapshot, ..Recovered::default() };
    let mut replica = Replica::new(ReplicaSettings::default(), voter("c"), recovered, 1);
    replica.tick(0);
    replica
}

fn ask(replica: &mut Replica, candidate: &Voter) -> Vec<Effect> {
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

fn granted(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Send { envelope, .. } if matches!(
            envelope.message,
            ConsensusMessage::VoteResponse { granted: true, .. }
        ))
    })
}

/// What is durable before the first message leaves.
fn saved(effects: &[Effect]) -> Option<Vote> {
    let before = effects.iter().take_while(|effect| !matches!(effect, Effect::Send { .. }));
    let votes = before.filter_map(|effect| match effect {
        Effect::SaveVote { vote } => Some(vote.clone()),
        _ => None,
    });
    votes.last()
}

#[test]
fn a_vote_is_durable_before_it_is_told_and_holds_after_a_restart() {
    let effects = ask(&mut start(None), &voter("a"));
    assert!(granted(&effects));
    let mut restarted = start(saved(&effects));
    assert!(!granted(&ask(&mut restarted, &voter("b"))));
    assert!(granted(&ask(&mut restarted, &voter("a"))), "the same vote may be told again");
}

#[test]
fn a_vote_for_a_host_does_not_go_to_its_next_disk() {
    let effects = ask(&mut start(None), &voter("a"));
    let mut restarted = start(saved(&effects));
    let wiped = Voter { storage_id: Name::from("another disk of a"), ..voter("a") };
    assert!(!granted(&ask(&mut restarted, &wiped)));
}
