//! Parses the settings files of daemons.
//!
//! Each kind of section is read by one function; [`crate::check`] then checks
//! the references between sections. Start at [`parse`].

use std::collections::BTreeSet;

use anvillift_schema::settings::{
    GroupSettings, HostSettings, Identity, KeySettings, LimitSettings, ListenSettings, LogSettings,
    LogSettingsFormat, LogSettingsLevel, PeerSettings, StorageSettings, TimingSettings,
    TlsSettings,
};

use crate::check;
use crate::configuration;
use crate::document::{Document, Section};
use crate::fault::{self, Fault, SettingsError};
use crate::hint;
use crate::part::Part;
use crate::reader::Reader;

/// Kinds of sections that occur at most once and take no name.
const SINGLE_SECTION_KINDS: [&str; 8] =
    ["host", "listen", "keys", "tls", "storage", "control", "limits", "timing"];
/// All kinds of sections that a settings file may contain.
const SECTION_KINDS: [&str; 14] = [
    "host", "listen", "keys", "tls", "storage", "control", "limits", "timing", "log", "peer",
    "ledger", "profile", "service", "team",
];
/// Smallest length of the link key, in hexadecimal digits: 128 bits.
const MIN_LINK_KEY_DIGITS: usize = 32;
/// Number of log entries between snapshots if the key is left out.
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 1024;
/// Longest time that a key of `[timing]` or `[limits]` may set: one day.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1000;

/// Parses and checks the text of a settings file.
pub(crate) fn parse(file: &str, text: &str) -> Result<HostSettings, SettingsError> {
    parse_parts(file, text, &Part::split(text))
}

