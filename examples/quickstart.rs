//! Three regions on loopback in one process, with stand-in upstreams.
//!
//! Sends one question to a region that has no engine, so the request is forwarded to
//! another region. Prints the streamed answer and its route, then drains the hosts and
//! exits. With `--serve`, the hosts keep running until Ctrl-C, and curl commands to
//! try are printed.

use std::collections::BTreeMap;
use std::env;
use std::error::Error;
use std::io::{self, Write};

use anvillift_bench::engine::{self, EngineSettings, RunningEngine};
use anvillift_bench::fleet::{Fleet, FleetRegion, FleetSettings, keys};
use anvillift_bench::plain::{self, PlainSettings, RunningPlain};
use anvillift_schema::configuration::{Configuration, Profile, Service, ServiceKind, Team};
use anvillift_schema::name::Name;
use reqwest::{Client, Response};
use serde_json::{Value, json};

const REGIONS: [(&str, &str); 3] =
    [("oriente", "zacapa-a"), ("costa-sur", "escuintla-a"), ("altiplano", "xela-a")];
const HOSTS_PER_REGION: u32 = 2;
const MODEL_SERVICE: &str = "asistente-riego";
const PLAIN_SERVICE: &str = "control-pivotes";
const QUESTION: &str = "When should pivot 7 run tonight?";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let serve = env::args().any(|argument| argument == "--serve");
    let fleet = Fleet::start(FleetSettings {
        regions: REGIONS.map(|(name, data_centre)| region(name, data_centre)).to_vec(),
        configuration: configuration(),
        ..FleetSettings::default()
    })
    .await?;
    let engine = start_engine(&fleet, "costa-sur").await?;
    let plain = start_plain(&fleet, "oriente").await?;
    let upstreams = [("costa-sur", 1), ("oriente", 1)];
    let upstreams = upstreams.map(|(region, count)| (Name::from(region), count));
    fleet.wait_for_upstreams(&BTreeMap::from(upstreams)).await?;

    let entry_host = fleet.layout().urls(&Name::from("oriente")).remove(0);
    fleet.wait_until_answered(&entry_host, MODEL_SERVICE).await?;
    send_question(&entry_host).await?;
    if serve {
        print_curl_lines(&entry_host)?;
        tokio::signal::ctrl_c().await?;
    }
    fleet.drain().await;
    engine.stop().await;
    plain.stop().await;
    Ok(())
}

fn region(name: &str, data_centre: &str) -> FleetRegion {
    let (name, data_centre) = (Name::from(name), Name::from(data_centre));
    FleetRegion { name, data_centre, hosts: HOSTS_PER_REGION }
}

fn configuration() -> Configuration {
    let profile = Profile { name: Name::from("quick"), ..Profile::default() };
    let service =
        |name: &str, kind| Service { name: Name::from(name), kind, profile: profile.name.clone() };
    let services =
        [service(MODEL_SERVICE, ServiceKind::Model), service(PLAIN_SERVICE, ServiceKind::Plain)];
    let team = Team {
        name: Name::from("growers"),
        key_hashes: vec![keys::hash(keys::CALLER_KEY)],
        home: Some(Name::from("oriente")),
        ..Team::default()
    };
    Configuration {
        revision: 0,
        services: services.map(|service| (service.name.clone(), service)).into(),
        profiles: BTreeMap::from([(profile.name.clone(), profile)]),
        teams: BTreeMap::from([(team.name.clone(), team)]),
    }
}

async fn start_engine(fleet: &Fleet, region: &str) -> Result<RunningEngine, Box<dyn Error>> {
    let settings = EngineSettings {
        name: Name::from("engine-1"),
        service: Name::from(MODEL_SERVICE),
        announce: fleet.announce_settings(&Name::from(region)),
        ..EngineSettings::default()
    };
    Ok(engine::start(settings).await?)
}

async fn start_plain(fleet: &Fleet, region: &str) -> Result<RunningPlain, Box<dyn Error>> {
    let settings = PlainSettings {
        name: Name::from("pivots-1"),
        service: Name::from(PLAIN_SERVICE),
        announce: fleet.announce_settings(&Name::from(region)),
        ..PlainSettings::default()
    };
    Ok(plain::start(settings).await?)
}

fn question() -> Value {
    let message = json!({ "role": "user", "content": QUESTION });
    json!({ "model": "stand-in", "stream": true, "max_tokens": 12, "messages": [message] })
}

/// Sends the question to an entry host and prints the answer as it arrives.
///
/// Fails when the stream ends before its closing `[DONE]` event.
async fn send_question(entry_host: &str) -> Result<(), Box<dyn Error>> {
    let url = format!("{entry_host}/s/{MODEL_SERVICE}/v1/chat/completions");
    let request = Client::new().post(url).bearer_auth(keys::CALLER_KEY).json(&question());
    let response = request.send().await?.error_for_status()?;
    let route = response.headers().get("anvillift-route").cloned();
    let mut out = io::stdout();
    writeln!(out, "question: {QUESTION}")?;
    write!(out, "answer:   ")?;
    let is_complete = print_tokens(response, &mut out).await?;
    writeln!(out)?;
    let route = route.as_ref().and_then(|route| route.to_str().ok()).unwrap_or("unknown");
    writeln!(out, "route:    {route}")?;
    if is_complete { Ok(()) } else { Err("the answer stream ended before [DONE]".into()) }
}

/// Prints each token and returns whether the closing `[DONE]` event was received.
async fn print_tokens(mut response: Response, out: &mut impl Write) -> Result<bool, io::Error> {
    let mut text = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let data = event.strip_prefix("data: ").unwrap_or_default();
            if data == "[DONE]" {
                return Ok(true);
            }
            let token = serde_json::from_str::<Value>(data).unwrap_or_default();
            let token = token["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            write!(out, "{token}")?;
            out.flush()?;
            text = rest.to_owned();
        }
    }
    Ok(false)
}

fn print_curl_lines(entry_host: &str) -> Result<(), io::Error> {
    let key = format!("-H 'Authorization: Bearer {}'", keys::CALLER_KEY);
    let operator = format!("-H 'Authorization: Bearer {}'", keys::OPERATOR_KEY);
    let mut out = io::stdout();
    writeln!(out, "\nThe hosts run until Ctrl-C. Commands to try:\n")?;
    writeln!(
        out,
        "curl -N {key} {entry_host}/s/{MODEL_SERVICE}/v1/chat/completions -d '{}'",
        question()
    )?;
    writeln!(out, "curl {key} {entry_host}/s/{PLAIN_SERVICE}/pivots/7")?;
    writeln!(
        out,
        "curl {key} -H 'Idempotency-Key: stop-7' -X POST {entry_host}/s/{PLAIN_SERVICE}/pivots/7/stop"
    )?;
    writeln!(out, "curl {key} '{entry_host}/v1/hosts?service={MODEL_SERVICE}'")?;
    writeln!(out, "curl {operator} {entry_host}/v1/operator/upstreams")
}
