//! Tests of the burn report with the counts of real daemons.

use anvillift_bench::engine::{EngineFaults, EngineSettings};
use serde_json::Value;

use crate::support::cluster::Cluster;
use crate::support::layout::MODEL;
use crate::support::stream;
use crate::support::upstreams;
use crate::support::wait;

const TOKENS: u32 = 20;

fn report(cluster: &Cluster) -> Value {
    let run = cluster.run_as_operator("oriente-1", &["--format", "json", "report", "burn"]);
    assert_eq!(run.code, 0, "{run:?}");
    run.json()
}

fn count(report: &Value, key: &str) -> u64 {
    report["profiles"]["general"]["count"][key].as_u64().expect("a count")
}

#[tokio::test(flavor = "multi_thread")]
async fn report_counts_requests_of_all_daemons_and_lists_missing_ones() {
    let mut cluster = Cluster::start().await;
    let settings = EngineSettings { can_resume: false, ..EngineSettings::default() };
    let engine = upstreams::start_engine(&cluster, "zacapa-a", MODEL, settings).await;
    for host in ["oriente-1", "oriente-2"] {
        upstreams::wait_until_model_served(&cluster, host, MODEL).await;
        let answer = cluster.ask(host, MODEL, true, TOKENS).send().await.expect("an answer");
        assert!(stream::read(answer).await.is_complete);
    }
    wait::until("the good requests of both hosts are counted", async || {
        count(&report(&cluster), "good") >= 4
    })
    .await;
    let before = count(&report(&cluster), "bad");
    engine.set_faults(EngineFaults { break_after_tokens: Some(5), ..EngineFaults::default() });
    let answer = cluster.ask("oriente-2", MODEL, true, TOKENS).send().await.expect("an answer");
    assert!(!stream::read(answer).await.is_complete);
    wait::until("the failure is counted", async || count(&report(&cluster), "bad") > before).await;

    cluster.kill("altiplano-2");
    let report = report(&cluster);
    assert_eq!(report["answered_hosts"].as_array().map(Vec::len), Some(5), "{report}");
    assert!(report["missing_hosts"]["altiplano-2"].is_string(), "{report}");
}