fn parse_parts(file: &str, text: &str, parts: &[Part<'_>]) -> Result<HostSettings, SettingsError> {
    let (mut settings, mut faults) = (HostSettings::default(), Vec::new());
    let mut titles = BTreeSet::new();
    let mut missing_kinds = BTreeSet::from(["host", "keys"]);
    for part in parts {
        let document = Document::parse_part(file, *part, &mut titles, &mut faults);
        if !document.is_valid && parts.len() > 1 {
            // A text that is not valid INI has no sections and one fault, as if parsed as a whole.
            return parse_parts(file, text, &[Part::whole(text)]);
        }
        missing_kinds.retain(|kind| document.section(kind).is_none());
        read_sections(&mut settings, &document, &mut faults);
    }
    if !titles.is_empty() || faults.is_empty() {
        for kind in missing_kinds {
            faults.push(Fault::of_file(file, format!("the section [{kind}] is missing")));
        }
    }
    check::add_own_peer(&mut settings);
    titles.clear();
    for part in parts {
        // Sections are not kept for the check: they take several times the memory of the teams.
        let document = Document::parse_part(file, *part, &mut titles, &mut Vec::new());
        check::check_references(&document, &settings, &mut faults);
    }
    fault::into_result(settings, faults)
}

fn read_sections(settings: &mut HostSettings, document: &Document, faults: &mut Vec<Fault>) {
    for section in &document.sections {
        check_kind(document, section, faults);
        let mut reader = Reader::new(document, section);
        if read_section(settings, section, &mut reader) {
            reader.finish(faults);
        }
    }
}

fn check_kind(document: &Document, section: &Section, faults: &mut Vec<Fault>) {
    let kind = section.kind.as_str();
    if !SECTION_KINDS.contains(&kind) {
        let hint = hint::hint(kind, &SECTION_KINDS);
        faults.push(document.fault(section, format!("unknown section; {hint}")));
    } else if section.label.is_some() && (SINGLE_SECTION_KINDS.contains(&kind) || kind == "log") {
        faults.push(document.fault(section, format!("takes no name; write [{kind}]")));
    }
}

/// Reads a section into its settings. Returns false if the kind is unknown.
fn read_section(settings: &mut HostSettings, section: &Section, reader: &mut Reader<'_>) -> bool {
    match section.kind.as_str() {
        "host" => settings.host = read_identity(reader),
        "listen" => settings.listen = read_listen(reader),
        "keys" => settings.keys = read_keys(reader),
        "tls" => settings.tls = Some(read_tls(reader)),
        "storage" => settings.storage = Some(read_storage(reader)),
        "control" => settings.control = read_group(reader),
        "limits" => settings.limits = read_limits(reader),
        "timing" => settings.timing = read_timing(reader),
        "log" => settings.log = read_log(reader),
        "peer" => {
            settings.peers.insert(reader.label(), read_peer(reader));
        }
        "ledger" => {
            settings.ledgers.insert(reader.label(), read_group(reader));
        }
        _ => return read_configuration(settings, section, reader),
    }
    true
}

fn read_configuration(
    settings: &mut HostSettings,
    section: &Section,
    reader: &mut Reader<'_>,
) -> bool {
    let target = &mut settings.configuration;
    match section.kind.as_str() {
        "profile" => {
            let profile = configuration::read_profile(reader);
            target.profiles.insert(profile.name.clone(), profile);
        }
        "service" => {
            let service = configuration::read_service(reader);
            target.services.insert(service.name.clone(), service);
        }
        "team" => {
            let team = configuration::read_team(reader);
            target.teams.insert(team.name.clone(), team);
        }
        _ => return false,
    }
    true
}

fn read_identity(reader: &mut Reader<'_>) -> Identity {
    Identity {
        name: reader.required_name("name"),
        region: reader.required_name("region"),
        data_centre: reader.required_name("data_centre"),
    }
}

fn read_listen(reader: &mut Reader<'_>) -> ListenSettings {
    let default = ListenSettings::default();
    let callers = reader.text("callers").map_or(default.callers, str::to_owned);
    let links = reader.text("links").map_or(default.links, str::to_owned);
    let caller_url = reader.text("caller_url").unwrap_or_default().to_owned();
    if !caller_url.is_empty() && !is_base_url(&caller_url) {
        let rule = "http:// or https:// with a host, and no `/` at the end";
        reader.fault("caller_url", format!("`{caller_url}` is not a base URL; allowed: {rule}"));
    }
    ListenSettings {
        callers: reader.address("callers", callers),
        links: reader.address("links", links),
        caller_url,
    }
}

fn is_base_url(text: &str) -> bool {
    let rest = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
    rest.is_some_and(|rest| !rest.is_empty() && !rest.ends_with('/'))
}

fn read_keys(reader: &mut Reader<'_>) -> KeySettings {
    let rule = format!("at least {MIN_LINK_KEY_DIGITS} hexadecimal digits, the same on all hosts");
    let link_key = reader.required_text("link_key", &rule);
    let too_short = link_key.len() < MIN_LINK_KEY_DIGITS || hex::decode(&link_key).is_err();
    if !link_key.is_empty() && too_short {
        reader.fault("link_key", format!("is not a valid key; allowed: {rule}"));
    }
    KeySettings {
        link_key,
        upstream_key_hashes: reader.hashes("upstream_key_hashes"),
        operator_key_hashes: reader.hashes("operator_key_hashes"),
    }
}

fn read_tls(reader: &mut Reader<'_>) -> TlsSettings {
    TlsSettings {
        certificate_file: reader.required_text("certificate_file", "a PEM certificate chain"),
        key_file: reader.required_text("key_file", "a PEM private key"),
        authority_file: reader
            .required_text("authority_file", "a PEM certificate of the authority of the hosts"),
        callers: reader.flag("callers", true),
        links: reader.flag("links", true),
    }
}

fn read_storage(reader: &mut Reader<'_>) -> StorageSettings {
    StorageSettings {
        folder: reader.required_text("folder", "a folder on a disk"),
        snapshot_entries: reader.number(
            "snapshot_entries",
            DEFAULT_SNAPSHOT_ENTRIES,
            16..=1_000_000,
        ),
    }
}

fn read_group(reader: &mut Reader<'_>) -> GroupSettings {
    GroupSettings { voters: reader.names("voters") }
}

fn read_peer(reader: &mut Reader<'_>) -> PeerSettings {
    let link = reader.required_text("link", "the IP address and port of its links");
    PeerSettings {
        region: reader.required_name("region"),
        data_centre: reader.required_name("data_centre"),
        link: reader.address("link", link),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> LimitSettings {
    let default = LimitSettings::default();
    LimitSettings {
        max_header_bytes: reader.number(
            "max_header_bytes",
            default.max_header_bytes,
            1024..=1 << 20,
        ),
        max_in_flight_requests: reader.number(
            "max_in_flight_requests",
            default.max_in_flight_requests,
            1..=1_000_000,
        ),
        stream_credit_bytes: reader.number(
            "stream_credit_bytes",
            default.stream_credit_bytes,
            1024..=16 << 20,
        ),
        header_timeout_ms: read_time(reader, "header_timeout_ms", default.header_timeout_ms),
        body_timeout_ms: read_time(reader, "body_timeout_ms", default.body_timeout_ms),
    }
}

fn read_timing(reader: &mut Reader<'_>) -> TimingSettings {
    let default = TimingSettings::default();
    TimingSettings {
        heartbeat_ms: read_time(reader, "heartbeat_ms", default.heartbeat_ms),
        silent_after_ms: read_time(reader, "silent_after_ms", default.silent_after_ms),
        upstream_expiry_ms: read_time(reader, "upstream_expiry_ms", default.upstream_expiry_ms),
        election_timeout_ms: read_time(reader, "election_timeout_ms", default.election_timeout_ms),
        dispatch_deadline_ms: read_time(
            reader,
            "dispatch_deadline_ms",
            default.dispatch_deadline_ms,
        ),
        drain_timeout_ms: read_time(reader, "drain_timeout_ms", default.drain_timeout_ms),
    }
}

fn read_time(reader: &mut Reader<'_>, key: &'static str, default: u64) -> u64 {
    reader.number(key, default, 1..=MAX_TIME_MS)
}

fn read_log(reader: &mut Reader<'_>) -> LogSettings {
    let levels = [
        ("error", LogSettingsLevel::Error),
        ("warn", LogSettingsLevel::Warn),
        ("info", LogSettingsLevel::Info),
        ("debug", LogSettingsLevel::Debug),
    ];
    let formats = [("text", LogSettingsFormat::Text), ("json", LogSettingsFormat::Json)];
    LogSettings {
        level: reader.choice("level", LogSettingsLevel::Info, &levels),
        format: reader.choice("format", LogSettingsFormat::Text, &formats),
        file: reader.text("file").map(str::to_owned),
    }
}
