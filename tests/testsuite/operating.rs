//! The command-line tool against real daemons.

use anvillift_bench::engine::EngineSettings;

use crate::support::cluster::Cluster;
use crate::support::layout::MODEL;
use crate::support::upstreams;
use crate::support::wait;

#[tokio::test(flavor = "multi_thread")]
async fn tool_shows_hosts_upstreams_and_profiles() {
    let cluster = Cluster::start().await;
    let _engine = upstreams::engine(&cluster, "zacapa-a", MODEL, EngineSettings::default()).await;
    wait::until("the upstream is listed", async || {
        let run = cluster.operate("oriente-1", &["upstreams", "--service", MODEL]);
        run.code == 0 && run.stdout.contains("asistente-riego-zacapa-a")
    })
    .await;
    let hosts = cluster.operate("oriente-1", &["--format", "json", "hosts"]);
    assert_eq!(hosts.json().as_array().map(Vec::len), Some(6), "{hosts:?}");
    let directory = cluster.call("oriente-1", &["hosts", "--service", MODEL]);
    assert!(directory.stdout.contains("altiplano-2"), "{directory:?}");
    let profile = cluster.operate("oriente-1", &["profile", "show", "bound"]);
    assert!(profile.stdout.contains("places = oriente"), "{profile:?}");
    let list = cluster.operate("oriente-1", &["profile", "list"]);
    assert!(list.stdout.contains("suelos-de-oriente"), "{list:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn shown_profile_is_a_valid_change_file() {
    let cluster = Cluster::start().await;
    let profile = cluster.operate("oriente-1", &["profile", "show", "bound"]);
    let path = cluster.folder().join("change.ini");
    std::fs::write(&path, profile.stdout).expect("written");
    let path = path.to_str().expect("a path");
    let check = cluster.operate("oriente-1", &["settings", "check", "--change", path]);
    assert_eq!(check.code, 0, "{check:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_asks_and_reads_through_a_foreign_region() {
    let cluster = Cluster::start().await;
    let _engine =
        upstreams::engine(&cluster, "escuintla-a", MODEL, EngineSettings::default()).await;
    let _service = upstreams::plain(&cluster, "escuintla-a").await;
    upstreams::model_served(&cluster, "oriente-1", MODEL).await;
    upstreams::plain_served(&cluster, "oriente-1").await;
    let asked = cluster.call("oriente-1", &["ask", MODEL, "when?", "--max-tokens", "7"]);
    assert_eq!(asked.code, 0, "{asked:?}");
    assert_eq!(asked.stdout.split_whitespace().count(), 7, "{asked:?}");
    assert!(asked.stderr.contains("route: oriente/zacapa-a/oriente-1>costa-sur/"), "{asked:?}");
    let read = cluster.call("oriente-1", &["ask", "control-pivotes", "--get", "/pivots/7"]);
    assert!(read.code == 0 && read.stdout.contains("/pivots/7"), "{read:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_end_in_their_exit_codes() {
    let cluster = Cluster::start().await;
    assert_eq!(cluster.call("oriente-1", &["ask", "no-service", "when?"]).code, 10);
    assert_eq!(cluster.call("oriente-1", &["hosts"]).code, 11, "a caller is no operator");
    assert_eq!(cluster.call("costa-sur-1", &["ask", "suelos-de-oriente", "when?"]).code, 12);
    assert_eq!(cluster.call("oriente-1", &["ask", MODEL, "when?"]).code, 13, "no upstream");
}
