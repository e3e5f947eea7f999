//! Tests of configuration changes that the command-line tool submits to real daemons.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use tokio::{task, time};

use crate::support::cluster::Cluster;
use crate::support::tool::ToolOutput;
use crate::support::wait;

fn change_file(cluster: &Cluster, name: &str, priority: u32) -> PathBuf {
    let path = cluster.folder().join(format!("{name}.ini"));
    fs::write(&path, format!("[profile {name}]\npriority = {priority}\n")).expect("written");
    path
}

fn submit(
    cluster: &Cluster,
    host: &str,
    name: &str,
    revision: u64,
    extra_arguments: &[&str],
) -> ToolOutput {
    let path = change_file(cluster, name, 3);
    let revision = revision.to_string();
    let mut arguments = vec!["--format", "json", "change", "submit"];
    arguments.extend([path.to_str().expect("a path"), "--expect-revision", revision.as_str()]);
    arguments.extend(extra_arguments);
    cluster.run_as_operator(host, &arguments)
}

/// Waits until every host has the first revision of the control group, and returns it.
async fn wait_for_first_revision(cluster: &Cluster) -> u64 {
    let revision = |host: &String| list_profiles(cluster, host)["revision"].as_u64();
    let mut first = None;
    wait::until("every host has the first revision of the control group", async || {
        let revisions: BTreeSet<Option<u64>> = cluster.hosts.keys().map(revision).collect();
        first = revisions.first().copied().flatten().filter(|first| *first > 0);
        revisions.len() == 1 && first.is_some()
    })
    .await;
    first.expect("a revision")
}

/// Submits a change that must be accepted at the first attempt, and returns its id.
fn submit_accepted(cluster: &Cluster, host: &str, name: &str, revision: u64) -> String {
    let run = submit(cluster, host, name, revision, &[]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.json()["revision"], revision + 1);
    run.json()["change_id"].as_str().expect("an id").to_owned()
}

async fn wait_until_in_force(cluster: &Cluster, host: &str, id: &str) {
    wait::until("the change is in force in every region", async || {
        let run = cluster.run_as_operator(host, &["--format", "json", "change", "status", id]);
        if run.code != 0 {
            return false;
        }
        let status = run.json();
        let regions = status["regions"].as_object().expect("regions");
        regions.len() == 3 && regions.values().all(|region| region["in_force"] == true)
    })
    .await;
}

/// Asks for the status of a change until a leader answers. Only the leader can say that a change is
/// unknown, and the tool does not repeat this query during an election.
async fn status_from_leader(cluster: &Cluster, host: &str, id: &str) -> ToolOutput {
    let mut answered = None;
    wait::until("a leader answers", async || {
        let run = cluster.run_as_operator(host, &["change", "status", id]);
        let is_without_leader = ["1604", "1606"].iter().any(|code| run.stderr.contains(code));
        answered = (!is_without_leader).then_some(run);
        answered.is_some()
    })
    .await;
    answered.expect("an answer")
}

fn list_profiles(cluster: &Cluster, host: &str) -> Value {
    cluster.run_as_operator(host, &["--format", "json", "profile", "list"]).json()
}

