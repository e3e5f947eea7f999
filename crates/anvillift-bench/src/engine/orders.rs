//! Orders of operators to an engine, with fencing numbers and loaded models.

use anvillift_schema::name::Name;
use anvillift_schema::upstream::{FencedOrder, UpstreamOrderAction};

/// Orders that an engine has accepted, and the models loaded as a result.
#[derive(Debug)]
pub struct OrderState {
    checks_fencing: bool,
    highest_fencing: u64,
    /// Accepted orders, in order of arrival.
    pub accepted: Vec<FencedOrder>,
    /// Names of the models that are loaded.
    pub models: Vec<Name>,
}

impl OrderState {
    /// Creates the state of an engine that has `models` loaded and no orders yet.
    pub fn new(checks_fencing: bool, models: Vec<Name>) -> Self {
        Self { checks_fencing, highest_fencing: 0, accepted: Vec::new(), models }
    }

    /// Applies an order; returns false when the engine checks fencing and the
    /// number is lower than one accepted before.
    pub fn apply(&mut self, order: FencedOrder) -> bool {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        let model = order.order.argument.as_deref().map(Name::from);
        match (order.order.action, model) {
            (UpstreamOrderAction::LoadModel, Some(model)) if !self.models.contains(&model) => {
                self.models.push(model);
            }
            (UpstreamOrderAction::UnloadModel, Some(model)) => {
                self.models.retain(|loaded| *loaded != model);
            }
            _ => {}
        }
        self.accepted.push(order);
        true
    }
}
