//! A question to entry hosts when they last served requests with some features.

/// Features that were in flight at several crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Question {
    /// All features in question.
    pub features: Vec<u64>,
    /// Those of them that were in flight at so many crashes that hosts do not repeat their
    /// requests until they are served.
    pub suspected: Vec<u64>,
}
