//! Reads experiments from INI files.
//!
//! Start at [`read`]. Sections are `[experiment]`, `[link]`, `[region NAME]`,
//! `[service NAME]`, `[workers SERVICE REGION]` and `[class NAME]`; unknown
//! sections and keys are faults.

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
use crate::fleet::relay::PipeSettings;

/// Reads and checks an experiment.
pub fn read(path: &Path) -> Result<Experiment, BenchError> {
    let file = path.display().to_string();
    let fault = |message: String| ExperimentSnafu { file: file.clone(), message }.build();
    let ini = Ini::load_from_file(path).map_err(|error| fault(error.to_string()))?;
    let experiment = parse(&ini).map_err(fault)?;
    check(&experiment).map_err(fault)?;
    Ok(experiment)
}

fn parse(ini: &Ini) -> Result<Experiment, String> {
    let mut experiment = Experiment::default();
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            if properties.is_empty() {
                continue;
            }
            return Err("keys stand before the first section".to_owned());
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
        fields.finish()?;
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
    experiment.seeds = seeds.map_err(|error| format!("seeds: {error}"))?;
    Ok(())
}

fn read_link(fields: &mut Fields<'_>) -> Result<PipeSettings, String> {
    Ok(PipeSettings {
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
    let preset = Profile::default();
    let kind: ServiceKind = fields.required("kind")?;
    let profile = Profile {
        name: Name::from(name),
        weight_tail_milli: fields.or("weight_tail_milli", preset.weight_tail_milli)?,
        weight_cost_milli: fields.or("weight_cost_milli", preset.weight_cost_milli)?,
        weight_away_milli: fields.or("weight_away_milli", preset.weight_away_milli)?,
        first_token_target_ms: fields.or("first_token_target_ms", preset.first_token_target_ms)?,
        between_tokens_target_ms: fields
            .or("between_tokens_target_ms", preset.between_tokens_target_ms)?,
        hedge: fields.or("hedge", preset.hedge)?,
        ..preset
    };
    Ok(Service { name: Name::from(name), kind, profile })
}

fn read_workers(service: &str, region: &str, fields: &mut Fields<'_>) -> Result<Workers, String> {
    let preset = BatchSettings::default();
    let batch = BatchSettings {
        max_running_requests: fields.or("max_running_requests", preset.max_running_requests)?,
        step_base_us: fields.or("step_base_us", preset.step_base_us)?,
        step_per_sequence_us: fields.or("step_per_sequence_us", preset.step_per_sequence_us)?,
        prefill_rate_tokens_per_s: fields
            .or("prefill_rate_tokens_per_s", preset.prefill_rate_tokens_per_s)?,
        prefill_chunk_tokens: fields.or("prefill_chunk_tokens", preset.prefill_chunk_tokens)?,
        ..preset
    };
    Ok(Workers {
        service: Name::from(service),
        region: Name::from(region),
        count: fields.required("count")?,
        batch,
        cache_blocks: fields.or("cache_blocks", EngineSettings::default().cache_blocks)?,
    })
}

fn read_class(name: &str, fields: &mut Fields<'_>) -> Result<Class, String> {
    let kind = fields.required::<ClassKind>("kind")?;
    Ok(Class {
        name: Name::from(name),
        kind,
        service: Name::from(fields.required::<String>("service")?),
        share_milli: fields.or("share_milli", 0)?,
        rate_milli_per_s: fields.or("rate_milli_per_s", 0)?,
        histories: fields.or("histories", 1)?,
        history_tokens: fields.or("history_tokens", 0)?,
        question_tokens: fields.or("question_tokens", 0)?,
        answer_tokens: fields.or("answer_tokens", 1)?,
        cached_milli: fields.or("cached_milli", 0)?,
        deadline_ms: fields.or("deadline_ms", Profile::default().deadline_ms)?,
    })
}

fn check(experiment: &Experiment) -> Result<(), String> {
    let region_known = |name: &Name| experiment.regions.iter().any(|region| region.name == *name);
    let service_known =
        |name: &Name| experiment.services.iter().any(|service| service.name == *name);
    if experiment.seeds.is_empty() || experiment.regions.is_empty() {
        return Err("an experiment needs seeds and regions".to_owned());
    }
    for class in &experiment.classes {
        if !service_known(&class.service) {
            return Err(format!("[class {}] names an unknown service", class.name));
        }
        if (class.share_milli == 0) == (class.rate_milli_per_s == 0) {
            return Err(format!("[class {}] needs share_milli or rate_milli_per_s", class.name));
        }
    }
    for workers in &experiment.workers {
        if !service_known(&workers.service) || !region_known(&workers.region) {
            let (service, region) = (&workers.service, &workers.region);
            return Err(format!("[workers {service} {region}] names what is unknown"));
        }
    }
    let shares: u32 = experiment.regions.iter().map(|region| region.share_milli).sum();
    if shares != 1000 {
        return Err(format!("share_milli of the regions adds up to {shares}, not 1000"));
    }
    Ok(())
}

/// Keys of a section that were not read yet.
struct Fields<'a> {
    section: &'a str,
    left: BTreeMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    fn new(section: &'a str, properties: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        Self { section, left: properties.collect() }
    }

    fn required<T: FromStr<Err: Display>>(&mut self, key: &str) -> Result<T, String> {
        let Some(text) = self.left.remove(key) else {
            return Err(format!("[{}] lacks {key}", self.section));
        };
        text.parse().map_err(|error| format!("[{}] {key} = {text}: {error}", self.section))
    }

    fn or<T: FromStr<Err: Display>>(&mut self, key: &str, preset: T) -> Result<T, String> {
        if self.left.contains_key(key) { self.required(key) } else { Ok(preset) }
    }

    fn finish(self) -> Result<(), String> {
        match self.left.keys().next() {
            Some(key) => Err(format!("[{}] {key} is not known", self.section)),
            None => Ok(()),
        }
    }
}
