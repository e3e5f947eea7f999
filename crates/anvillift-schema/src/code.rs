//! Numbered result codes.
//!
//! Every answer that anvillift generates itself, instead of forwarding it from
//! an upstream, carries one of these codes. `docs/RESULT-CODES.md` lists them for
//! callers and operators; a test compares that table with [`Code::ALL`].

use crate::public::{Outcome, Problem};

macro_rules! codes {
    ($($variant:ident = $number:literal, $status:literal, $outcome:ident, $title:literal;)*) => {
        /// A numbered result code; its number, HTTP status and title are part of the API.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $title] $variant = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// HTTP status of an answer with this code.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Default outcome of a request that ends with this code; an answer may
            /// carry a different one.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$variant => Outcome::$outcome,)* }
            }

            /// Short description for callers, the `title` of the problem details.
            pub fn title(self) -> &'static str {
                match self { $(Self::$variant => $title,)* }
            }
        }
    };
}

codes! {
    MalformedRequest = 1001, 400, NotRun, "The request is malformed";
    HeadTooLarge = 1002, 431, NotRun, "The request head is too large";
    BodyTooLarge = 1003, 413, NotRun, "The request body is too large";
    MethodNotAllowed = 1004, 405, NotRun, "The method is not allowed here";
    NotFound = 1005, 404, NotRun, "There is nothing at this path";
    UnknownService = 1006, 404, NotRun, "The service is unknown";
    SlowSender = 1007, 408, NotRun, "The request was sent too slowly";
    UnknownKey = 1101, 401, NotRun, "The key is missing or unknown";
    KeyNotAllowed = 1102, 403, NotRun, "The key does not allow this";
    PlaceNotAllowed = 1201, 421, NotRun, "The data may not be processed here";
    LoopDetected = 1202, 508, NotRun, "The request has been here before";
    TeamLimit = 1301, 429, NotRun, "The team is above its limit";
    Overloaded = 1302, 503, NotRun, "The service is overloaded";
    DeadlineInfeasible = 1303, 503, NotRun, "The deadline cannot be met";
    NoUpstream = 1304, 503, NotRun, "No upstream can take the request";
    Draining = 1305, 503, NotRun, "The host is draining";
    NotReady = 1306, 503, NotRun, "The host is not ready";
    StreamUnknown = 1307, 503, NotRun, "It is not known which version began the stream";
    UpstreamsPaused = 1308, 503, NotRun, "All upstreams have asked for a pause";
    RequestQuarantined = 1309, 503, NotRun, "Requests like this one crash upstreams";
    UpstreamsLimited = 1310, 503, NotRun, "All upstreams have named a limit that is reached";
    UpstreamUnreachable = 1401, 502, NotRun, "The upstream could not be reached";
    UpstreamFailed = 1402, 502, Unknown, "The upstream broke off";
    UpstreamTimeout = 1403, 504, Unknown, "The upstream did not answer in time";
    LinkLost = 1404, 502, Unknown, "The link to the other region broke off";
    Cancelled = 1405, 499, Unknown, "The caller left";
    HostStopped = 1406, 502, Unknown, "The host stopped before the answer came";
    CommandUnknown = 1501, 409, Unknown, "The command may have run";
    CommandInProgress = 1502, 409, Unknown, "The command is being run";
    CommandMismatch = 1503, 422, NotRun, "The idempotency key was used with another request";
    CommandExpired = 1504, 410, Unknown, "The idempotency key is older than the retention";
    LedgerUnavailable = 1505, 503, Unknown, "The ledger has no majority";
    DispatchTooLate = 1506, 503, NotRun, "The dispatch deadline passed before sending";
    CommandRan = 1507, 409, Ran, "The command ran, and its answer is no longer kept";
    RevisionConflict = 1601, 409, NotRun, "The expected revision is stale";
    ChangeMismatch = 1602, 409, NotRun, "The change id was used with another change";
    ChangeInvalid = 1603, 422, NotRun, "The change is not valid";
    NoLeader = 1604, 503, NotRun, "Control has no leader in reach";
    ChangeUnknown = 1605, 404, NotRun, "The change is unknown";
    CommitUnknown = 1606, 504, Unknown, "The change may have been accepted";
    OrderRefused = 1607, 409, NotRun, "The upstream refused the order";
    ReportNotInEffect = 1608, 503, Unknown, "The report is not in effect yet";
    SettingsInvalid = 1701, 500, NotRun, "The settings are not valid";
    StorageFault = 1801, 500, NotRun, "The data folder failed";
    StorageDamaged = 1802, 500, NotRun, "The data folder is damaged";
    KeyFileInvalid = 1803, 500, NotRun, "A certificate or key is not valid";
    Internal = 1901, 500, Unknown, "An internal error occurred";
}

impl Code {
    /// Number that is sent on the wire, such as 1001.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Looks up a code by its number; `None` if no code has it.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Problem details with the code's defaults and without optional fields.
    pub fn problem(self) -> Problem {
        Problem {
            type_: format!("https://anvillift.example/codes/{}", self.number()),
            title: self.title().to_owned(),
            status: self.status(),
            code: self.number(),
            outcome: self.outcome(),
            detail: None,
            retry_after_ms: None,
            request_id: None,
            hosts: Vec::new(),
            revision: None,
        }
    }
}
