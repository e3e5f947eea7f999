//! Rules of the ledger's state machine, of keys and of stored answers.

use anvillift_ledger::answers::{AnswerStore, AnswerStoreSettings};
use anvillift_ledger::key;
use anvillift_ledger::machine::{Machine, MachineSettings, decode_verdict, encode_operation};
use anvillift_schema::ledger::{CommandKey, CommandOutcome, LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use anvillift_schema::payload::Payload;
use proptest::prelude::*;

const ISSUED_UNIX_MS: u64 = 1_790_000_000_000;
const RETENTION_MS: u64 = 3_600_000;

fn reserve(key: &str, body: &str, attempt: &str) -> LedgerOperation {
    LedgerOperation::Reserve {
        key_hash: key.to_owned(),
        body_hash: body.to_owned(),
        attempt: Name::from(attempt),
        holder: Name::from("host-a#1"),
        dispatch_within_ms: 2_000,
        issued_unix_ms: ISSUED_UNIX_MS,
        retention_ms: RETENTION_MS,
    }
}

fn complete(key: &str, attempt: &str) -> LedgerOperation {
    LedgerOperation::Complete {
        key_hash: key.to_owned(),
        attempt: Name::from(attempt),
        status: 200,
        answer_hash: "hash".to_owned(),
    }
}

fn abandon(key: &str, attempt: &str, not_run: bool) -> LedgerOperation {
    LedgerOperation::Abandon { key_hash: key.to_owned(), attempt: Name::from(attempt), not_run }
}

fn machine() -> Machine {
    formed_machine(MachineSettings::default())
}

fn formed_machine(settings: MachineSettings) -> Machine {
    let mut machine = Machine::new(settings);
    machine.apply(LedgerOperation::Expire { now_unix_ms: ISSUED_UNIX_MS - 1_000 });
    machine
}

fn ran() -> LedgerVerdict {
    LedgerVerdict::Ran { status: 200, answer_hash: "hash".to_owned() }
}

#[test]
fn a_repeated_key_gets_the_first_outcome() {
    let mut machine = machine();
    assert_eq!(machine.apply(reserve("k", "b", "a1")), LedgerVerdict::Reserved(true));
    let in_progress =
        LedgerVerdict::InProgress { attempt: Name::from("a1"), holder: Name::from("host-a#1") };
    assert_eq!(machine.apply(reserve("k", "b", "a2")), in_progress);
    assert_eq!(machine.apply(complete("k", "a1")), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(reserve("k", "b", "a3")), ran());
    assert_eq!(machine.apply(reserve("k", "other", "a4")), LedgerVerdict::Mismatch(true));
}

#[test]
fn an_unknown_key_can_be_completed_only_by_its_own_attempt() {
    let mut machine = machine();
    machine.apply(reserve("k", "b", "a1"));
    assert_eq!(machine.apply(abandon("k", "a1", false)), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(reserve("k", "b", "a2")), LedgerVerdict::Unknown(true));
    assert_eq!(machine.apply(abandon("k", "a2", true)), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(complete("k", "a2")), LedgerVerdict::Recorded(false));
    assert_eq!(machine.apply(reserve("k", "b", "a3")), LedgerVerdict::Unknown(true));
    assert_eq!(machine.apply(complete("k", "a1")), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(reserve("k", "b", "a4")), ran());
}

#[test]
fn a_key_can_be_reserved_again_after_its_attempt_did_not_run() {
    let mut machine = machine();
    machine.apply(reserve("k", "b", "a1"));
    machine.apply(abandon("k", "a1", true));
    assert_eq!(machine.apply(reserve("k", "b", "a2")), LedgerVerdict::Reserved(true));
    machine.apply(abandon("k", "a1", true));
    machine.apply(abandon("k", "a1", false));
    assert_eq!(machine.apply(complete("k", "a2")), LedgerVerdict::Recorded(true));
}

#[test]
fn a_reservation_applied_after_its_release_is_refused() {
    let mut machine = machine();
    machine.apply(abandon("k", "a1", true));
    assert_eq!(machine.apply(reserve("k", "b", "a1")), LedgerVerdict::Recorded(false));
    assert_eq!(machine.apply(reserve("k", "b", "a2")), LedgerVerdict::Reserved(true));
}

#[test]
fn a_key_past_its_retention_is_refused_as_expired() {
    let mut machine = machine();
    machine.apply(reserve("k", "b", "a1"));
    machine.apply(complete("k", "a1"));
    let before = LedgerOperation::Expire { now_unix_ms: ISSUED_UNIX_MS + RETENTION_MS - 1 };
    machine.apply(before);
    assert_eq!(machine.apply(reserve("k", "b", "a2")), ran());
    let after = LedgerOperation::Expire { now_unix_ms: ISSUED_UNIX_MS + RETENTION_MS };
    machine.apply(after);
    assert_eq!(machine.key_count(), 0);
    assert_eq!(machine.apply(reserve("k", "b", "a3")), LedgerVerdict::Expired(true));
    machine.apply(LedgerOperation::Expire { now_unix_ms: 0 });
    assert_eq!(machine.apply(reserve("k", "b", "a4")), LedgerVerdict::Expired(true));
}

#[test]
fn a_newly_formed_group_refuses_keys_issued_before_its_formation() {
    let mut machine = Machine::new(MachineSettings::default());
    assert_eq!(machine.apply(reserve("k", "b", "a1")), LedgerVerdict::Full(true));
    machine.apply(LedgerOperation::Expire { now_unix_ms: ISSUED_UNIX_MS + 1 });
    assert_eq!(machine.apply(reserve("k", "b", "a2")), LedgerVerdict::Expired(true));
}

#[test]
fn a_full_ledger_refuses_new_keys_and_drops_none() {
    let settings = MachineSettings { max_keys: 2, ..MachineSettings::default() };
    let mut machine = formed_machine(settings);
    machine.apply(reserve("k1", "b", "a1"));
    machine.apply(reserve("k2", "b", "a2"));
    machine.apply(complete("k1", "a1"));
    assert_eq!(machine.apply(reserve("k3", "b", "a3")), LedgerVerdict::Full(true));
    assert_eq!(machine.apply(reserve("k1", "b", "a4")), ran());
}

#[test]
fn a_fencing_number_never_decreases() {
    let mut machine = machine();
    let fence = |fencing| LedgerOperation::Fence { upstream: Name::from("u"), fencing };
    assert_eq!(machine.apply(fence(7)), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(fence(7)), LedgerVerdict::Recorded(true));
    assert_eq!(machine.apply(fence(6)), LedgerVerdict::Recorded(false));
    assert_eq!(machine.fencing(&Name::from("u")), Some(7));
}

#[test]
fn a_snapshot_restores_the_complete_state() {
    let mut machine = machine();
    machine.apply(reserve("k1", "b", "a1"));
    machine.apply(reserve("k2", "b", "a2"));
    machine.apply(complete("k2", "a2"));
    machine.apply(abandon("k3", "a3", true));
    machine.apply(LedgerOperation::Fence { upstream: Name::from("u"), fencing: 3 });
    let mut other = Machine::new(MachineSettings::default());
    other.restore(&machine.snapshot()).expect("snapshot decodes");
    assert_eq!(other.snapshot(), machine.snapshot());
    assert_eq!(other.apply(reserve("k2", "b", "a4")), ran());
    assert_eq!(other.apply(reserve("k3", "b", "a3")), LedgerVerdict::Recorded(false));
}

#[test]
fn the_issue_time_of_a_key_comes_from_its_uuid() {
    let unix_ms = ISSUED_UNIX_MS;
    let (seconds, nanoseconds) = (unix_ms / 1000, (unix_ms % 1000) as u32 * 1_000_000);
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanoseconds);
    let timed = uuid::Uuid::new_v7(stamp).to_string();
    assert_eq!(key::issued_unix_ms(&timed, unix_ms + 5), Ok(unix_ms));
    assert_eq!(key::issued_unix_ms("order-7", unix_ms + 5), Ok(unix_ms + 5));
    assert_eq!(
        key::issued_unix_ms(&timed, unix_ms - key::MAX_FUTURE_MS - 1),
        Err(key::KeyError::InFuture)
    );
    assert_eq!(key::issued_unix_ms("", unix_ms), Err(key::KeyError::Length));
    assert_eq!(key::issued_unix_ms(&"k".repeat(256), unix_ms), Err(key::KeyError::Length));
}

