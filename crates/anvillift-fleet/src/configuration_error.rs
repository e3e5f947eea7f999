//! Errors of a fleet configuration.

use anvillift_schema::key_hash::KeyHash;
use anvillift_schema::name::Name;

/// Why a configuration was rejected.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The document could not be parsed.
    #[snafu(display("cannot read the configuration: {reason}"), visibility(pub))]
    Unreadable {
        /// Error of the parser.
        reason: String,
    },
    /// A target of a route refers to a service that the configuration does not contain.
    #[snafu(display("route {route} refers to unknown service {service}"))]
    UnknownService {
        /// Route with the target.
        route: Name,
        /// Name that the target refers to.
        service: Name,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes {first} and {second} have the same host and path prefix"))]
    DuplicateMatch {
        /// Route that comes first in the document.
        first: Name,
        /// Route that repeats its host and path prefix.
        second: Name,
    },
    /// A route has no target with a weight above 0.
    #[snafu(display("route {route} has no target with a weight above 0"))]
    ZeroWeight {
        /// Route without such a target.
        route: Name,
    },
    /// The timeout of a route is 0.
    #[snafu(display("route {route} has a timeout of 0"))]
    ZeroTimeout {
        /// Route with this timeout.
        route: Name,
    },
    /// Two teams have the same name.
    #[snafu(display("two teams have the name {team}"), visibility(pub))]
    DuplicateTeam {
        /// Name of both.
        team: Name,
    },
    /// The name of a team can't be sent in a header field.
    #[snafu(display(
        "team name {:?} is empty, begins or ends with a space or contains a control character",
        team.as_str()
    ))]
    InvalidTeamName {
        /// The name.
        team: Name,
    },
    /// Two teams have the same key.
    #[snafu(display("teams {first} and {second} share a key with SHA-256 {key}..."))]
    SharedKey {
        /// Team that comes first by name.
        first: Name,
        /// Another team with the key.
        second: Name,
        /// Hash of the key.
        key: KeyHash,
    },
}
