//! Simulated callers that ask questions, and check that each complete answer is the one to its
//! question.

use std::collections::BTreeSet;

use anvillift_bench::engine::prompt::{ChatMessage, Prompt};
use anvillift_schema::public::Problem;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::{Method, Response};
use serde_json::json;
use tokio::sync::watch::Receiver;

use super::host_client::{self, HostClient};
use crate::support::cluster;
use crate::support::layout::{BOUND, MODEL};
use crate::support::stream;

const MAX_TOKENS: u32 = 120;
const PAUSE_MS: u64 = 50;

/// Counts of questions by result.
#[derive(Clone, Debug, Default)]
pub(super) struct QuestionCounts {
    pub(super) complete: u64,
    pub(super) truncated: u64,
    pub(super) refused: u64,
    pub(super) unanswered: u64,
}

impl QuestionCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.truncated += other.truncated;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
    }
}

/// Asks questions until the soak test stops, and returns the counts of their results. Panics on a
/// wrong answer or an invalid route.
pub(super) async fn run(
    client: HostClient,
    seed: u64,
    mut stopped: Receiver<bool>,
) -> QuestionCounts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counts = QuestionCounts::default();
    let mut number = 0;
    while !host_client::pause_or_stop(PAUSE_MS, &mut stopped).await {
        number += 1;
        let host = client.random_host(&mut rng);
        let service = if rng.random_ratio(1, 5) { BOUND } else { MODEL };
        let tokens = rng.random_range(1..MAX_TOKENS);
        let question = format!("{seed}/{number}: when should the pivot run?");
        let path = format!("/s/{service}/v1/chat/completions");
        let request = client.caller_request(Method::POST, &host, &path).json(&json!({
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": question }],
        }));
        match request.send().await {
            Err(_) => counts.unanswered += 1,
            Ok(answer) if answer.status() == 200 => {
                check_route(&answer);
                let streamed = stream::read(answer).await;
                if streamed.is_complete {
                    assert_eq!(
                        streamed.text,
                        expected_answer(&question, tokens),
                        "{host} returned a wrong answer to {question:?}"
                    );
                    counts.complete += 1;
                } else {
                    counts.truncated += 1;
                }
            }
            Ok(answer) => {
                let status = answer.status();
                let body = answer.text().await.unwrap_or_default();
                let problem: Result<Problem, _> = serde_json::from_str(&body);
                assert!(problem.is_ok() || body.is_empty(), "{status} {body}");
                counts.refused += 1;
            }
        }
    }
    counts
}

/// Returns the answer that every engine gives to a question.
fn expected_answer(question: &str, tokens: u32) -> String {
    let prompt = Prompt::new(&[ChatMessage { content: question.to_owned() }]);
    (0..tokens).map(|index| format!("{} ", prompt.answer_token(index))).collect()
}

/// Checks that the route has at most one hop between regions and no host twice.
fn check_route(answer: &Response) {
    let route = cluster::route(answer);
    let hops: Vec<Vec<&str>> = route
        .split('>')
        .map(|hop| hop.split('/').collect())
        .filter(|hop: &Vec<&str>| hop.len() == 3)
        .collect();
    let hosts: BTreeSet<&str> = hops.iter().map(|hop| hop[2]).collect();
    let region_changes = hops.windows(2).filter(|pair| pair[0][0] != pair[1][0]).count();
    assert!(hosts.len() == hops.len() && region_changes <= 1, "{route}");
}
