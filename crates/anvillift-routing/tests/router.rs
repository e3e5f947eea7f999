//! Tests of placement with the state that one host keeps.

use std::collections::BTreeMap;

use anvillift_routing::decide::Decision;
use anvillift_routing::load_view::{LoadView, UpstreamCapacity};
use anvillift_routing::policy::Policy;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;

fn capacity(name: &str, load_age_ms: u64) -> UpstreamCapacity {
    let load = UpstreamLoad {
        prefill_rate_tokens_per_s: 10_000,
        max_running_requests: 16,
        ..UpstreamLoad::default()
    };
    UpstreamCapacity {
        upstream: Name::from(name),
        load,
        load_age_ms,
        ..UpstreamCapacity::default()
    }
}

fn view(names: &[&str], load_age_ms: u64) -> LoadView {
    let upstreams = names.iter().map(|name| capacity(name, load_age_ms)).collect();
    LoadView { upstreams, ..LoadView::default() }
}

fn request(prompt_tokens: u64) -> RequestFacts {
    RequestFacts {
        service: Name::from("advice"),
        prompt_tokens,
        answer_tokens: 50,
        deadline_ms: 60_000,
        priority: 3,
        ..RequestFacts::default()
    }
}

fn route(router: &mut Router, now_ms: u64, prompt_tokens: u64) -> Option<Name> {
    match router.route(now_ms, &mut request(prompt_tokens), &Profile::default()) {
        Decision::Local { upstream } => Some(upstream),
        _ => None,
    }
}

#[test]
fn a_burst_between_reports_is_spread() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings::default());
    router.refresh(1_000, &service, view(&["a", "b", "c", "d"], 500));
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for _ in 0..16 {
        let upstream = route(&mut router, 1_000, 2_000).expect("a local upstream");
        *counts.entry(upstream).or_default() += 1;
    }
    assert!(counts.values().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn a_report_replaces_the_sent_tokens_that_it_covers() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings::default());
    router.refresh(1_000, &service, view(&["a"], 500));
    let upstream = route(&mut router, 1_000, 2_000).expect("a local upstream");
    router.refresh(1_400, &service, view(&["a"], 500));
    assert_eq!(router.sent_tokens(&service, &upstream), 2_000);
    router.refresh(1_600, &service, view(&["a"], 500));
    assert_eq!(router.sent_tokens(&service, &upstream), 0);
}

#[test]
fn a_finished_request_is_no_longer_counted() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings {
        policy: Policy::LeastOutstanding,
        ..RouterSettings::default()
    });
    router.refresh(0, &service, view(&["a", "b"], 0));
    let first = route(&mut router, 0, 10).expect("a local upstream");
    let second = route(&mut router, 0, 10).expect("a local upstream");
    assert_ne!(first, second);
    router.record_finished(&service, &second);
    assert_eq!(route(&mut router, 0, 10), Some(second));
}

#[test]
fn a_conversation_returns_to_the_upstream_that_cached_it() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings::default());
    router.refresh(0, &service, view(&["a", "b", "c"], 0));
    let prefix_blocks: Vec<u64> = (1..=40).collect();
    let send = |router: &mut Router, now_ms| {
        let mut request = RequestFacts { prefix_blocks: prefix_blocks.clone(), ..request(10_240) };
        match router.route(now_ms, &mut request, &Profile::default()) {
            Decision::Local { upstream } => upstream,
            other => panic!("not placed locally: {other:?}"),
        }
    };
    let first = send(&mut router, 0);
    router.record_finished(&service, &first);
    router.refresh(5_000, &service, view(&["a", "b", "c"], 0));
    assert_eq!(send(&mut router, 5_000), first);
}
