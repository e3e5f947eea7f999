//! Settings files of daemons.
//!
//! Each section is read by one function here; references between sections are
//! left to [`crate::check`]. Start at [`parse`].

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
use crate::reader::Reader;

/// Kinds of sections that stand at most once and bear no name.
const SINGLE_KINDS: [&str; 8] =
    ["host", "listen", "keys", "tls", "storage", "control", "limits", "timing"];
/// Every kind of section.
const KINDS: [&str; 14] = [
    "host", "listen", "keys", "tls", "storage", "control", "limits", "timing", "log", "peer",
    "ledger", "profile", "service", "team",
];
/// Fewest hexadecimal digits of the link key: 128 bits.
const MIN_LINK_KEY_DIGITS: usize = 32;
/// Entries between snapshots if the key is left out.
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 1024;
/// Longest time that a key of `[timing]` or `[limits]` may give: a day.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1000;

/// Reads and checks a settings file.
pub(crate) fn parse(file: &str, text: &str) -> Result<HostSettings, SettingsError> {
    let mut faults = Vec::new();
    let document = Document::parse(file, text, &mut faults);
    let mut settings = HostSettings::default();
    for section in &document.sections {
        check_kind(&document, section, &mut faults);
        let mut reader = Reader::new(&document, section);
        if read_section(&mut settings, section, &mut reader) {
            reader.finish(&mut faults);
        }
    }
    let missing = ["host", "keys"].into_iter().filter(|kind| document.section(kind).is_none());
    if !document.sections.is_empty() || faults.is_empty() {
        for kind in missing {
            faults.push(Fault::of_file(file, format!("the section [{kind}] is missing")));
        }
    }
    check::add_own_peer(&mut settings);
    check::references(&document, &settings, &mut faults);
    fault::without_faults(settings, faults)
}

fn check_kind(document: &Document, section: &Section, faults: &mut Vec<Fault>) {
    let kind = section.kind.as_str();
    if !KINDS.contains(&kind) {
        let hint = hint::hint(kind, &KINDS);
        faults.push(document.fault(section, format!("unknown section; {hint}")));
    } else if section.label.is_some() && (SINGLE_KINDS.contains(&kind) || kind == "log") {
        faults.push(document.fault(section, format!("bears no name; write [{kind}]")));
    }
}

/// Reads a section into its settings; false if its kind is unknown.
fn read_section(settings: &mut HostSettings, section: &Section, reader: &mut Reader<'_>) -> bool {
    match section.kind.as_str() {
        "host" => settings.host = identity(reader),
        "listen" => settings.listen = listen(reader),
        "keys" => settings.keys = keys(reader),
        "tls" => settings.tls = Some(tls(reader)),
        "storage" => settings.storage = Some(storage(reader)),
        "control" => settings.control = group(reader),
        "limits" => settings.limits = limits(reader),
        "timing" => settings.timing = timing(reader),
        "log" => settings.log = log(reader),
        "peer" => {
            settings.peers.insert(reader.label(), peer(reader));
        }
        "ledger" => {
            settings.ledgers.insert(reader.label(), group(reader));
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
            let profile = configuration::profile(reader);
            target.profiles.insert(profile.name.clone(), profile);
        }
        "service" => {
            let service = configuration::service(reader);
            target.services.insert(service.name.clone(), service);
        }
        "team" => {
            let team = configuration::team(reader);
            target.teams.insert(team.name.clone(), team);
        }
        _ => return false,
    }
    true
}

fn identity(reader: &mut Reader<'_>) -> Identity {
    Identity {
        name: reader.required_name("name"),
        region: reader.required_name("region"),
        data_centre: reader.required_name("data_centre"),
    }
}

fn listen(reader: &mut Reader<'_>) -> ListenSettings {
    let default = ListenSettings::default();
    let callers = reader.text("callers").map_or(default.callers, str::to_owned);
    let links = reader.text("links").map_or(default.links, str::to_owned);
    let caller_url = reader.text("caller_url").unwrap_or_default().to_owned();
    if !caller_url.is_empty() && !is_url(&caller_url) {
        let rule = "http:// or https:// with a host, and no `/` at the end";
        reader.fault("caller_url", format!("`{caller_url}` is no base URL; allowed: {rule}"));
    }
    ListenSettings {
        callers: reader.address("callers", callers),
        links: reader.address("links", links),
        caller_url,
    }
}

fn is_url(text: &str) -> bool {
    let rest = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"));
    rest.is_some_and(|rest| !rest.is_empty() && !rest.ends_with('/'))
}

fn keys(reader: &mut Reader<'_>) -> KeySettings {
    let rule = format!("at least {MIN_LINK_KEY_DIGITS} hexadecimal digits, the same on all hosts");
    let link_key = reader.required_text("link_key", &rule);
    let too_short = link_key.len() < MIN_LINK_KEY_DIGITS || hex::decode(&link_key).is_err();
    if !link_key.is_empty() && too_short {
        reader.fault("link_key", format!("is no key; allowed: {rule}"));
    }
    KeySettings {
        link_key,
        upstream_key_hashes: reader.hashes("upstream_key_hashes"),
        operator_key_hashes: reader.hashes("operator_key_hashes"),
    }
}

fn tls(reader: &mut Reader<'_>) -> TlsSettings {
    TlsSettings {
        certificate_file: reader.required_text("certificate_file", "a PEM certificate chain"),
        key_file: reader.required_text("key_file", "a PEM private key"),
        authority_file: reader.required_text("authority_file", "the PEM authority of the hosts"),
        callers: reader.flag("callers", true),
        links: reader.flag("links", true),
    }
}

fn storage(reader: &mut Reader<'_>) -> StorageSettings {
    StorageSettings {
        folder: reader.required_text("folder", "a folder on a disk"),
        snapshot_entries: reader.number(
            "snapshot_entries",
            DEFAULT_SNAPSHOT_ENTRIES,
            16..=1_000_000,
        ),
    }
}

fn group(reader: &mut Reader<'_>) -> GroupSettings {
    GroupSettings { voters: reader.names("voters") }
}

fn peer(reader: &mut Reader<'_>) -> PeerSettings {
    let link = reader.required_text("link", "the IP number and port of its links");
    PeerSettings {
        region: reader.required_name("region"),
        data_centre: reader.required_name("data_centre"),
        link: reader.address("link", link),
    }
}

fn limits(reader: &mut Reader<'_>) -> LimitSettings {
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
        header_timeout_ms: time(reader, "header_timeout_ms", default.header_timeout_ms),
        body_timeout_ms: time(reader, "body_timeout_ms", default.body_timeout_ms),
    }
}

fn timing(reader: &mut Reader<'_>) -> TimingSettings {
    let default = TimingSettings::default();
    TimingSettings {
        heartbeat_ms: time(reader, "heartbeat_ms", default.heartbeat_ms),
        silent_after_ms: time(reader, "silent_after_ms", default.silent_after_ms),
        upstream_expiry_ms: time(reader, "upstream_expiry_ms", default.upstream_expiry_ms),
        election_timeout_ms: time(reader, "election_timeout_ms", default.election_timeout_ms),
        dispatch_deadline_ms: time(reader, "dispatch_deadline_ms", default.dispatch_deadline_ms),
        drain_timeout_ms: time(reader, "drain_timeout_ms", default.drain_timeout_ms),
    }
}

fn time(reader: &mut Reader<'_>, key: &'static str, default: u64) -> u64 {
    reader.number(key, default, 1..=MAX_TIME_MS)
}

fn log(reader: &mut Reader<'_>) -> LogSettings {
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
