//! A cluster of real daemons in three regions, on a network whose connections can be cut.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use anvillift_schema::configuration::Configuration;
use anvillift_schema::public::{DirectoryAnswer, Problem, UpstreamStatus};
use reqwest::{Client, Method, RequestBuilder, Response};
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::host::Host;
use super::layout::{self, CALLER_KEY, ClusterSettings, HostLayout, OPERATOR_KEY, PLAIN};
use super::memory_folder;
use super::network::Network;
use super::tool::{self, ToolOutput};
use super::wait;

/// Longest time for which the client waits for the next byte of an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit on clusters that run at once, since more processes would compete for the CPU and miss
/// their time limits.
const MAX_CONCURRENT_CLUSTERS: usize = 3;
static CLUSTER_SLOTS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_CLUSTERS);

/// A running cluster. Its processes end when it is dropped.
pub(crate) struct Cluster {
    /// Hosts by name, such as `oriente-1`.
    pub(crate) hosts: BTreeMap<String, Host>,
    /// Relays between the hosts, each of which can be cut.
    pub(crate) network: Network,
    /// HTTP client of a caller, which never repeats a request by itself.
    pub(crate) client: Client,
    folder: TempDir,
    _slot: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts two hosts in each region, and waits until all are connected.
    pub(crate) async fn start() -> Self {
        Self::start_with(ClusterSettings::default()).await
    }

    /// Starts hosts as set out in `settings`, and waits until all are connected.
    pub(crate) async fn start_with(settings: ClusterSettings) -> Self {
        let _slot = CLUSTER_SLOTS.acquire().await.expect("never closed");
        let folder = memory_folder::memory_folder();
        let layouts = layout::host_layouts(&settings);
        let network = Network::start(&layouts).await;
        let mut hosts = BTreeMap::new();
        for layout in layouts.values() {
            let mut host = Host::new(layout.clone(), &folder.path().join(&layout.host));
            let data = host.data_folder().display().to_string();
            let link_address_of = |to: &str| network.address(&layout.host, to);
            let text = layout::settings_text(&settings, &layouts, layout, &data, link_address_of);
            host.write_settings(&text);
            host.start();
            hosts.insert(layout.host.clone(), host);
        }
        let cluster = Self { hosts, network, client: client(CALLER_TIMEOUT), folder, _slot };
        cluster.wait_until_connected().await;
        cluster
    }

    /// Returns a temporary folder for files of the test.
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Returns the base URL at which a host serves callers.
    pub(crate) fn url(&self, host: &str) -> String {
        format!("http://{}", self.layout(host).caller_address)
    }

    /// Returns the region, data centre and addresses of a host.
    pub(crate) fn layout(&self, host: &str) -> &HostLayout {
        &self.hosts[host].layout
    }

    /// Returns the names of the hosts of a data centre.
    pub(crate) fn hosts_of(&self, data_centre: &str) -> Vec<String> {
        let hosts = self.hosts.values().filter(|host| host.layout.data_centre == data_centre);
        hosts.map(|host| host.layout.host.clone()).collect()
    }

    /// Returns the base URLs of the hosts of a data centre.
    pub(crate) fn urls_of(&self, data_centre: &str) -> Vec<String> {
        self.hosts_of(data_centre).iter().map(|host| self.url(host)).collect()
    }

    /// Builds a request to a path of a host, with the key of a caller.
    pub(crate) fn request(&self, method: Method, host: &str, path: &str) -> RequestBuilder {
        self.client.request(method, self.url(host) + path).bearer_auth(CALLER_KEY)
    }

    /// Builds a GET request to the plain service.
    pub(crate) fn read(&self, host: &str, path: &str) -> RequestBuilder {
        self.request(Method::GET, host, &format!("/s/{PLAIN}{path}"))
    }

    /// Builds a chat completion request to a model service, for an answer of up to `tokens` tokens.
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

    /// Runs the command-line tool against a host with the key of an operator.
    pub(crate) fn run_as_operator(&self, host: &str, arguments: &[&str]) -> ToolOutput {
        tool::run_against(&self.url(host), OPERATOR_KEY, arguments)
    }

    /// Runs the command-line tool against a host with the key of a caller.
    pub(crate) fn run_as_caller(&self, host: &str, arguments: &[&str]) -> ToolOutput {
        tool::run_against(&self.url(host), CALLER_KEY, arguments)
    }

    /// Returns the hosts that the directory of `host` lists for a service, in its order; none if
    /// the host does not answer.
    pub(crate) async fn directory(&self, host: &str, service: &str) -> Vec<String> {
        let path = format!("/v1/hosts?service={service}");
        let Ok(answer) = self.request(Method::GET, host, &path).send().await else {
            return Vec::new();
        };
        let Ok(answer) = answer.json::<DirectoryAnswer>().await else { return Vec::new() };
        answer.hosts.iter().map(|host| host.host.to_string()).collect()
    }

