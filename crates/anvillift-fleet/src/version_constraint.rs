//! The workers that may serve a request, by the version of their software.

use anvillift_schema::name::Name;

/// The software versions whose workers may serve a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum VersionConstraint {
    /// Workers of every version, also of an unknown one.
    #[default]
    Any,
    /// Workers of the version that began the stream which the request resumes.
    Only(Name),
}

impl VersionConstraint {
    /// Whether a worker of a version may serve the request; `None` is an unknown one.
    pub fn allows(&self, version: Option<&Name>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => version == Some(required),
        }
    }

    /// The only version allowed, or `None` if all are.
    pub fn required(&self) -> Option<&Name> {
        match self {
            Self::Any => None,
            Self::Only(required) => Some(required),
        }
    }
}
