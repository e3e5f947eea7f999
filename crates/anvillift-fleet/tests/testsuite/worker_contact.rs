//! Whether a host reaches the workers of its region, and the ways of a request.

use std::iter;

use anvillift_fleet::target_order::{Contact, Way, WayFacts};
use anvillift_fleet::{ContactChange, SilentWorker, WorkerContact, target_order};
use anvillift_schema::name::Name;
use rstest::rstest;

const READY: usize = 8;

fn worker(number: usize) -> Name {
    Name::from(format!("i-{number}"))
}

fn update(contact: &mut WorkerContact, ready: usize) -> Option<ContactChange> {
    contact.update(ready, iter::empty())
}

/// Guards against a host that counts as cut off because one worker or two are down, or that never
/// does where a region has few workers.
#[rstest]
#[case::one_worker_fails(READY, &[0, 0, 0, 0, 0, 0], false)]
#[case::two_fail(READY, &[0, 1, 0, 1, 0, 1], false)]
#[case::three_fail(READY, &[0, 1, 2], true)]
#[case::both_fail(2, &[0, 1], false)]
#[case::both_fail_again(2, &[0, 1, 0], true)]
#[case::the_only_one_fails_once(1, &[0], false)]
#[case::the_only_one_fails_thrice(1, &[0, 0, 0], true)]
fn different_workers_have_to_fail(
    #[case] ready: usize,
    #[case] failed: &[usize],
    #[case] is_lost: bool,
) {
    let mut contact = WorkerContact::default();
    for (index, number) in failed.iter().enumerate() {
        contact.record_failure(&worker(*number), 10 + index as u64);
        update(&mut contact, ready);
    }
    assert_eq!(contact.is_lost(), is_lost);
}

/// Guards against a host that never concludes that new connections fail, because requests use the
/// open ones to all but two workers; and against one that takes a cut from all workers for that, so
/// that it goes on sending there.
#[rstest]
#[case::one_worker_fails(&[0, 0, 0, 0], Some(15), false)]
#[case::two_fail_once(&[0, 1], Some(15), false)]
#[case::two_fail_again(&[0, 1, 0], Some(15), true)]
#[case::two_fail_without_answers(&[0, 1, 0], None, false)]
#[case::two_fail_after_the_answers(&[0, 1, 0], Some(9), false)]
#[case::three_fail_without_answers(&[0, 1, 2], None, true)]
fn new_connections_fail_at_two_workers_while_open_ones_live_on(
    #[case] failed: &[usize],
    #[case] answered_sent_ms: Option<u64>,
    #[case] is_lost: bool,
) {
    let (mut all, mut new_connections) = (WorkerContact::default(), WorkerContact::default());
    for (index, number) in failed.iter().enumerate() {
        let sent_ms = 10 + index as u64;
        all.record_failure(&worker(*number), sent_ms);
        new_connections.record_failure(&worker(*number), sent_ms);
    }
    if let Some(sent_ms) = answered_sent_ms {
        all.record_answer(sent_ms);
    }
    new_connections.update_beside(READY, &all);
    assert_eq!(new_connections.is_lost(), is_lost);
    let change = new_connections.record_answer(20);
    assert_eq!(change, is_lost.then_some(ContactChange::Regained));
}

/// Guards against failures of a rack that count as a cut while other workers answer, and against
/// old answers, on their way since before the cut, that hide one.
#[test]
fn only_answers_to_later_requests_count_against_failures() {
    let mut contact = WorkerContact::default();
    for number in 0..READY {
        let sent_ms = 1_000 * number as u64;
        contact.record_failure(&worker(number), sent_ms + 1);
        contact.record_answer(sent_ms + 2);
        assert_eq!(update(&mut contact, READY), None, "after failure {number}");
    }
    for number in 0..3 {
        contact.record_failure(&worker(number), 20_000);
        contact.record_answer(19_000);
    }
    assert_eq!(update(&mut contact, READY), Some(ContactChange::Lost));
    assert_eq!(update(&mut contact, READY), None, "lost already");
    assert_eq!(contact.record_answer(20_500), Some(ContactChange::Regained));
    assert_eq!(update(&mut contact, READY), None);
    contact.record_failure(&worker(1), 20_400);
    contact.record_failure(&worker(2), 20_400);
    contact.record_failure(&worker(3), 20_400);
    assert_eq!(update(&mut contact, READY), None, "sent before the answered one");
}

/// Guards against hanging connections that are not noticed before the timeouts of their requests.
#[test]
fn silent_workers_count_as_failed() {
    let silent = |numbers: std::ops::Range<usize>, since_ms| {
        numbers.map(move |number| SilentWorker { worker: worker(number), since_ms })
    };
    let mut contact = WorkerContact::default();
    contact.record_answer(1_000);
    assert_eq!(contact.update(READY, silent(0..8, 900)), None, "silent before the answer");
    assert_eq!(contact.update(READY, silent(0..2, 1_100)), None);
    contact.record_failure(&worker(5), 1_200);
    assert_eq!(contact.update(READY, silent(0..2, 1_100)), Some(ContactChange::Lost));
}

/// Guards against a host that waits for an answer of workers that are no longer there.
#[test]
fn contact_is_not_lost_without_workers() {
    let mut contact = WorkerContact::default();
    (0..3).for_each(|number| contact.record_failure(&worker(number), 10));
    assert_eq!(update(&mut contact, 3), Some(ContactChange::Lost));
    assert_eq!(update(&mut contact, 0), Some(ContactChange::Regained));
    assert_eq!(update(&mut contact, 3), None, "the failures are of workers that have gone");
}

/// Guards against a request that a host sends on which another host has forwarded, against a cut
/// host that goes on trying its workers, and against one that keeps open connections unused.
#[rstest]
#[case::usual(true, Contact::Full, 0,
    &[Way::PreferredRegion, Way::LocalWorker, Way::OtherRegion, Way::DegradedWorker])]
#[case::one_unreachable(true, Contact::Full, 1,
    &[Way::PreferredRegion, Way::LocalWorker, Way::OtherRegion, Way::DegradedWorker])]
#[case::two_unreachable(true, Contact::Full, 2,
    &[Way::Sibling, Way::OtherRegion, Way::LocalWorker, Way::DegradedWorker])]
#[case::no_new_connections(true, Contact::OpenConnections, 0,
    &[Way::Sibling, Way::OtherRegion, Way::LocalWorker, Way::DegradedWorker])]
#[case::cut_off(true, Contact::None, 0, &[Way::Sibling, Way::OtherRegion])]
#[case::forwarded(false, Contact::Full, 0, &[Way::LocalWorker, Way::DegradedWorker])]
#[case::forwarded_two_unreachable(false, Contact::Full, 2,
    &[Way::LocalWorker, Way::DegradedWorker])]
#[case::forwarded_no_new_connections(false, Contact::OpenConnections, 0, &[])]
#[case::forwarded_cut_off(false, Contact::None, 0, &[])]
fn ways_depend_on_the_contact(
    #[case] is_from_caller: bool,
    #[case] contact: Contact,
    #[case] unreachable_workers: u32,
    #[case] expected: &[Way],
) {
    let facts = WayFacts { is_from_caller, contact, unreachable_workers };
    assert_eq!(target_order::ways(&facts), expected);
}
