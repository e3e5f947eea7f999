//! Numbered log events.
//!
//! A log line carries the number of its event as the `event` key, as in
//! `log::info!(event = Event::HostStarted.number(); "...")`. `docs/EVENTS.md`
//! lists the events for operators; a test compares that table with [`Event::ALL`].

macro_rules! events {
    ($($variant:ident = $number:literal, $level:literal, $description:literal;)*) => {
        /// A numbered log event; operators filter log lines by the number.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum Event {
            $(#[doc = $description] $variant = $number,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Level at which the event is logged.
            pub fn level(self) -> &'static str {
                match self { $(Self::$variant => $level,)* }
            }

            /// Description of the event for operators.
            pub fn description(self) -> &'static str {
                match self { $(Self::$variant => $description,)* }
            }
        }
    };
}

events! {
    HostStarted = 2001, "info", "The host has started and accepts connections";
    HostDraining = 2002, "info", "The host has started a planned stop";
    HostStopped = 2003, "info", "The host has stopped";
    HostReady = 2004, "info", "The host has a configuration and accepts requests";
    SettingsRefused = 2005, "error", "The settings are not valid";
    SettingsReloaded = 2006, "info", "Changed settings were loaded and applied";
    RequestsUnfinished = 2007, "warn", "A planned stop ends with requests in service";
    LinkUp = 2101, "info", "A link to another host is up";
    LinkDown = 2102, "warn", "A link to another host is down";
    LinkRefused = 2103, "warn", "A link was refused because its proof or name is wrong";
    HostSilent = 2201, "warn", "No message from a host arrived within the silence timeout";
    HostRecovered = 2202, "info", "A message arrived from a host that was silent";
    HostDiscovered = 2203, "info", "A host was discovered, or its state has changed";
    UpstreamFound = 2301, "info", "An upstream announced itself";
    UpstreamLeft = 2302, "info", "An upstream left";
    UpstreamExpired = 2303, "warn", "An upstream sent no report in time and was removed";
    WorkerChanged = 2304, "info", "The reported state of a worker has changed";
    LeaderElected = 2401, "info", "The replica became leader of its group";
    LeaderLost = 2402, "info", "The replica is no longer leader of its group";
    SnapshotTaken = 2403, "info", "A snapshot was taken and the log truncated";
    SnapshotInstalled = 2404, "info", "A snapshot was installed";
    StorageFailed = 2405, "error", "The data folder failed and the replica steps down";
    StorageRepaired = 2406, "warn", "A truncated or damaged part of the log was removed";
    StorageReopened = 2407, "info", "The data folder is used again after a fault";
    VotersChanged = 2408, "info", "A change of the voters of control was requested";
    ControlApplied = 2409, "info", "A command of the control log was applied";
    ControlHandedOver = 2410, "info", "A planned stop of a core has handed over control";
    ChangeAccepted = 2501, "info", "A change of the configuration was accepted";
    ConfigurationApplied = 2502, "info", "A configuration revision was applied on this host";
    OrderSent = 2503, "info", "An order was sent to an upstream";
    OrderFenced = 2504, "warn", "An order with an outdated fencing number was rejected";
    CommandUnknown = 2601, "warn", "The outcome of a command is unknown";
    LedgerUnavailable = 2602, "warn", "A ledger group has no majority";
    RequestRefused = 2701, "debug", "A request was refused";
    RequestServed = 2702, "debug", "A request was served";
    UpstreamFailed = 2703, "warn", "The answer of an upstream ended early";
    LoopDetected = 2704, "warn", "A request returned to a host that had already handled it";
    AttemptEnded = 2705, "info", "An attempt of a request ended";
    CallAnswered = 2706, "info", "A call to the control plane or the directory was answered";
    RequestAbandoned = 2707, "info", "A request was abandoned";
    AnswerEnded = 2708, "info", "The relay of an answer ended";
    RequestUnreadable = 2709, "info", "A request could not be read";
    RequestWaitedForState = 2710, "info", "A request waited for state that its host had not received yet";
    PromptRejected = 2711, "info", "A prompt was rejected for a backlog or for the limit on requests in flight";
    StreamLookedUp = 2712, "info", "The version that began a resumed stream was looked up";
    WorkerSaysLeaving = 2713, "info", "A worker said in an answer that it is leaving";
    WorkerAsksForPause = 2714, "info", "A worker asked for a pause";
    PauseUnreadable = 2715, "warn", "A worker asked for a pause that cannot be read";
    WorkerCrashed = 2716, "warn", "A worker crashed, or can't be reached and has ended its idle connections";
    FeaturesSuspected = 2717, "info", "Hosts are asked about requests that were in flight at several crashes";
    FeaturesQuarantined = 2718, "warn", "Requests that crash workers are refused from now on";
    RequestQuarantined = 2719, "info", "A request was refused because requests like it crash workers";
    WorkerNamesLimit = 2720, "info", "A worker named a limit on its requests, another one than before, or none any more";
    LimitUnreadable = 2721, "warn", "A worker named a limit that cannot be read";
    WorkerIsBrittle = 2722, "info", "A worker said that it is brittle, or no longer so";
    QuotaOwnerFound = 2723, "info", "A host has an owner of the quotas of teams, or another one than before";
    QuotaOwnerLost = 2724, "warn", "A host has no owner of the quotas of teams and spends its own share";
    QuotaExceeded = 2725, "info", "A request was refused because its team is above its quota";
    WorkerSpeedChanged = 2726, "info", "The estimate of the speed of a worker has changed";
    WorkerWeightChanged = 2730, "info", "The weight of a worker has changed with the speed of its streams";
    TeamShareApplied = 2731, "info", "A request was rejected by the share of its team in an overloaded service";
    CallRejected = 2732, "info", "A request without a prompt was rejected for the limit on calls in flight";
    RequestTooLate = 2733, "info", "A request was rejected because it could not begin before its deadline";
    RetryDecided = 2734, "info", "A retry was allowed or refused by the retry budget";
    QuarantineNotSaved = 2735, "error", "The quarantine, or the crashes of workers, could not be saved or loaded";
    TrialGranted = 2736, "info", "A trial of a quarantined request was granted, or could not be";
    TrialSent = 2737, "info", "A quarantined request is sent to a worker as a trial";
    TrialServed = 2738, "info", "A trial of a quarantined request was served";
    QuarantineReleased = 2739, "warn", "Requests that were refused as crashing workers are sent again";
    ContactLost = 2740, "warn", "This host reaches no worker of its region";
    ContactRegained = 2741, "info", "A worker has answered this host again";
    StreamWaitedForHost = 2742, "info", "A resumed stream waited for an entry host that reaches workers of its version";
    StoodStill = 2743, "warn", "This host has stood still";
    CaughtUp = 2744, "info", "This host has caught up after it stood still";
}

impl Event {
    /// Number that is logged under the `event` key, such as 2001.
    pub fn number(self) -> u16 {
        self as u16
    }
}
