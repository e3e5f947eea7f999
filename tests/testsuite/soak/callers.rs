//! Callers who ask questions and check that answers are whole and their own.

use std::collections::BTreeSet;

use anvillift_bench::engine::prompt::{ChatMessage, Prompt};
use anvillift_schema::public::Problem;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::{Method, Response};
use serde_json::json;
use tokio::sync::watch::Receiver;

use super::doors::{self, Doors};
use crate::support::cluster;
use crate::support::layout::{BOUND, MODEL};
use crate::support::stream;

const MAX_TOKENS: u32 = 120;
const PAUSE_MS: u64 = 50;

/// How questions ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) whole: u64,
    pub(super) broken: u64,
    pub(super) refused: u64,
    pub(super) lost: u64,
}

impl Tally {
    pub(super) fn add(&mut self, other: &Self) {
        self.whole += other.whole;
        self.broken += other.broken;
        self.refused += other.refused;
        self.lost += other.lost;
    }
}

/// Asks until the soak stops.
pub(super) async fn run(doors: Doors, seed: u64, mut stopped: Receiver<bool>) -> Tally {
    let mut draws = SmallRng::seed_from_u64(seed);
    let mut tally = Tally::default();
    let mut number = 0;
    while !doors::pause(PAUSE_MS, &mut stopped).await {
        number += 1;
        let host = doors.any(&mut draws);
        let service = if draws.random_ratio(1, 5) { BOUND } else { MODEL };
        let tokens = draws.random_range(1..MAX_TOKENS);
        let question = format!("{seed}/{number}: when should the pivot run?");
        let path = format!("/s/{service}/v1/chat/completions");
        let request = doors.call(Method::POST, &host, &path).json(&json!({
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": question }],
        }));
        match request.send().await {
            Err(_) => tally.lost += 1,
            Ok(answer) if answer.status() == 200 => {
                check_route(&answer);
                let streamed = stream::read(answer).await;
                if streamed.whole {
                    assert_eq!(streamed.text, expected(&question, tokens), "another's answer");
                    tally.whole += 1;
                } else {
                    tally.broken += 1;
                }
            }
            Ok(answer) => {
                let status = answer.status();
                let body = answer.text().await.unwrap_or_default();
                let problem: Result<Problem, _> = serde_json::from_str(&body);
                assert!(problem.is_ok() || body.is_empty(), "{status} {body}");
                tally.refused += 1;
            }
        }
    }
    tally
}

/// The answer that any engine gives to a question.
fn expected(question: &str, tokens: u32) -> String {
    let prompt = Prompt::new(&[ChatMessage { content: question.to_owned() }]);
    (0..tokens).map(|index| format!("{} ", prompt.word(index))).collect()
}

/// At most one hop between regions, and no host twice.
fn check_route(answer: &Response) {
    let route = cluster::route(answer);
    let places: Vec<Vec<&str>> = route
        .split('>')
        .map(|place| place.split('/').collect())
        .filter(|place: &Vec<&str>| place.len() == 3)
        .collect();
    let hosts: BTreeSet<&str> = places.iter().map(|place| place[2]).collect();
    let hops = places.windows(2).filter(|pair| pair[0][0] != pair[1][0]).count();
    assert!(hosts.len() == places.len() && hops <= 1, "{route}");
}
