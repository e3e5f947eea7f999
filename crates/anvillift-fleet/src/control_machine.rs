//! The state of control under the replicated log.
//!
//! Configurations form a register in which the highest version wins, and an
//! equal version never replaces what is held; evacuations are a set of data
//! centres. Commands arrive in log order, so every replica decides alike.

use anvillift_schema::fleet::{
    EvacuateDataCentre, FleetCommand, FleetControl, ReplaceConfiguration,
};

/// What a command did.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum Outcome {
    /// The state changed.
    #[display("changed")]
    Changed,
    /// The state holds this or something newer.
    #[display("unchanged")]
    Unchanged,
    /// The command could not be read.
    #[display("unreadable")]
    Unreadable,
}

/// The state of control.
#[derive(Clone, Debug)]
pub struct ControlMachine {
    state: FleetControl,
}

impl Default for ControlMachine {
    fn default() -> Self {
        let state = FleetControl {
            index: 0,
            version: 0,
            document: Vec::new().into(),
            evacuated: Vec::new(),
        };
        Self { state }
    }
}

impl ControlMachine {
    /// The state.
    pub fn state(&self) -> &FleetControl {
        &self.state
    }

    /// Applies the command at an index.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        let outcome = match ciborium::from_reader::<FleetCommand, _>(command) {
            Ok(FleetCommand::Replace(replace)) => self.replace(replace),
            Ok(FleetCommand::Evacuate(evacuate)) => self.evacuate(evacuate),
            Err(_) => Outcome::Unreadable,
        };
        if outcome == Outcome::Changed {
            self.state.index = index;
        }
        outcome
    }

    /// The state in bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing into memory can't fail.
        ciborium::into_writer(&self.state, &mut bytes).ok();
        bytes
    }

    /// Takes over a state in bytes; whether it could be read.
    pub fn restore(&mut self, bytes: &[u8]) -> bool {
        let state = ciborium::from_reader(bytes);
        let readable = state.is_ok();
        if let Ok(state) = state {
            self.state = state;
        }
        readable
    }

    fn replace(&mut self, replace: ReplaceConfiguration) -> Outcome {
        if replace.version <= self.state.version {
            return Outcome::Unchanged;
        }
        self.state.version = replace.version;
        self.state.document = replace.document;
        Outcome::Changed
    }

    fn evacuate(&mut self, evacuate: EvacuateDataCentre) -> Outcome {
        let evacuated = &mut self.state.evacuated;
        if evacuated.contains(&evacuate.data_centre) == evacuate.active {
            return Outcome::Unchanged;
        }
        if evacuate.active {
            evacuated.push(evacuate.data_centre);
        } else {
            evacuated.retain(|name| *name != evacuate.data_centre);
        }
        Outcome::Changed
    }
}
