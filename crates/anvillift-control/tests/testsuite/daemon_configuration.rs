//! Tests of the configuration in daemons: its revision never decreases, whatever
//! updates arrive in whatever order.

use anvillift_control::DaemonConfiguration;
use anvillift_schema::configuration::{Configuration, ConfigurationUpdate, Edit};
use proptest::prelude::*;

use crate::support::{Log, change, profile};

/// The configuration at each revision, and the log after the last one.
fn history(revisions: u64) -> (Vec<Configuration>, Log) {
    let mut log = Log::seeded();
    let mut history = vec![Configuration::default(), log.machine.configuration().clone()];
    for revision in 1..revisions {
        let edits = vec![Edit::PutProfile(profile(&format!("profile-{}", revision % 5)))];
        log.submit(&change(&format!("change-{revision}"), revision, edits));
        history.push(log.machine.configuration().clone());
    }
    (history, log)
}

#[test]
fn a_daemon_behind_the_kept_deltas_gets_the_whole_configuration() {
    let (_, log) = history(1_200);
    let update = log.machine.update_after(3);
    assert!(matches!(update, Some(ConfigurationUpdate::Whole(_))));
    let update = log.machine.update_after(1_190);
    assert!(matches!(&update, Some(ConfigurationUpdate::Deltas(deltas)) if deltas.len() == 10));
    assert_eq!(log.machine.update_after(1_200), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_daemon_never_goes_back_and_always_holds_an_accepted_configuration(
        requests in prop::collection::vec((0u64..30, 1u64..30), 1..30),
    ) {
        let (history, _) = history(30);
        let mut daemon_configuration = DaemonConfiguration::default();
        let mut relay = DaemonConfiguration::default();
        let mut before = 0;
        for (after, last_revision) in requests {
            // An update from an arbitrary state of the log, which may arrive late or twice.
            let (_, log) = crate::daemon_configuration::history(last_revision);
            if let Some(update) = log.machine.update_after(after) {
                relay.apply(update);
            }
            if let Some(update) = relay.update_after(after) {
                daemon_configuration.apply(update);
            }
            prop_assert!(daemon_configuration.revision() >= before);
            before = daemon_configuration.revision();
            prop_assert_eq!(&**daemon_configuration.configuration(), &history[daemon_configuration.revision() as usize]);
        }
    }
}
