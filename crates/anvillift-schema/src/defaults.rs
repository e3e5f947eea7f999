//! Default values of settings and of parts of the configuration.
//!
//! They apply to every key that a settings or change file leaves out.

use crate::configuration::{Profile, Service, ServiceKind, Team};
use crate::name::Name;
use crate::settings::{
    LimitSettings, ListenSettings, LogSettings, LogSettingsFormat, LogSettingsLevel, TimingSettings,
};

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * KIBIBYTE;
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

impl Default for Profile {
    fn default() -> Self {
        Self {
            name: Name::default(),
            places: Vec::new(),
            weight_tail_milli: 1000,
            weight_cost_milli: 1000,
            weight_away_milli: 1000,
            first_token_target_ms: 1200,
            between_tokens_target_ms: 42,
            objective_milli: 950,
            deadline_ms: 120_000,
            priority: 1,
            hedge: false,
            retry_share_milli: 100,
            max_body_bytes: 8 * MEBIBYTE,
            command_retention_ms: DAY_MS,
        }
    }
}

impl Default for Service {
    fn default() -> Self {
        Self { name: Name::default(), kind: ServiceKind::Model, profile: Name::default() }
    }
}

impl Default for Team {
    fn default() -> Self {
        Self {
            name: Name::default(),
            key_hashes: Vec::new(),
            home: None,
            requests_per_s_milli: 0,
            tokens_per_s: 0,
            burst_s: 2,
        }
    }
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            callers: "127.0.0.1:0".to_owned(),
            links: "127.0.0.1:0".to_owned(),
            caller_url: String::new(),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * KIBIBYTE,
            max_in_flight_requests: 8192,
            stream_credit_bytes: 32 * KIBIBYTE,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
        }
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            silent_after_ms: 2_000,
            upstream_expiry_ms: 3_000,
            election_timeout_ms: 1_000,
            dispatch_deadline_ms: 2_000,
            drain_timeout_ms: 120_000,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LogSettingsLevel::Info, format: LogSettingsFormat::Text, file: None }
    }
}
