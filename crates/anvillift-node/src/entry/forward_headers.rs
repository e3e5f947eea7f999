//! Header fields that entry hosts add to the requests that they forward to each other, and to the
//! answers.

/// Header field of a request forwarded by an entry host of another region, with
/// the name of that region.
pub(crate) const FORWARDED_FROM_HEADER: &str = "Anvillift-Forwarded-From";
/// Header field of an answer by which an entry host states that no worker has
/// executed the request it was forwarded.
pub(crate) const NOT_RUN_HEADER: &str = "Anvillift-Not-Run";
/// Value of that field if the request was sent to no worker.
pub(crate) const NOT_SENT: &str = "not-sent";

/// Header field with the version of the worker's software: in a forwarded request the
/// version that the receiving host must choose, in its answer the one that it chose.
pub(crate) const STREAM_VERSION_HEADER: &str = "Anvillift-Stream-Version";

/// Header field of a forwarded request with the name of its caller's team.
pub(crate) const TEAM_HEADER: &str = "Anvillift-Team";

/// Header field of a forwarded request with the identity of its caller.
pub(crate) const CALLER_HEADER: &str = "Anvillift-Caller";

/// Header fields of a forwarded request with the version of the configuration by which it was
/// admitted, and the service that this one gives it.
pub(crate) const CONFIGURATION_HEADER: &str = "Anvillift-Configuration";
pub(crate) const SERVICE_HEADER: &str = "Anvillift-Service";

/// Header field of a forwarded request that may run although it is quarantined.
pub(crate) const TRIAL_HEADER: &str = "Anvillift-Trial";