#[test]
fn keys_of_different_scopes_have_different_hashes() {
    let scope = |team: &str, service: &str, home: &str, key: &str| CommandKey {
        team: Name::from(team),
        service: Name::from(service),
        home: Name::from(home),
        key: Name::from(key),
    };
    let hashes: std::collections::BTreeSet<String> = [
        scope("t", "s", "h", "k"),
        scope("ts", "", "h", "k"),
        scope("t", "sh", "", "k"),
        scope("t", "s", "hk", ""),
        scope("t", "s", "h", "k2"),
    ]
    .iter()
    .map(key::key_hash)
    .collect();
    assert_eq!(hashes.len(), 5);
}

#[test]
fn answers_are_limited_in_bytes_and_fetched_by_hash() {
    let answer = |fill: u8, bytes: usize| CommandOutcome {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Payload::from(vec![fill; bytes]),
    };
    let mut answers =
        AnswerStore::new(AnswerStoreSettings { max_bytes: 1_000, max_answer_bytes: 500 });
    for number in 0..20u8 {
        assert!(answers.store(
            0,
            format!("k{number}"),
            answer(number, 100),
            1_000 + u64::from(number)
        ));
        assert!(answers.bytes() <= 1_000);
    }
    assert!(!answers.store(0, "large".to_owned(), answer(0, 600), 1_000));
    let hash = key::answer_hash(&answer(19, 100));
    assert_eq!(answers.fetch(0, "k19", &hash), Some(answer(19, 100)));
    assert_eq!(answers.fetch(0, "k19", "other"), None);
    assert_eq!(answers.fetch(2_000, "k19", &hash), None);
    assert_eq!(answers.fetch(0, "k0", &key::answer_hash(&answer(0, 100))), None);
}

proptest! {
    /// Arbitrary bytes must not cause a panic, and must change nothing unless
    /// they decode as an operation.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut machine = machine();
        let before = machine.snapshot();
        let verdict = decode_verdict(&machine.apply_bytes(&bytes));
        prop_assert!(verdict.is_some());
        if verdict == Some(LedgerVerdict::Recorded(false)) {
            prop_assert_eq!(before, machine.snapshot());
        }
        let _ = machine.restore(&bytes);
    }

    /// An operation with a changed byte must not cause a panic.
    #[test]
    fn damaged_operations_do_not_panic(position in 0usize..200, byte in any::<u8>()) {
        let mut bytes = encode_operation(&reserve("key", "body", "attempt"));
        let position = position % bytes.len();
        bytes[position] = byte;
        let mut machine = machine();
        prop_assert!(decode_verdict(&machine.apply_bytes(&bytes)).is_some());
    }
}
