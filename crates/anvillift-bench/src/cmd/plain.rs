//! `anvillift-bench plain`: runs a stand-in plain service as a process.

use anvillift_bench::error::BenchError;
use anvillift_bench::plain::{self, Fault, PlainFaults, PlainSettings};
use anvillift_schema::name::Name;

/// Run a stand-in plain service until SIGTERM.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "plain")]
pub(crate) struct PlainCommand {
    /// name of the upstream
    #[argh(option)]
    name: String,
    /// name of the service that it serves
    #[argh(option)]
    service: String,
    /// base URLs of entry hosts, comma separated
    #[argh(option)]
    announce: String,
    /// upstream key
    #[argh(option)]
    key: String,
    /// IP address and port to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// fault of commands: none, close_on_arrival, run_then_close, cut_answer or hang
    #[argh(option, default = "Fault::None", from_str_fn(parse_fault))]
    fault: Fault,
    /// number of commands that the fault affects; all when absent
    #[argh(option)]
    fault_count: Option<u32>,
    /// delay of each answer, in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
}

impl PlainCommand {
    /// Prints the service's name and URL, and serves until a stop signal.
    pub(crate) async fn execute(self) -> Result<(), BenchError> {
        let settings = PlainSettings {
            name: Name::from(self.name.as_str()),
            service: Name::from(self.service),
            listen: self.listen,
            announce: super::announce_settings(&self.announce, self.key),
            faults: PlainFaults {
                fault: self.fault,
                fault_count: self.fault_count,
                delay_ms: self.delay_ms,
            },
        };
        let running = plain::start(settings).await?;
        super::print_line(&format!("{} http://{}", self.name, running.addr));
        super::wait_for_stop_signal().await;
        running.stop().await;
        Ok(())
    }
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    serde_json::from_value(serde_json::Value::from(text)).map_err(|error| error.to_string())
}