    /// Returns the upstreams that a host lists; none if it does not answer.
    pub(crate) async fn upstreams(&self, host: &str) -> Vec<UpstreamStatus> {
        let request = self.client.get(self.url(host) + "/v1/operator/upstreams");
        match request.bearer_auth(OPERATOR_KEY).send().await {
            Ok(answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns the configuration revision in force on a host; `None` if it does not answer.
    pub(crate) async fn revision(&self, host: &str) -> Option<u64> {
        let request = self.client.get(self.url(host) + "/v1/operator/configuration");
        let answer = request.bearer_auth(OPERATOR_KEY).send().await.ok()?;
        answer.json::<Configuration>().await.ok().map(|configuration| configuration.revision)
    }

    /// Waits until a host reports that it is ready. Prints the log of the host if it does not, since
    /// the log is gone after the test.
    pub(crate) async fn wait_until_ready(&self, host: &str) {
        let is_ready = async || {
            let answer = self.client.get(self.url(host) + "/healthz").send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        };
        let deadline = Instant::now() + wait::DEFAULT_TIMEOUT;
        wait::until(&format!("{host} is ready"), async || {
            let is_ready = is_ready().await;
            if !is_ready && Instant::now() >= deadline {
                eprintln!("log of {host}:\n{}", self.log(host));
            }
            is_ready
        })
        .await;
    }

    /// Waits until every host is ready and lists all hosts of the cluster in its directory.
    pub(crate) async fn wait_until_connected(&self) {
        for host in self.hosts.keys() {
            self.wait_until_ready(host).await;
        }
        for host in self.hosts.keys() {
            wait::until(&format!("{host} lists every host"), async || {
                self.directory(host, PLAIN).await.len() == self.hosts.len()
            })
            .await;
        }
    }

    /// Kills the process of a host with SIGKILL.
    pub(crate) fn kill(&mut self, host: &str) {
        self.host(host).kill();
    }

    /// Suspends the process of a host with SIGSTOP.
    pub(crate) fn freeze(&mut self, host: &str) {
        self.host(host).freeze();
    }

    /// Resumes the frozen process of a host.
    pub(crate) fn thaw(&mut self, host: &str) {
        self.host(host).signal(Signal::CONT);
    }

    /// Starts a planned stop of a host with SIGTERM.
    pub(crate) fn terminate(&mut self, host: &str) {
        self.host(host).signal(Signal::TERM);
    }

    /// Waits until the process of a host exits, and returns its exit code; `None` if a signal ended
    /// it.
    pub(crate) async fn wait_for_exit(&mut self, host: &str) -> Option<i32> {
        self.host(host).wait_for_exit().await
    }

    /// Kills and restarts the process of a host, and waits until it is ready.
    pub(crate) async fn restart(&mut self, host: &str) {
        self.kill(host);
        self.host(host).start();
        self.wait_until_ready(host).await;
    }

    /// Starts every host whose process is not running.
    pub(crate) fn start_all(&mut self) {
        for host in self.hosts.values_mut() {
            if !host.is_running() {
                host.kill();
                host.start();
            }
        }
    }

    /// Kills a host and removes its data folder.
    pub(crate) fn wipe(&mut self, host: &str) {
        self.kill(host);
        let folder = self.hosts[host].data_folder();
        if folder.exists() {
            fs::remove_dir_all(folder).expect("removed");
        }
    }

    /// Cuts the connection in one direction between two hosts.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        self.network.set_delivering(from, to, false);
    }

    /// Cuts both directions between a host and all other hosts.
    pub(crate) fn isolate(&self, host: &str) {
        for other in self.hosts.keys().filter(|other| *other != host) {
            self.cut(host, other);
            self.cut(other, host);
        }
    }

    /// Cuts both directions between the hosts of a region and those of all other regions.
    pub(crate) fn isolate_region(&self, region: &str) {
        for (inside, host) in &self.hosts {
            let others = self.hosts.iter().filter(|(_, other)| other.layout.region != region);
            for (outside, _) in others.filter(|_| host.layout.region == region) {
                self.cut(inside, outside);
                self.cut(outside, inside);
            }
        }
    }

    /// Restores the connections between all hosts.
    pub(crate) fn heal(&self) {
        self.network.heal();
    }

    /// Returns what a host has logged so far.
    pub(crate) fn log(&self, host: &str) -> String {
        self.hosts[host].log()
    }

    fn host(&mut self, host: &str) -> &mut Host {
        self.hosts.get_mut(host).expect("a host of the cluster")
    }
}

/// Builds a client that keeps no idle connections, since hosts that are killed or stopped close
/// them. It waits for the next byte of an answer for at most `read_timeout`.
pub(crate) fn client(read_timeout: Duration) -> Client {
    Client::builder()
        .pool_max_idle_per_host(0)
        .no_proxy()
        .retry(reqwest::retry::never())
        .read_timeout(read_timeout)
        .build()
        .expect("a client")
}

/// Returns the route of an answer from its header.
pub(crate) fn route(answer: &Response) -> String {
    let route = answer.headers().get("Anvillift-Route").expect("a route");
    route.to_str().expect("text").to_owned()
}

/// Reads the body of an answer as a problem.
pub(crate) async fn problem(answer: Response) -> Problem {
    answer.json().await.expect("a problem")
}
