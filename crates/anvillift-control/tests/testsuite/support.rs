//! Builders for configurations and commands.

use anvillift_control::{ControlMachine, encode};
use anvillift_schema::configuration::{
    Change, Configuration, ControlAnswer, ControlCommand, Edit, Profile, Service, Team,
};
use anvillift_schema::name::Name;

pub(crate) fn profile(name: &str) -> Profile {
    Profile { name: Name::from(name), ..Profile::default() }
}

pub(crate) fn service(name: &str, profile: &str) -> Service {
    Service { name: Name::from(name), profile: Name::from(profile), ..Service::default() }
}

pub(crate) fn team(name: &str, key_digit: char) -> Team {
    let key_hashes = vec![key_digit.to_string().repeat(64)];
    Team { name: Name::from(name), key_hashes, ..Team::default() }
}

pub(crate) fn change(id: &str, expected_revision: u64, edits: Vec<Edit>) -> Change {
    Change { change_id: Name::from(id), expected_revision, edits }
}

/// A state machine with the log index of the last command.
pub(crate) struct Log {
    pub(crate) machine: ControlMachine,
    pub(crate) index: u64,
}

impl Log {
    /// Starts with an empty configuration as the seed.
    pub(crate) fn seeded() -> Self {
        let mut log = Self { machine: ControlMachine::default(), index: 0 };
        log.apply(ControlCommand::Seed(Configuration::default()));
        log
    }

    pub(crate) fn apply(&mut self, command: ControlCommand) -> ControlAnswer {
        self.index += 1;
        self.machine.apply(self.index, &encode(&command))
    }

    pub(crate) fn submit(&mut self, change: &Change) -> ControlAnswer {
        self.apply(ControlCommand::Change(change.clone()))
    }
}
