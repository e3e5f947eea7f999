//! Parser of experiment files in INI format.
//!
//! [`read`] accepts the sections `[experiment]`, `[link]`, `[region NAME]`,
//! `[service NAME]`, `[workers SERVICE REGION]` and `[class NAME]`, and rejects
//! unknown sections and keys.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;

use anvillift_schema::configuration::{Profile, ServiceKind};
use anvillift_schema::name::Name;
use ini::Ini;

use super::experiment::{Class, ClassKind, Experiment, Region, Service, Workers};
use crate::engine::{BatchSettings, EngineSettings};
use crate::error::{BenchError, ExperimentSnafu};
use crate::fleet::relay::LinkDirectionSettings;

/// Reads and validates an experiment.
///
/// Fails with [`BenchError::Experiment`], which names the section and the key.
pub fn read(path: &Path) -> Result<Experiment, BenchError> {
    let file = path.display().to_string();
    let error_for = |message: String| ExperimentSnafu { file: file.clone(), message }.build();
    let ini = Ini::load_from_file(path).map_err(|error| error_for(error.to_string()))?;
    let experiment = parse(&ini).map_err(error_for)?;
    validate(&experiment).map_err(error_for)?;
    Ok(experiment)
}

fn parse(ini: &Ini) -> Result<Experiment, String> {
    let mut experiment = Experiment::default();
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            if properties.is_empty() {
                continue;
            }
            return Err("the file has keys before the first section".to_owned());
        };
        let mut fields = Fields::new(section, properties.iter());
        let words: Vec<&str> = section.split_whitespace().collect();
        match words[..] {
            ["experiment"] => read_experiment(&mut experiment, &mut fields)?,
            ["link"] => experiment.link = read_link(&mut fields)?,
            ["region", name] => experiment.regions.push(read_region(name, &mut fields)?),
            ["service", name] => experiment.services.push(read_service(name, &mut fields)?),
            ["class", name] => experiment.classes.push(read_class(name, &mut fields)?),
            ["workers", service, region] => {
                experiment.workers.push(read_workers(service, region, &mut fields)?);
            }
            _ => return Err(format!("[{section}] is not a section of experiments")),
        }
        fields.reject_unread()?;
    }
    Ok(experiment)
}

fn read_experiment(experiment: &mut Experiment, fields: &mut Fields<'_>) -> Result<(), String> {
    experiment.name = Name::from(fields.required::<String>("name")?);
    experiment.warm_up_s = fields.required("warm_up_s")?;
    experiment.duration_s = fields.required("duration_s")?;
    experiment.load_milli = fields.required("load_milli")?;
    let seeds: String = fields.required("seeds")?;
    let seeds: Result<Vec<u64>, _> = seeds.split(',').map(|seed| seed.trim().parse()).collect();
    experiment.seeds = seeds.map_err(|error| format!("[experiment] seeds: {error}"))?;
    Ok(())
}

fn read_link(fields: &mut Fields<'_>) -> Result<LinkDirectionSettings, String> {
    Ok(LinkDirectionSettings {
        delay_ms: fields.required("delay_ms")?,
        rate_bytes_per_s: fields.required("rate_bytes_per_s")?,
    })
}

fn read_region(name: &str, fields: &mut Fields<'_>) -> Result<Region, String> {
    Ok(Region {
        name: Name::from(name),
        data_centre: Name::from(fields.required::<String>("data_centre")?),
        hosts: fields.required("hosts")?,
        share_milli: fields.required("share_milli")?,
    })
}

fn read_service(name: &str, fields: &mut Fields<'_>) -> Result<Service, String> {
    let default = Profile::default();
    let kind: ServiceKind = fields.required("kind")?;
    let profile = Profile {
        name: Name::from(name),
        weight_tail_milli: fields.parse_or("weight_tail_milli", default.weight_tail_milli)?,
        weight_cost_milli: fields.parse_or("weight_cost_milli", default.weight_cost_milli)?,
        weight_away_milli: fields.parse_or("weight_away_milli", default.weight_away_milli)?,
        first_token_target_ms: fields
            .parse_or("first_token_target_ms", default.first_token_target_ms)?,
        between_tokens_target_ms: fields
            .parse_or("between_tokens_target_ms", default.between_tokens_target_ms)?,
        hedge: fields.parse_or("hedge", default.hedge)?,
        ..default
    };
    Ok(Service { name: Name::from(name), kind, profile })
}

