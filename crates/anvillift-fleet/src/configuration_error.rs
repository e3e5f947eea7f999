//! Why a configuration is not valid.

use anvillift_schema::name::Name;

/// Why a configuration is not valid.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// It can't be read.
    #[snafu(display("the configuration can't be read: {reason}"), visibility(pub))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// A route names a service that isn't there.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// Route.
        route: Name,
        /// Service.
        service: Name,
    },
    /// Two routes take the same requests.
    #[snafu(display("routes {first} and {second} share host and prefix"))]
    SamePlace {
        /// First route.
        first: Name,
        /// Second route.
        second: Name,
    },
    /// The weights of a route's targets add up to nothing.
    #[snafu(display("the weights of route {route} add up to 0"))]
    NoWeight {
        /// Route.
        route: Name,
    },
    /// A route has no time.
    #[snafu(display("route {route} has a timeout of 0"))]
    NoTimeout {
        /// Route.
        route: Name,
    },
}
