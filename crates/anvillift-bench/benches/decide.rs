//! Instruction counts of one decision.
//!
//! At 640 workers in the data centre, 28 data centres, 5 models and 30,000
//! teams a decision may take 20 us: 60,000 instructions at one a cycle on a
//! core of 3 GHz. The same decision with 30 teams bounds what the number of
//! teams may add. Start at [`Scene`].

// The macros of the library generate items without documentation.
#![allow(missing_docs)]

use std::hint::black_box;

use anvillift_routing::prefix;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_routing::team_limit::{Owners, TeamLimiter, TeamVerdict};
use anvillift_routing::{
    decide::Decision,
    load_view::{DataCentreRoom, LoadView, UpstreamRoom},
};
use anvillift_schema::configuration::{Profile, Team};
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;
use gungraun::{
    Callgrind, EventKind, LibraryBenchmarkConfig, library_benchmark, library_benchmark_group, main,
};

const UPSTREAMS: u32 = 640;
const DATA_CENTRES: u32 = 28;
const MODELS: u32 = 5;
const HOSTS: u32 = 12;
const TEAMS: u32 = 30_000;
const FEW_TEAMS: u32 = 30;
const HISTORIES: u64 = 200;
const PROMPT_BLOCKS: usize = 24;
const LARGEST_DECISION_INSTRUCTIONS: u64 = 60_000;

/// Everything that one decision reads and changes.
struct Scene {
    router: Router,
    limiter: TeamLimiter,
    owners: Owners,
    team: Team,
    request: RequestFacts,
    profile: Profile,
}

fn name(kind: &str, number: u32) -> Name {
    Name::from(format!("{kind}-{number:05}"))
}

fn upstream(number: u32) -> UpstreamRoom {
    UpstreamRoom {
        upstream: name("upstream", number),
        models: (0..MODELS).map(|model| name("model", model)).collect(),
        load: UpstreamLoad {
            running_requests: number % 16,
            max_running_requests: 16,
            queued_tokens: u64::from(number * 37 % 4_000),
            token_rate_milli: 400_000,
            prefill_rate_tokens_per_s: 20_000,
            ..UpstreamLoad::default()
        },
        load_age_ms: 300,
        known_ms: 60_000,
        ..UpstreamRoom::default()
    }
}

fn data_centre(number: u32) -> DataCentreRoom {
    DataCentreRoom {
        data_centre: name("data-centre", number),
        region: name("region", number / 3),
        hosts: (0..HOSTS).map(|host| name("host", host)).collect(),
        age_ms: 500,
        round_trip_ms: 60,
        upstreams: 64,
        running_requests: 512,
        free_slots: 300,
        queued_tokens: u64::from(number * 900),
        token_rate_milli: 20_000_000,
        prefill_rate_tokens_per_s: 1_200_000,
        ..DataCentreRoom::default()
    }
}

fn team(number: u32) -> Team {
    Team {
        name: name("team", number),
        key_hashes: Vec::new(),
        home: None,
        requests_per_s_milli: 10_000_000,
        tokens_per_s: 100_000_000,
        burst_s: 2,
    }
}

fn request(history: u64) -> RequestFacts {
    let prompt = format!("{history:<width$}", width = PROMPT_BLOCKS * prefix::BLOCK_BYTES);
    RequestFacts {
        service: Name::from("service"),
        model: Some(name("model", MODELS - 1)),
        prompt_tokens: prompt.len() as u64 / prefix::BYTES_PER_TOKEN,
        answer_tokens: 64,
        body_bytes: prompt.len() as u64,
        prefix_blocks: prefix::blocks(&prompt),
        priority: 1,
        deadline_ms: 30_000,
        ..RequestFacts::default()
    }
}

fn scene(teams: u32) -> Scene {
    let profile = Profile::default();
    let mut router = Router::new(RouterSettings::default());
    let view = LoadView {
        region: name("region", 0),
        data_centre: name("data-centre", 0),
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
        data_centres: (1..DATA_CENTRES).map(data_centre).collect(),
        ..LoadView::default()
    };
    router.refresh(1_000, &Name::from("service"), view);
    for history in 0..HISTORIES {
        router.route(1_000, &mut request(history), &profile);
    }
    let owners = Owners::new((0..HOSTS).map(|host| name("host", host)));
    let asked = team(teams / 2);
    let owner = owners.owner(&asked.name).expect("there are hosts");
    let mut limiter = TeamLimiter::new(owner.clone());
    for number in 0..teams {
        limiter.admit(1_000, &team(number), 100, &owners);
    }
    Scene { router, limiter, owners, team: asked, request: request(7), profile }
}

#[library_benchmark]
#[bench::few_teams(scene(FEW_TEAMS))]
#[bench::all_teams(scene(TEAMS))]
fn decision(mut scene: Scene) -> (TeamVerdict, Decision, Scene) {
    let verdict = scene.limiter.admit(1_010, &scene.team, 6_000, &scene.owners);
    let decision = scene.router.route(1_010, &mut scene.request, &scene.profile);
    black_box((verdict, decision, scene))
}

library_benchmark_group!(name = decisions, benchmarks = decision);

main!(
    config = LibraryBenchmarkConfig::default()
        .tool(Callgrind::default().hard_limits([(EventKind::Ir, LARGEST_DECISION_INSTRUCTIONS)])),
    library_benchmark_groups = decisions
);