fn read_workers(service: &str, region: &str, fields: &mut Fields<'_>) -> Result<Workers, String> {
    let default = BatchSettings::default();
    let batch = BatchSettings {
        max_running_requests: fields
            .parse_or("max_running_requests", default.max_running_requests)?,
        step_base_us: fields.parse_or("step_base_us", default.step_base_us)?,
        step_per_sequence_us: fields
            .parse_or("step_per_sequence_us", default.step_per_sequence_us)?,
        prefill_rate_tokens_per_s: fields
            .parse_or("prefill_rate_tokens_per_s", default.prefill_rate_tokens_per_s)?,
        prefill_chunk_tokens: fields
            .parse_or("prefill_chunk_tokens", default.prefill_chunk_tokens)?,
        ..default
    };
    Ok(Workers {
        service: Name::from(service),
        region: Name::from(region),
        count: fields.required("count")?,
        batch,
        cache_blocks: fields.parse_or("cache_blocks", EngineSettings::default().cache_blocks)?,
    })
}

fn read_class(name: &str, fields: &mut Fields<'_>) -> Result<Class, String> {
    let kind = fields.required::<ClassKind>("kind")?;
    Ok(Class {
        name: Name::from(name),
        kind,
        service: Name::from(fields.required::<String>("service")?),
        share_milli: fields.parse_or("share_milli", 0)?,
        rate_milli_per_s: fields.parse_or("rate_milli_per_s", 0)?,
        histories: fields.parse_or("histories", 1)?,
        history_tokens: fields.parse_or("history_tokens", 0)?,
        question_tokens: fields.parse_or("question_tokens", 0)?,
        answer_tokens: fields.parse_or("answer_tokens", 1)?,
        cached_milli: fields.parse_or("cached_milli", 0)?,
        deadline_ms: fields.parse_or("deadline_ms", Profile::default().deadline_ms)?,
    })
}

fn validate(experiment: &Experiment) -> Result<(), String> {
    let is_region = |name: &Name| experiment.regions.iter().any(|region| region.name == *name);
    let is_service = |name: &Name| experiment.services.iter().any(|service| service.name == *name);
    if experiment.seeds.is_empty() || experiment.regions.is_empty() {
        return Err("an experiment needs seeds and regions".to_owned());
    }
    for class in &experiment.classes {
        if !is_service(&class.service) {
            return Err(format!("[class {}] names an unknown service", class.name));
        }
        if (class.share_milli == 0) == (class.rate_milli_per_s == 0) {
            return Err(format!("[class {}] needs share_milli or rate_milli_per_s", class.name));
        }
    }
    for workers in &experiment.workers {
        if !is_service(&workers.service) || !is_region(&workers.region) {
            let (service, region) = (&workers.service, &workers.region);
            return Err(format!("[workers {service} {region}] names an unknown service or region"));
        }
    }
    let shares: u32 = experiment.regions.iter().map(|region| region.share_milli).sum();
    if shares != 1000 {
        return Err(format!("share_milli of the regions adds up to {shares}, not 1000"));
    }
    Ok(())
}

/// Keys and values of a section that have not been read yet.
struct Fields<'a> {
    section: &'a str,
    unread: BTreeMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    fn new(section: &'a str, properties: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        Self { section, unread: properties.collect() }
    }

    fn required<T: FromStr<Err: Display>>(&mut self, key: &str) -> Result<T, String> {
        let Some(text) = self.unread.remove(key) else {
            return Err(format!("[{}] lacks {key}", self.section));
        };
        text.parse().map_err(|error| format!("[{}] {key} = {text}: {error}", self.section))
    }

    fn parse_or<T: FromStr<Err: Display>>(&mut self, key: &str, default: T) -> Result<T, String> {
        if self.unread.contains_key(key) { self.required(key) } else { Ok(default) }
    }

    fn reject_unread(self) -> Result<(), String> {
        match self.unread.keys().next() {
            Some(key) => Err(format!("[{}] {key} is not known", self.section)),
            None => Ok(()),
        }
    }
}
