//! Control states whose configuration is being decoded or waits to be decoded.

use anvillift_schema::fleet::FleetControl;

/// At most one state is decoded at a time, and of the others only the newest is kept: more would
/// take memory and processor time for configurations that are replaced at once.
#[derive(Debug, Default)]
pub(crate) struct PendingControl {
    /// Log index of the state that is being decoded.
    running_index: Option<u64>,
    waiting: Option<FleetControl>,
}

impl PendingControl {
    /// Highest log index of these states, or 0 without any.
    pub(crate) fn newest_index(&self) -> u64 {
        let waiting_index = self.waiting.as_ref().map(|control| control.index);
        waiting_index.max(self.running_index).unwrap_or(0)
    }

    /// Adds a state that is newer than the others. Returns it if it is to be decoded now.
    pub(crate) fn add(&mut self, control: FleetControl) -> Option<FleetControl> {
        if self.running_index.is_some() {
            self.waiting = Some(control);
            return None;
        }
        self.running_index = Some(control.index);
        Some(control)
    }

    /// Ends the decoding of a state. Returns the state to be decoded next.
    pub(crate) fn finish(&mut self) -> Option<FleetControl> {
        let next = self.waiting.take();
        self.running_index = next.as_ref().map(|control| control.index);
        next
    }
}