#[tokio::test(flavor = "multi_thread")]
async fn change_takes_effect_on_every_host_and_its_id_cannot_be_reused() {
    let cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    let id = submit_accepted(&cluster, "altiplano-2", "first", first);
    wait_until_in_force(&cluster, "costa-sur-2", &id).await;
    for host in cluster.hosts.keys() {
        assert_eq!(list_profiles(&cluster, host)["profiles"]["first"]["priority"], 3, "{host}");
    }
    let repeated = submit(&cluster, "oriente-2", "first", first, &["--change-id", &id]);
    assert_eq!(
        (repeated.code, &repeated.json()["revision"]),
        (0, &Value::from(first + 1)),
        "{repeated:?}"
    );
    let other = submit(&cluster, "oriente-2", "other", first, &["--change-id", &id]);
    assert_eq!(other.code, 16, "{other:?}");
    assert!(other.stderr.contains("1602"), "{other:?}");
    let unknown = status_from_leader(&cluster, "oriente-1", "no-such-id").await;
    assert!(unknown.code == 16 && unknown.stderr.contains("1605"), "{unknown:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_concurrent_changes_is_accepted() {
    let cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    for revision in first..first + 4 {
        let (left, right) = (format!("left-{revision}"), format!("right-{revision}"));
        let runs = task::block_in_place(|| {
            std::thread::scope(|scope| {
                let one = scope.spawn(|| submit(&cluster, "oriente-2", &left, revision, &[]));
                let two = scope.spawn(|| submit(&cluster, "altiplano-1", &right, revision, &[]));
                [one.join().expect("run"), two.join().expect("run")]
            })
        });
        let mut codes = runs.each_ref().map(|run| run.code);
        codes.sort_unstable();
        assert_eq!(codes, [0, 16], "{runs:?}");
        let rejected = runs.iter().find(|run| run.code == 16).expect("a rejected change");
        let current = format!("the current revision is {}", revision + 1);
        assert!(rejected.stderr.contains(&current), "{rejected:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_restart_of_every_host() {
    let mut cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    for revision in first..first + 5 {
        submit_accepted(&cluster, "oriente-1", &format!("kept-{revision}"), revision);
    }
    let hosts: Vec<String> = cluster.hosts.keys().cloned().collect();
    for host in &hosts {
        cluster.kill(host);
    }
    cluster.start_all();
    cluster.wait_until_connected().await;
    let last = format!("kept-{}", first + 5);
    let id = submit_until_accepted(&cluster, &last, first + 5).await;
    wait_until_in_force(&cluster, "oriente-1", &id).await;
    for host in &hosts {
        let listed = list_profiles(&cluster, host);
        for revision in first..first + 6 {
            let name = format!("kept-{revision}");
            assert_eq!(listed["profiles"][&name]["priority"], 3, "{host} has lost {name}");
        }
    }
}

/// Submits a change until a leader accepts it, under one id so that it takes effect once. Returns
/// the id.
async fn submit_until_accepted(cluster: &Cluster, name: &str, revision: u64) -> String {
    let id = format!("{name}-{revision}");
    wait::until("a change is accepted", async || {
        submit(cluster, "oriente-1", name, revision, &["--change-id", &id]).code == 0
    })
    .await;
    id
}

#[tokio::test(flavor = "multi_thread")]
async fn control_group_survives_a_host_loss_after_a_disk_replacement() {
    let mut cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    submit_accepted(&cluster, "oriente-1", "before", first);
    cluster.wipe("altiplano-1");
    submit_until_accepted(&cluster, "meanwhile", first + 1).await;
    cluster.restart("altiplano-1").await;
    wait::until("the voter of altiplano-1 is replaced", async || {
        let run = cluster.run_as_operator("oriente-1", &["control", "replace", "altiplano-1"]);
        run.code == 0
    })
    .await;
    cluster.kill("costa-sur-1");
    submit_until_accepted(&cluster, "after", first + 2).await;
    let listed = list_profiles(&cluster, "oriente-1");
    for name in ["before", "meanwhile", "after"] {
        assert_eq!(listed["profiles"][name]["priority"], 3, "{name} is lost");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_disks_can_be_replaced_one_after_another() {
    let mut cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    let hosts = ["costa-sur-1", "altiplano-1", "oriente-1", "costa-sur-1"];
    for (revision, host) in (first..).zip(hosts) {
        cluster.wipe(host);
        cluster.restart(host).await;
        let other = if host == "oriente-1" { "altiplano-1" } else { "oriente-1" };
        wait::until(&format!("the voter of {host} is replaced"), async || {
            cluster.run_as_operator(other, &["control", "replace", host]).code == 0
        })
        .await;
        submit_until_accepted(&cluster, &format!("kept-{revision}"), revision).await;
    }
    let listed = list_profiles(&cluster, "oriente-1");
    for revision in first..first + 4 {
        let name = format!("kept-{revision}");
        assert_eq!(listed["profiles"][&name]["priority"], 3, "{name} is lost");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn minority_accepts_no_change_and_keeps_its_configuration() {
    let cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    submit_accepted(&cluster, "oriente-1", "before", first);
    cluster.isolate_region("altiplano");
    let refused = submit(&cluster, "altiplano-1", "minority", first + 1, &["--attempts", "1"]);
    assert_eq!(refused.code, 16, "{refused:?}");
    wait::until("the majority accepts a change", async || {
        submit(&cluster, "oriente-1", "majority", first + 1, &["--change-id", "m"]).code == 0
    })
    .await;
    assert_eq!(list_profiles(&cluster, "altiplano-1")["revision"], first + 1);
    cluster.heal();
    wait_until_in_force(&cluster, "oriente-1", "m").await;
    let listed = list_profiles(&cluster, "altiplano-2");
    assert_eq!(listed["profiles"]["majority"]["priority"], 3);
    assert!(listed["profiles"]["minority"].is_null(), "{listed}");
}

/// Time for which the disk of a host is full. It is longer than an election.
const FULL_DISK_DURATION: Duration = Duration::from_secs(3);

/// Guards against a control group that has no majority any more once the disks of its hosts have
/// been full one after another.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_disks_were_full_one_after_another() {
    let cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    let mut revision = first;
    for host in ["oriente-1", "costa-sur-1", "altiplano-1"] {
        cluster.hosts[host].fill_disk();
        submit_until_accepted(&cluster, &format!("full-{revision}"), revision).await;
        time::sleep(FULL_DISK_DURATION).await;
        cluster.hosts[host].free_disk();
        revision += 1;
    }
    let id = submit_until_accepted(&cluster, &format!("full-{revision}"), revision).await;
    wait_until_in_force(&cluster, "costa-sur-2", &id).await;
    for host in cluster.hosts.keys() {
        let listed = list_profiles(&cluster, host);
        for revision in first..=revision {
            let name = format!("full-{revision}");
            assert_eq!(listed["profiles"][&name]["priority"], 3, "{host} has lost {name}");
        }
    }
}

/// Guards against a host that starts with an old configuration in a region that is cut off, since
/// its disk was full when the newest one came.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_saved_once_a_full_disk_has_room() {
    let cluster = Cluster::start().await;
    let first = wait_for_first_revision(&cluster).await;
    cluster.hosts["costa-sur-1"].fill_disk();
    let id = submit_until_accepted(&cluster, "during-full-disk", first).await;
    wait_until_in_force(&cluster, "oriente-1", &id).await;
    time::sleep(FULL_DISK_DURATION).await;
    let file = cluster.hosts["costa-sur-1"].data_folder().join("configuration");
    let is_saved = || {
        let saved = fs::read(&file).unwrap_or_default();
        String::from_utf8_lossy(&saved).contains("during-full-disk")
    };
    assert!(!is_saved());
    cluster.hosts["costa-sur-1"].free_disk();
    wait::until("the configuration is saved", async || is_saved()).await;
}
