//! The configuration that a change is compared with.

use anvillift_control as control;
use anvillift_schema::configuration::Configuration;

use crate::change;
use crate::document::Document;
use crate::fault::SettingsError;
use crate::host;
use crate::known_places::KnownPlaces;
use crate::redact;

/// The configuration in force, with its origin and the places of the hosts.
#[derive(Clone, Debug)]
pub struct Baseline {
    /// File or host from which the configuration comes.
    pub origin: String,
    /// The configuration in force.
    pub configuration: Configuration,
    /// Regions and data centres; `None` if they are unknown.
    pub places: Option<KnownPlaces>,
}

impl Baseline {
    /// Parses a settings file or, if it has no other sections than a change, a change file.
    /// Faults do not show values, since these could be keys.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        Self::parse_sections(file, text).map_err(|mut error| {
            for fault in &mut error.faults {
                fault.section = redact::redact(&fault.section);
                fault.key = redact::redact_key(&fault.key);
                fault.message = redact::redact(&redact::hide_value(&fault.message));
            }
            error
        })
    }

    fn parse_sections(file: &str, text: &str) -> Result<Self, SettingsError> {
        let document = Document::parse(file, text, &mut Vec::new());
        let mut sections = document.sections.iter();
        let is_change = sections.all(change::is_edit);
        let origin = file.to_owned();
        if is_change {
            let edits = change::parse(file, text)?;
            let mut configuration = Configuration::default();
            control::apply_edits(&mut configuration, &edits);
            return Ok(Self { origin, configuration, places: None });
        }
        let settings = host::parse(file, text)?;
        let places = Some(KnownPlaces::of_settings(&settings));
        Ok(Self { origin, configuration: settings.configuration, places })
    }
}
