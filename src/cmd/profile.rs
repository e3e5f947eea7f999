//! `anvillift profile`: shows the profiles of the configuration.

use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;
use serde_json::Value;

use crate::client::Client;
use crate::error::Error;
use crate::output::{self, Format};
use crate::table::Table;

/// Show the profiles in force on the entry host.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "profile")]
pub(crate) struct Profile {
    #[argh(subcommand)]
    action: Action,
}

#[derive(argh::FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    List(List),
    Show(Show),
}

/// List the profiles and the services that use them.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "list")]
struct List {}

/// Show one profile in the form of a change file.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "show")]
struct Show {
    /// profile to show
    #[argh(positional)]
    name: String,
}

impl Profile {
    /// Requests the configuration from the entry host and prints its profiles or one of them.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let configuration: Configuration = client.get("/v1/operator/configuration").await?;
        match &self.action {
            Action::List(_) => {
                let text =
                    format!("revision {}\n{}", configuration.revision, table(&configuration));
                output::print(format, &configuration, text)
            }
            Action::Show(show) => show.execute(&configuration, format),
        }
    }
}

impl Show {
    fn execute(&self, configuration: &Configuration, format: Format) -> Result<(), Error> {
        let profile = configuration.profiles.get(self.name.as_str()).ok_or_else(|| {
            let names: Vec<&str> = configuration.profiles.keys().map(Name::as_str).collect();
            let message =
                format!("no profile `{}`; existing profiles: {}", self.name, names.join(", "));
            Error::Usage { message }
        })?;
        output::print(format, profile, section(profile))
    }
}

fn table(configuration: &Configuration) -> Table {
    let mut table =
        Table::new(&["PROFILE", "PRIORITY", "TAIL", "COST", "AWAY", "PLACES", "SERVICES"]);
    for (name, profile) in &configuration.profiles {
        let services = configuration.services.values();
        let services = services.filter(|service| service.profile == *name);
        let services: Vec<&str> = services.map(|service| service.name.as_str()).collect();
        let places: Vec<&str> = profile.places.iter().map(Name::as_str).collect();
        table.push(vec![
            name.to_string(),
            profile.priority.to_string(),
            profile.weight_tail_milli.to_string(),
            profile.weight_cost_milli.to_string(),
            profile.weight_away_milli.to_string(),
            if places.is_empty() { "all".to_owned() } else { places.join(",") },
            services.join(","),
        ]);
    }
    table
}

/// Formats a profile as a section of a change file; empty lists are left out.
fn section(profile: &anvillift_schema::configuration::Profile) -> String {
    let mut text = format!("[profile {}]\n", profile.name);
    let value = serde_json::to_value(profile).unwrap_or_default();
    for (key, value) in value.as_object().into_iter().flatten() {
        match value {
            Value::Array(items) if items.is_empty() => {}
            Value::Array(items) => {
                let items: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
                text.push_str(&format!("{key} = {}\n", items.join(", ")));
            }
            _ if key == "name" => {}
            value => text.push_str(&format!("{key} = {value}\n")),
        }
    }
    text
}
