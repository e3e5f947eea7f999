//! Numbered findings of the check of a change.
//!
//! `docs/FINDINGS.md` lists them for operators; a test compares that table with
//! [`FindingCode::ALL`].

use crate::severity::Severity;

macro_rules! finding_codes {
    ($($variant:ident = $number:literal, $severity:ident, $title:literal;)*) => {
        /// A numbered finding; numbers and severities are stable.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum FindingCode {
            $(#[doc = $title] $variant = $number,)*
        }

        impl FindingCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Whether the finding prevents the change.
            pub fn severity(self) -> Severity {
                match self { $(Self::$variant => Severity::$severity,)* }
            }

            /// Short description, as in `docs/FINDINGS.md`.
            pub fn title(self) -> &'static str {
                match self { $(Self::$variant => $title,)* }
            }
        }
    };
}

finding_codes! {
    InvalidFile = 3101, Error, "The file is not a valid change file";
    EditCount = 3102, Error, "The change has no edits or too many";
    InvalidName = 3103, Error, "A name is not valid";
    Missing = 3104, Error, "An entry to be removed does not exist";
    UnknownProfile = 3105, Error, "A service refers to a profile that does not exist";
    OutOfBounds = 3106, Error, "A value is out of bounds";
    MalformedKeyHash = 3107, Error, "A key hash is malformed";
    SharedKey = 3108, Error, "Two teams have the same key";
    UnusedProfile = 3201, Warning, "No service uses a profile";
    NoKeys = 3202, Warning, "A team has no keys";
    RepeatedKey = 3203, Warning, "A team has a key twice";
    UnknownPlace = 3204, Warning, "A permitted place is unknown";
    UnknownHome = 3205, Warning, "The home of a team is unknown";
    NoCommonRegion = 3206, Warning, "The home of a team is outside the places of a profile";
    ReplacedSection = 3207, Warning, "A later section replaces a section";
    HedgeOfModels = 3208, Warning, "Hedging has no effect for model services";
    TargetAboveDeadline = 3301, Warning, "A target is above the deadline";
    HedgeWithoutBudget = 3302, Warning, "Hedging has no retry budget";
    ShortRetention = 3303, Warning, "The retention is below twice the deadline";
    BurstBelowRequest = 3304, Warning, "A burst is below one request";
    BurstWithoutRate = 3305, Warning, "A burst has no rate";
    LimitLowered = 3306, Warning, "A limit is lowered by more than half";
}

impl FindingCode {
    /// Number of the finding, as printed and listed in `docs/FINDINGS.md`.
    pub fn number(self) -> u16 {
        self as u16
    }
}
