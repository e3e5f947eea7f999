//! Placement with the state of one host.

use std::collections::BTreeMap;

use anvillift_routing::decide::Decision;
use anvillift_routing::load_view::{LoadView, UpstreamRoom};
use anvillift_routing::policy::Policy;
use anvillift_routing::request::RequestFacts;
use anvillift_routing::router::{Router, RouterSettings};
use anvillift_schema::configuration::Profile;
use anvillift_schema::name::Name;
use anvillift_schema::upstream::UpstreamLoad;

fn room(name: &str, load_age_ms: u64) -> UpstreamRoom {
    let load = UpstreamLoad {
        prefill_rate_tokens_per_s: 10_000,
        max_running_requests: 16,
        ..UpstreamLoad::default()
    };
    UpstreamRoom { upstream: Name::from(name), load, load_age_ms, ..UpstreamRoom::default() }
}

fn view(names: &[&str], load_age_ms: u64) -> LoadView {
    let upstreams = names.iter().map(|name| room(name, load_age_ms)).collect();
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
        let upstream = route(&mut router, 1_000, 2_000).expect("room");
        *counts.entry(upstream).or_default() += 1;
    }
    assert!(counts.values().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn a_report_takes_over_what_it_covers() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings::default());
    router.refresh(1_000, &service, view(&["a"], 500));
    let upstream = route(&mut router, 1_000, 2_000).expect("room");
    router.refresh(1_400, &service, view(&["a"], 500));
    assert_eq!(router.sent_tokens(&service, &upstream), 2_000);
    router.refresh(1_600, &service, view(&["a"], 500));
    assert_eq!(router.sent_tokens(&service, &upstream), 0);
}

#[test]
fn what_ends_is_no_longer_counted() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings {
        policy: Policy::LeastOutstanding,
        ..RouterSettings::default()
    });
    router.refresh(0, &service, view(&["a", "b"], 0));
    let first = route(&mut router, 0, 10).expect("room");
    let second = route(&mut router, 0, 10).expect("room");
    assert_ne!(first, second);
    router.finished(&service, &second);
    assert_eq!(route(&mut router, 0, 10), Some(second));
}

#[test]
fn a_conversation_returns_to_the_upstream_that_knows_it() {
    let service = Name::from("advice");
    let mut router = Router::new(RouterSettings::default());
    router.refresh(0, &service, view(&["a", "b", "c"], 0));
    let history: Vec<u64> = (1..=40).collect();
    let ask = |router: &mut Router, now_ms| {
        let mut request = RequestFacts { prefix_blocks: history.clone(), ..request(10_240) };
        match router.route(now_ms, &mut request, &Profile::default()) {
            Decision::Local { upstream } => upstream,
            other => panic!("{other:?}"),
        }
    };
    let first = ask(&mut router, 0);
    router.finished(&service, &first);
    router.refresh(5_000, &service, view(&["a", "b", "c"], 0));
    assert_eq!(ask(&mut router, 5_000), first);
}
