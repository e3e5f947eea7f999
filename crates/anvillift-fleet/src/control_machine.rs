//! The control state, to which the commands of the replicated log are applied.
//!
//! The configuration is a register in which the highest version wins; a command
//! with an equal or lower version changes nothing. Evacuations form a set of data
//! centres. Trials of quarantined requests are counted for each set of features.
//! Commands are applied in log order, so all replicas reach the same state.

use anvillift_schema::fleet::{
    EvacuateDataCentre, FleetCommand, FleetControl, FleetTrialRecord, GrantTrial,
    ReleaseQuarantine, ReplaceConfiguration,
};

/// Most sets of features whose trials are kept; the one that changed first is forgotten first.
const MAX_TRIAL_RECORDS: usize = 256;

/// Effect of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum Outcome {
    /// The command changed the state.
    #[display("changed")]
    Changed,
    /// The state contained this or a newer configuration, or the evacuation already
    /// had this status.
    #[display("unchanged")]
    Unchanged,
    /// A trial was granted, which concerns core hosts only.
    #[display("granted")]
    Granted,
    /// The command could not be decoded.
    #[display("unreadable")]
    Unreadable,
}

/// Applies control commands to the state.
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
            trials: Vec::new(),
        };
        Self { state }
    }
}

impl ControlMachine {
    /// The state after all commands applied so far.
    pub fn state(&self) -> &FleetControl {
        &self.state
    }

    /// Applies the command at a log index.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        let outcome = match ciborium::from_reader::<FleetCommand, _>(command) {
            Ok(FleetCommand::Replace(replace)) => self.replace(replace),
            Ok(FleetCommand::Evacuate(evacuate)) => self.evacuate(evacuate),
            Ok(FleetCommand::GrantTrial(grant)) => self.grant_trial(grant),
            Ok(FleetCommand::ReleaseQuarantine(release)) => self.release_quarantine(release),
            Err(_) => Outcome::Unreadable,
        };
        if outcome == Outcome::Changed {
            self.state.index = index;
        }
        outcome
    }

    /// Encodes the state as CBOR.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing to a vector cannot fail.
        ciborium::into_writer(&self.state, &mut bytes).ok();
        bytes
    }

    /// Replaces the state by a snapshot. Returns false and keeps the state if the
    /// bytes cannot be decoded.
    pub fn restore(&mut self, bytes: &[u8]) -> bool {
        let state = ciborium::from_reader(bytes);
        let is_readable = state.is_ok();
        if let Ok(state) = state {
            self.state = state;
        }
        is_readable
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

    fn grant_trial(&mut self, grant: GrantTrial) -> Outcome {
        let record = self.trial_record(&grant.parts);
        if grant.number != record.granted + 1 {
            return Outcome::Unchanged;
        }
        self.put_trial_record(FleetTrialRecord { granted: grant.number, ..record });
        Outcome::Granted
    }

    fn release_quarantine(&mut self, release: ReleaseQuarantine) -> Outcome {
        let record = self.trial_record(&release.parts);
        if release.finding != record.released {
            return Outcome::Unchanged;
        }
        let released = record.released + 1;
        self.put_trial_record(FleetTrialRecord { granted: 0, released, ..record });
        Outcome::Changed
    }

    /// The trials of a set of features, which is in ascending order.
    pub fn trial_record(&self, parts: &[u64]) -> FleetTrialRecord {
        let known = self.state.trials.iter().find(|record| record.parts == parts);
        let new = || FleetTrialRecord { parts: parts.to_vec(), granted: 0, released: 0 };
        known.cloned().unwrap_or_else(new)
    }

    fn put_trial_record(&mut self, record: FleetTrialRecord) {
        let records = &mut self.state.trials;
        records.retain(|other| other.parts != record.parts);
        records.push(record);
        if records.len() > MAX_TRIAL_RECORDS {
            records.remove(0);
        }
    }
}
