//! Stand-in upstreams of a cluster, which run in the test process.

use anvillift_bench::announce::AnnounceSettings;
use anvillift_bench::engine::{self, BatchSettings, EngineSettings, RunningEngine};
use anvillift_bench::plain::{self, PlainSettings, RunningPlain};

use super::cluster::Cluster;
use super::layout::{PLAIN, UPSTREAM_KEY};
use super::wait;

/// Duration of a step of an engine, which generates one token.
pub(crate) const STEP_MS: u64 = 5;

/// Starts an engine for a model service in a data centre, and waits until each host there lists
/// it.
pub(crate) async fn start_engine(
    cluster: &Cluster,
    data_centre: &str,
    service: &str,
    settings: EngineSettings,
) -> RunningEngine {
    let settings = EngineSettings {
        name: format!("{service}-{data_centre}").into(),
        service: service.into(),
        announce: announce_settings(cluster, data_centre),
        batch: BatchSettings {
            step_base_us: STEP_MS * 1000,
            step_per_sequence_us: 0,
            ..BatchSettings::default()
        },
        ..settings
    };
    let engine = engine::start(settings).await.expect("an engine");
    for host in cluster.hosts_of(data_centre) {
        wait_until_listed(cluster, &host, &format!("{service}-{data_centre}")).await;
    }
    engine
}

/// Starts an upstream of the plain service in a data centre, and waits until each host there lists
/// it.
pub(crate) async fn start_plain(cluster: &Cluster, data_centre: &str) -> RunningPlain {
    let settings = PlainSettings {
        name: format!("{PLAIN}-{data_centre}").into(),
        service: PLAIN.into(),
        announce: announce_settings(cluster, data_centre),
        ..PlainSettings::default()
    };
    let service = plain::start(settings).await.expect("a service");
    for host in cluster.hosts_of(data_centre) {
        wait_until_listed(cluster, &host, &format!("{PLAIN}-{data_centre}")).await;
    }
    service
}

/// Waits until a host lists an upstream.
async fn wait_until_listed(cluster: &Cluster, host: &str, upstream: &str) {
    wait::until(&format!("{host} lists {upstream}"), async || {
        cluster.upstreams(host).await.iter().any(|status| status.upstream.as_str() == upstream)
    })
    .await;
}

/// Waits until a host answers a GET request to the plain service.
pub(crate) async fn wait_until_plain_served(cluster: &Cluster, host: &str) {
    wait::until(&format!("{host} serves the plain service"), async || {
        let answer = cluster.read(host, "/pivots/7").send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}

/// Waits until a host answers a chat completion request to a model service.
pub(crate) async fn wait_until_model_served(cluster: &Cluster, host: &str, service: &str) {
    wait::until(&format!("{host} serves {service}"), async || {
        let answer = cluster.ask(host, service, false, 1).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}

fn announce_settings(cluster: &Cluster, data_centre: &str) -> AnnounceSettings {
    AnnounceSettings {
        hosts: cluster.urls_of(data_centre),
        key: UPSTREAM_KEY.to_owned(),
        ..AnnounceSettings::default()
    }
}
