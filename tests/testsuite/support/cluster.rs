//! Real daemons of three regions, with a network that can be cut.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use anvillift_schema::configuration::Configuration;
use anvillift_schema::public::{DirectoryAnswer, Problem, UpstreamStatus};
use reqwest::{Client, Method, RequestBuilder, Response};
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::host::Host;
use super::layout::{self, CALLER_KEY, ClusterSettings, OPERATOR_KEY, PLAIN, Place};
use super::network::Network;
use super::tool::{self, Run};
use super::wait;

/// Longest wait of a caller for the next byte.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Clusters that run at a time, so that their processes do not crowd each other out.
const CLUSTERS_AT_A_TIME: usize = 3;
static SEATS: Semaphore = Semaphore::const_new(CLUSTERS_AT_A_TIME);

/// Hosts by name, and what lies between them.
pub(crate) struct Cluster {
    /// Hosts by name, such as `oriente-1`.
    pub(crate) hosts: BTreeMap<String, Host>,
    /// Relays between the hosts.
    pub(crate) network: Network,
    /// A caller's client, which never sends anything twice.
    pub(crate) client: Client,
    folder: TempDir,
    _seat: SemaphorePermit<'static>,
}

impl Cluster {
    /// Two hosts in each region, all linked.
    pub(crate) async fn start() -> Self {
        Self::start_with(ClusterSettings::default()).await
    }

    /// Hosts as the settings say, all linked.
    pub(crate) async fn start_with(settings: ClusterSettings) -> Self {
        let _seat = SEATS.acquire().await.expect("never closed");
        let folder = tempfile::tempdir().expect("a folder");
        let places = layout::places(&settings);
        let network = Network::start(&places).await;
        let mut hosts = BTreeMap::new();
        for place in places.values() {
            let mut host = Host::new(place.clone(), &folder.path().join(&place.host));
            let data = host.data_folder().display().to_string();
            let link_of = |to: &str| network.address(&place.host, to);
            let text = layout::settings_text(&settings, &places, place, &data, link_of);
            host.write_settings(&text);
            host.start();
            hosts.insert(place.host.clone(), host);
        }
        let cluster = Self { hosts, network, client: client(), folder, _seat };
        cluster.settled().await;
        cluster
    }

    /// Folder for files of the test.
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Base URL of a host.
    pub(crate) fn url(&self, host: &str) -> String {
        format!("http://{}", self.place(host).callers)
    }

    /// Where a host stands.
    pub(crate) fn place(&self, host: &str) -> &Place {
        &self.hosts[host].place
    }

    /// Names of the hosts of a data centre.
    pub(crate) fn hosts_of(&self, data_centre: &str) -> Vec<String> {
        let hosts = self.hosts.values().filter(|host| host.place.data_centre == data_centre);
        hosts.map(|host| host.place.host.clone()).collect()
    }

    /// Base URLs of the hosts of a data centre.
    pub(crate) fn urls_of(&self, data_centre: &str) -> Vec<String> {
        self.hosts_of(data_centre).iter().map(|host| self.url(host)).collect()
    }

    /// A caller's request to a path of a host.
    pub(crate) fn request(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.client.request(method, self.url(host) + path).bearer_auth(CALLER_KEY)
    }

    /// A reading of a plain service.
    pub(crate) fn read(&self, host: &str, path: &str) -> RequestBuilder {
        self.request(Method::GET, host, &format!("/s/{PLAIN}{path}"))
    }

