//! Tests of the command-line tool against real daemons.

use anvillift_bench::engine::EngineSettings;

use crate::support::cluster::Cluster;
use crate::support::layout::MODEL;
use crate::support::upstreams;
use crate::support::wait;

#[tokio::test(flavor = "multi_thread")]
async fn tool_lists_hosts_upstreams_and_profiles() {
    let cluster = Cluster::start().await;
    let _engine =
        upstreams::start_engine(&cluster, "zacapa-a", MODEL, EngineSettings::default()).await;
    wait::until("the upstream is listed", async || {
        let run = cluster.run_as_operator("oriente-1", &["upstreams", "--service", MODEL]);
        run.code == 0 && run.stdout.contains("asistente-riego-zacapa-a")
    })
    .await;
    let hosts = cluster.run_as_operator("oriente-1", &["--format", "json", "hosts"]);
    assert_eq!(hosts.json().as_array().map(Vec::len), Some(6), "{hosts:?}");
    let directory = cluster.run_as_caller("oriente-1", &["hosts", "--service", MODEL]);
    assert!(directory.stdout.contains("altiplano-2"), "{directory:?}");
    let profile = cluster.run_as_operator("oriente-1", &["profile", "show", "bound"]);
    assert!(profile.stdout.contains("places = oriente"), "{profile:?}");
    let list = cluster.run_as_operator("oriente-1", &["profile", "list"]);
    assert!(list.stdout.contains("suelos-de-oriente"), "{list:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn output_of_profile_show_is_a_valid_change_file() {
    let cluster = Cluster::start().await;
    let profile = cluster.run_as_operator("oriente-1", &["profile", "show", "bound"]);
    let path = cluster.folder().join("change.ini");
    std::fs::write(&path, profile.stdout).expect("written");
    let path = path.to_str().expect("a path");
    let check = cluster.run_as_operator("oriente-1", &["settings", "check", "--change", path]);
    assert_eq!(check.code, 0, "{check:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_gets_answers_through_another_region() {
    let cluster = Cluster::start().await;
    let _engine =
        upstreams::start_engine(&cluster, "escuintla-a", MODEL, EngineSettings::default()).await;
    let _service = upstreams::start_plain(&cluster, "escuintla-a").await;
    upstreams::wait_until_model_served(&cluster, "oriente-1", MODEL).await;
    upstreams::wait_until_plain_served(&cluster, "oriente-1").await;
    let question =
        cluster.run_as_caller("oriente-1", &["ask", MODEL, "when?", "--max-tokens", "7"]);
    assert_eq!(question.code, 0, "{question:?}");
    assert_eq!(question.stdout.split_whitespace().count(), 7, "{question:?}");
    assert!(
        question.stderr.contains("route: oriente/zacapa-a/oriente-1>costa-sur/"),
        "{question:?}"
    );
    let read =
        cluster.run_as_caller("oriente-1", &["ask", "control-pivotes", "--get", "/pivots/7"]);
    assert!(read.code == 0 && read.stdout.contains("/pivots/7"), "{read:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_exits_with_the_code_of_the_reason_for_a_refusal() {
    let cluster = Cluster::start().await;
    assert_eq!(cluster.run_as_caller("oriente-1", &["ask", "no-service", "when?"]).code, 10);
    assert_eq!(
        cluster.run_as_caller("oriente-1", &["hosts"]).code,
        11,
        "a caller key is not an operator key"
    );
    assert_eq!(
        cluster.run_as_caller("costa-sur-1", &["ask", "suelos-de-oriente", "when?"]).code,
        12
    );
    assert_eq!(
        cluster.run_as_caller("oriente-1", &["ask", MODEL, "when?"]).code,
        13,
        "no upstream"
    );
}
