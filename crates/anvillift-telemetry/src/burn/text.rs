//! Renders a burn report as text.

use std::fmt;

use super::report::{AlertState, BurnReport, ProfileReport};

const MINUTE_MS: u64 = 60 * 1000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answered: Vec<&str> = self.answered_hosts.iter().map(|host| host.as_str()).collect();
        writeln!(f, "answered: {}", or_none(&answered.join(", ")))?;
        for (host, reason) in &self.missing_hosts {
            writeln!(f, "missing:  {host} ({reason})")?;
        }
        for (name, profile) in &self.profiles {
            writeln!(f)?;
            write_profile(f, name, profile)?;
        }
        Ok(())
    }
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

fn write_profile(f: &mut fmt::Formatter<'_>, name: &str, profile: &ProfileReport) -> fmt::Result {
    writeln!(
        f,
        "profile {name}: objective {}, {} good, {} bad, budget left {}",
        format_percent(i64::from(profile.objective_milli)),
        profile.count.good,
        profile.count.bad,
        format_percent(profile.budget_left_milli),
    )?;
    for alert in &profile.alerts {
        write_alert(f, alert)?;
    }
    Ok(())
}

fn write_alert(f: &mut fmt::Formatter<'_>, alert: &AlertState) -> fmt::Result {
    writeln!(
        f,
        "  {:>6} / {:<6} burn {} / {} of {}  {}",
        format_window(alert.long_ms),
        format_window(alert.short_ms),
        format_rate(alert.long_burn_milli),
        format_rate(alert.short_burn_milli),
        format_rate(alert.threshold_milli),
        if alert.firing { "ALERT" } else { "ok" },
    )
}

/// Formats thousandths as a percentage.
fn format_percent(milli: i64) -> String {
    format!("{:.1} %", milli as f64 / 10.0)
}

/// Formats a burn rate that is given in thousandths.
fn format_rate(milli: u64) -> String {
    format!("{:.2}", milli as f64 / 1000.0)
}

/// Formats the length of a window in minutes, or in hours from one hour on.
pub(super) fn format_window(window_ms: u64) -> String {
    if window_ms < HOUR_MS {
        return format!("{} min", window_ms / MINUTE_MS);
    }
    format!("{} h", window_ms / HOUR_MS)
}