    /// A question to a model service, with the length of its answer.
    pub(crate) fn ask(
        &self,
        host: &str,
        service: &str,
        stream: bool,
        tokens: u32,
    ) -> RequestBuilder {
        let path = format!("/s/{service}/v1/chat/completions");
        self.request(Method::POST, host, &path).json(&json!({
            "model": "stand-in",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "When should pivot 7 run?" }],
        }))
    }

    /// Runs the operators' tool against a host.
    pub(crate) fn operate(&self, host: &str, arguments: &[&str]) -> Run {
        tool::run_at(&self.url(host), OPERATOR_KEY, arguments)
    }

    /// Runs the tool with a caller's key against a host.
    pub(crate) fn call(&self, host: &str, arguments: &[&str]) -> Run {
        tool::run_at(&self.url(host), CALLER_KEY, arguments)
    }

    /// The hosts that a host's directory names for a service, in order.
    pub(crate) async fn directory(&self, host: &str, service: &str) -> Vec<String> {
        let path = format!("/v1/hosts?service={service}");
        let Ok(answer) = self.request(Method::GET, host, &path).send().await else {
            return Vec::new();
        };
        let Ok(answer) = answer.json::<DirectoryAnswer>().await else { return Vec::new() };
        answer.hosts.iter().map(|host| host.host.to_string()).collect()
    }

    /// The upstreams that a host knows; none if it does not answer.
    pub(crate) async fn upstreams(&self, host: &str) -> Vec<UpstreamStatus> {
        let request = self.client.get(self.url(host) + "/v1/operator/upstreams");
        match request.bearer_auth(OPERATOR_KEY).send().await {
            Ok(answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// The revision in force on a host, if it answers.
    pub(crate) async fn revision(&self, host: &str) -> Option<u64> {
        let request = self.client.get(self.url(host) + "/v1/operator/configuration");
        let answer = request.bearer_auth(OPERATOR_KEY).send().await.ok()?;
        answer.json::<Configuration>().await.ok().map(|held| held.revision)
    }

    /// Waits until a host is ready.
    pub(crate) async fn ready(&self, host: &str) {
        wait::until(&format!("{host} is ready"), async || {
            let answer = self.client.get(self.url(host) + "/healthz").send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Waits until each running host names every running host in its directory.
    pub(crate) async fn settled(&self) {
        for host in self.hosts.keys() {
            self.ready(host).await;
        }
        for host in self.hosts.keys() {
            wait::until(&format!("{host} knows every host"), async || {
                self.directory(host, PLAIN).await.len() == self.hosts.len()
            })
            .await;
        }
    }

    /// Ends the process of a host at once.
    pub(crate) fn kill(&mut self, host: &str) {
        self.host(host).kill();
    }

    /// Stops the process of a host without ending it.
    pub(crate) fn freeze(&mut self, host: &str) {
        self.host(host).signal(Signal::STOP);
    }

    /// Lets a frozen process run on.
    pub(crate) fn thaw(&mut self, host: &str) {
        self.host(host).signal(Signal::CONT);
    }

    /// Asks a host for a planned stop.
    pub(crate) fn terminate(&mut self, host: &str) {
        self.host(host).signal(Signal::TERM);
    }

    /// Waits for a host to end by itself; gives its exit code.
    pub(crate) async fn ended(&mut self, host: &str) -> Option<i32> {
        self.host(host).ended().await
    }

    /// Starts the process of a host again, and waits until it is ready.
    pub(crate) async fn restart(&mut self, host: &str) {
        self.kill(host);
        self.host(host).start();
        self.ready(host).await;
    }

    /// Starts every host that does not run.
    pub(crate) fn start_all(&mut self) {
        for host in self.hosts.values_mut() {
            if !host.runs() {
                host.kill();
                host.start();
            }
        }
    }

    /// Ends a host and empties its data folder.
    pub(crate) fn wipe(&mut self, host: &str) {
        self.kill(host);
        let folder = self.hosts[host].data_folder();
        if folder.exists() {
            fs::remove_dir_all(folder).expect("removed");
        }
    }

    /// Cuts one direction between two hosts.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        self.network.set_open(from, to, false);
    }

    /// Cuts both directions between a host and every other.
    pub(crate) fn isolate(&self, host: &str) {
        for other in self.hosts.keys().filter(|other| *other != host) {
            self.cut(host, other);
            self.cut(other, host);
        }
    }

    /// Cuts both directions between a region and every other.
    pub(crate) fn isolate_region(&self, region: &str) {
        for (inside, place) in &self.hosts {
            let others = self.hosts.iter().filter(|(_, other)| other.place.region != region);
            for (outside, _) in others.filter(|_| place.place.region == region) {
                self.cut(inside, outside);
                self.cut(outside, inside);
            }
        }
    }

    /// Opens every direction again.
    pub(crate) fn heal(&self) {
        self.network.heal();
    }

    /// What a host logged so far.
    pub(crate) fn log(&self, host: &str) -> String {
        self.hosts[host].log()
    }

    fn host(&mut self, host: &str) -> &mut Host {
        self.hosts.get_mut(host).expect("a host of the cluster")
    }
}

/// A client that keeps no connection, since hosts are killed and close idle ones.
fn client() -> Client {
    Client::builder()
        .pool_max_idle_per_host(0)
        .no_proxy()
        .retry(reqwest::retry::never())
        .read_timeout(CALLER_TIMEOUT)
        .build()
        .expect("a client")
}

/// The route of an answer.
pub(crate) fn route(answer: &Response) -> String {
    let route = answer.headers().get("Anvillift-Route").expect("a route");
    route.to_str().expect("text").to_owned()
}

/// The problem of an answer.
pub(crate) async fn problem(answer: Response) -> Problem {
    answer.json().await.expect("a problem")
}
