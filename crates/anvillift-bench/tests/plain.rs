//! Stand-in plain service over HTTP.

use anvillift_bench::plain::{self, Fault, PlainFaults, PlainSettings, RunReport};
use reqwest::{Client, retry};
use rstest::rstest;

#[rstest]
#[case(Fault::None, true, 1)]
#[case(Fault::CloseOnArrival, false, 0)]
#[case(Fault::RunThenClose, false, 1)]
#[case(Fault::CutAnswer, false, 1)]
#[tokio::test]
async fn a_fault_decides_whether_a_command_runs_and_is_answered(
    #[case] fault: Fault,
    #[case] is_answered: bool,
    #[case] runs: usize,
) {
    let service = plain::start(PlainSettings::default()).await.unwrap();
    let client = Client::builder().retry(retry::never()).build().unwrap();
    let base = format!("http://{}", service.addr);
    // A first request puts a connection into the client's pool, so the fault closes a
    // reused connection.
    client.get(format!("{base}/pivots/7")).send().await.unwrap().bytes().await.unwrap();
    service.set_faults(PlainFaults { fault, ..PlainFaults::default() });
    let command = client.post(format!("{base}/pivots/7/stop")).header("Idempotency-Key", "k1");
    let answered = match command.send().await {
        Ok(answer) => answer.bytes().await.is_ok(),
        Err(_) => false,
    };
    assert_eq!(answered, is_answered);
    let inspect = Client::new().get(format!("{base}/v1/inspect")).send().await.unwrap();
    let report: RunReport = inspect.json().await.unwrap();
    assert_eq!(report, service.report());
    assert_eq!(report.commands_seen, 1);
    assert_eq!(report.run_count("k1", "/pivots/7/stop"), runs);
    assert_eq!(report.reads, 1);
    service.stop().await;
}
