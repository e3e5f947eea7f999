//! Kinds of features of a request.

/// What requests with the same feature have in common, from the least to the most.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FeatureKind {
    /// A part of their prompts.
    Part,
    /// Method, host, target and body.
    Content,
    /// The content and the caller.
    Request,
}
