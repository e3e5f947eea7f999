//! Prints the cost of placement and admission for several numbers of workers and
//! teams.
//!
//! Run it with `cargo run --release -p anvillift-routing --example decision_cost`.

use std::time::Instant;

use anvillift_routing::load_view::{DataCentreCapacity, LoadView, UpstreamCapacity};
use anvillift_routing::prefix::BLOCK_BYTES;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_routing::team_limit::{Owners, TeamLimiter};
use anvillift_schema::configuration::{Profile, Team};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;

const DECISIONS: u64 = 20_000;
const DATA_CENTRES: usize = 27;
const PROMPT_BLOCKS: u64 = 64;

fn view(workers: usize) -> LoadView {
    let upstreams = (0..workers).map(|worker| UpstreamCapacity {
        upstream: Name::from(format!("worker-{worker:04}")),
        models: vec![Name::from("asistente-riego")],
        load: UpstreamLoad {
            running_requests: (worker % 16) as u32,
            queued_tokens: (worker * 37 % 4_000) as u64,
            token_rate_milli: 400_000,
            prefill_rate_tokens_per_s: 10_000,
            max_running_requests: 32,
            ..UpstreamLoad::default()
        },
        seen_for_ms: 60_000,
        ..UpstreamCapacity::default()
    });
    let data_centres = (0..DATA_CENTRES).map(|place| DataCentreCapacity {
        data_centre: Name::from(format!("data-centre-{place:02}")),
        region: Name::from(format!("region-{}", place / 3)),
        hosts: vec![Name::from(format!("host-{place}"))],
        round_trip_ms: 60,
        upstreams: 60,
        free_slots: 100,
        prefill_rate_tokens_per_s: 600_000,
        ..DataCentreCapacity::default()
    });
    LoadView {
        upstreams: upstreams.collect(),
        data_centres: data_centres.collect(),
        ..LoadView::default()
    }
}

fn request(number: u64) -> RequestFacts {
    RequestFacts {
        service: Name::from("advice"),
        model: Some(Name::from("asistente-riego")),
        prompt_tokens: PROMPT_BLOCKS * BLOCK_BYTES as u64 / 4,
        answer_tokens: 200,
        prefix_blocks: (0..PROMPT_BLOCKS).map(|block| (block << 32) | (number % 500)).collect(),
        deadline_ms: 60_000,
        priority: 3,
        ..RequestFacts::default()
    }
}

fn print(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn main() {
    let profile = Profile::default();
    print("workers  us/decision  us/refresh");
    for workers in [40, 160, 640] {
        let mut router = Router::new(RouterSettings::default());
        let service = Name::from("advice");
        router.refresh(0, &service, view(workers));
        let mut requests: Vec<RequestFacts> = (0..DECISIONS).map(request).collect();
        let started = Instant::now();
        for (number, request) in requests.iter_mut().enumerate() {
            router.route(number as u64 / 20, request, &profile);
        }
        let decision_us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
        let views: Vec<LoadView> = (0..100).map(|_| view(workers)).collect();
        let started = Instant::now();
        for (number, view) in views.into_iter().enumerate() {
            router.refresh(2_000 + number as u64, &service, view);
        }
        let refresh_us = started.elapsed().as_secs_f64() * 1e6 / 100.0;
        print(&format!("{workers:7}  {decision_us:11.2}  {refresh_us:10.1}"));
    }
    print("teams  us/admission");
    let owners = Owners::new((0..14).map(|host| Name::from(format!("host-{host}"))));
    for teams in [300, 3_000, 30_000] {
        let mut limiter = TeamLimiter::new(Name::from("host-0"));
        let teams: Vec<Team> = (0..teams)
            .map(|team| Team {
                name: Name::from(format!("team-{team}")),
                requests_per_s_milli: 5_000,
                tokens_per_s: 10_000,
                ..Team::default()
            })
            .collect();
        let started = Instant::now();
        for number in 0..DECISIONS as usize {
            let team = &teams[number * 7_919 % teams.len()];
            limiter.admit(number as u64 / 20, team, 100, &owners);
        }
        let admission_us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
        print(&format!("{:5}  {admission_us:12.2}", teams.len()));
    }
}
