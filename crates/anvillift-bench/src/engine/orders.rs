//! Orders that an engine has taken.

use anvillift_schema::name::Name;
use anvillift_schema::upstream::{FencedOrder, UpstreamOrderAction};

/// The orders of an engine and what they left it in.
#[derive(Debug)]
pub struct OrderBook {
    checks_fencing: bool,
    highest_fencing: u64,
    /// Orders taken, in the order of arrival.
    pub taken: Vec<FencedOrder>,
    /// Models loaded.
    pub models: Vec<Name>,
}

impl OrderBook {
    /// No orders yet.
    pub fn new(checks_fencing: bool, models: Vec<Name>) -> Self {
        Self { checks_fencing, highest_fencing: 0, taken: Vec::new(), models }
    }

    /// Takes an order; false when its fencing number is old.
    pub fn take(&mut self, order: FencedOrder) -> bool {
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
        self.taken.push(order);
        true
    }
}
