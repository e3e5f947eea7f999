//! Instruction count of one routing decision.
//!
//! With 640 workers in the data centre, 28 data centres, 5 models and 30,000 teams,
//! a decision may take 20 us. That is 60,000 instructions at one instruction per
//! cycle on a 3 GHz core. The same limit applies with 30 teams; the difference between
//! both counts shows how the cost grows with the number of teams. [`Fixture`] is the
//! state that a decision reads and changes.

// The macros of `gungraun` generate items without documentation.
#![allow(missing_docs)]

use std::hint::black_box;

use anvillift_routing::prefix;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_routing::team_limit::{Owners, TeamDecision, TeamLimiter};
use anvillift_routing::{
    decide::Decision,
    load_view::{DataCentreCapacity, LoadView, UpstreamCapacity},
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
const MAX_DECISION_INSTRUCTIONS: u64 = 60_000;

/// State that one decision reads and changes.
struct Fixture {
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

fn upstream(number: u32) -> UpstreamCapacity {
    UpstreamCapacity {
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
        seen_for_ms: 60_000,
        ..UpstreamCapacity::default()
    }
}

fn data_centre(number: u32) -> DataCentreCapacity {
    DataCentreCapacity {
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
        ..DataCentreCapacity::default()
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

fn fixture(teams: u32) -> Fixture {
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
    let requesting_team = team(teams / 2);
    let owner = owners.owner(&requesting_team.name).expect("the list of hosts is not empty");
    let mut limiter = TeamLimiter::new(owner.clone());
    for number in 0..teams {
        limiter.admit(1_000, &team(number), 100, &owners);
    }
    Fixture { router, limiter, owners, team: requesting_team, request: request(7), profile }
}

#[library_benchmark]
#[bench::few_teams(fixture(FEW_TEAMS))]
#[bench::all_teams(fixture(TEAMS))]
fn decision(mut fixture: Fixture) -> (TeamDecision, Decision, Fixture) {
    let team_decision = fixture.limiter.admit(1_010, &fixture.team, 6_000, &fixture.owners);
    let decision = fixture.router.route(1_010, &mut fixture.request, &fixture.profile);
    black_box((team_decision, decision, fixture))
}

library_benchmark_group!(name = decisions, benchmarks = decision);

main!(
    config = LibraryBenchmarkConfig::default()
        .tool(Callgrind::default().hard_limits([(EventKind::Ir, MAX_DECISION_INSTRUCTIONS)])),
    library_benchmark_groups = decisions
);
