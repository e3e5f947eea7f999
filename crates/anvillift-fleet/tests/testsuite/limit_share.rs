//! Limits that workers name: how they are read, and that hosts together keep to them
//! without telling each other what they send.

use anvillift_fleet::{
    LimitShare, LimitSharers, SharedLimit, WorkerNotices, WorkerStart, rate_limit,
};
use anvillift_schema::name::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Users' bound on the requests in a time: so many times what the limit allows, and more.
const BOUND_WINDOW_MS: u64 = 4_000;
const BOUND_FACTOR: f64 = 1.5;
const BOUND_SLACK: f64 = 5.0;
const STEP_MS: u64 = 10;

fn worker() -> WorkerStart {
    WorkerStart { id: Name::from("i-1"), born_ms: 1 }
}

/// Hosts of a simulation, each with its own clock and view of the others.
struct Hosts {
    names: Vec<Name>,
    clock_offsets_ms: Vec<u64>,
    shares: Vec<LimitShare>,
    /// Number of hosts that each one knows.
    known: Vec<usize>,
}

impl Hosts {
    fn new(count: usize, has_equal_clocks: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let offset = |_| if has_equal_clocks { 0 } else { rng.random_range(0..10_000_000) };
        Self {
            names: (0..count).map(|number| Name::from(format!("10.0.0.{number}:1"))).collect(),
            clock_offsets_ms: (0..count).map(offset).collect(),
            shares: vec![LimitShare::default(); count],
            known: vec![count; count],
        }
    }

    /// Sends a request through a host if it has a turn.
    fn send(&mut self, host: usize, now_ms: u64, limit: &SharedLimit) -> bool {
        let now_ms = now_ms + self.clock_offsets_ms[host];
        let limit = SharedLimit {
            ended_ms: limit.ended_ms.map(|ms| ms + self.clock_offsets_ms[host]),
            ..*limit
        };
        let sharers = LimitSharers {
            own_name: &self.names[host],
            hosts: &self.names[..self.known[host]],
            has_discovered_all_hosts: true,
        };
        let may_send = self.shares[host].wait_ms(now_ms, &worker(), &limit, &sharers) == 0;
        if may_send {
            self.shares[host].record_sent(now_ms, &worker());
        }
        may_send
    }
}

fn holding(rate_per_s: f64) -> SharedLimit {
    SharedLimit { rate_per_s, ended_ms: None }
}

/// Most requests in any span of [`BOUND_WINDOW_MS`].
fn most_in_window(times_ms: &[u64]) -> usize {
    let count = |from: &u64| {
        times_ms.iter().filter(|ms| **ms >= *from && **ms < from + BOUND_WINDOW_MS).count()
    };
    times_ms.iter().map(count).max().unwrap_or(0)
}

fn assert_bound(times_ms: &[u64], rate_per_s: f64, what: &str) {
    let allowed = BOUND_FACTOR * BOUND_WINDOW_MS as f64 / 1_000.0 * rate_per_s + BOUND_SLACK;
    let most = most_in_window(times_ms);
    assert!(most as f64 <= allowed, "{what}: {most} requests in 4 s, allowed {allowed}");
}

/// Every host has requests all the time. Together they must keep to the limit and use most
/// of it, however many they are and whatever their clocks show.
#[rstest]
fn hosts_keep_to_a_limit_and_use_it(
    #[values(1, 3, 24)] count: usize,
    #[values(0.3, 1.8, 2.2, 10.0, 60.0)] rate_per_s: f64,
    #[values(true, false)] has_equal_clocks: bool,
) {
    check_bound_and_use(count, rate_per_s, has_equal_clocks, STEP_MS);
}

/// As above, in a large region.
#[rstest]
fn many_hosts_keep_to_a_limit_and_use_it(#[values(true, false)] has_equal_clocks: bool) {
    check_bound_and_use(126, 2.2, has_equal_clocks, 5 * STEP_MS);
}

fn check_bound_and_use(count: usize, rate_per_s: f64, has_equal_clocks: bool, step_ms: u64) {
    const DURATION_MS: u64 = 60_000;
    for seed in 0..2 {
        let mut hosts = Hosts::new(count, has_equal_clocks, seed);
        let mut times_ms = Vec::new();
        for now_ms in (0..DURATION_MS).step_by(step_ms as usize) {
            for host in 0..count {
                times_ms.extend(hosts.send(host, now_ms, &holding(rate_per_s)).then_some(now_ms));
            }
        }
        assert_bound(&times_ms, rate_per_s, &format!("{count} hosts, seed {seed}"));
        let planned = rate_per_s * DURATION_MS as f64 / 1_000.0;
        let used = times_ms.len() as f64 / planned;
        assert!(used >= 0.5, "{count} hosts at {rate_per_s} a second used {used} of the limit");
    }
}

/// Hosts that had no requests for a minute get some at the same moment.
#[rstest]
fn idle_hosts_do_not_send_all_at_once(#[values(3, 24, 126)] count: usize) {
    for seed in 0..20 {
        let mut hosts = Hosts::new(count, false, seed);
        let burst_ms = 60_000;
        let sends = |hosts: &mut Hosts| {
            (0..count).filter(|host| hosts.send(*host, burst_ms, &holding(2.0))).count()
        };
        let times_ms = vec![burst_ms; sends(&mut hosts)];
        assert_bound(&times_ms, 2.0, &format!("{count} hosts, seed {seed}"));
    }
}

/// Hosts join, so that for a time some know fewer hosts than others do; and the worker
/// changes its limit again and again.
#[rstest]
#[case::some_know_half(2)]
#[case::limit_changes(1)]
fn changes_do_not_add_turns(#[case] divisor: usize) {
    const COUNT: usize = 8;
    for seed in 0..10 {
        let mut hosts = Hosts::new(COUNT, false, seed);
        for host in 0..COUNT / 4 {
            hosts.known[host] = COUNT / divisor;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut rate_per_s, mut times_ms) = (2.0, Vec::new());
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            if divisor == 1 && now_ms % 500 == 0 {
                rate_per_s = rng.random_range(1.5..2.0);
            }
            for host in 0..COUNT {
                times_ms.extend(hosts.send(host, now_ms, &holding(rate_per_s)).then_some(now_ms));
            }
        }
        assert_bound(&times_ms, 2.0, &format!("seed {seed}"));
    }
}

/// A limit ends, and every host sends the worker all it has at once.
#[test]
fn requests_grow_step_by_step_after_a_limit_has_ended() {
    const COUNT: usize = 24;
    let mut hosts = Hosts::new(COUNT, false, 1);
    let limit = SharedLimit { rate_per_s: 2.0, ended_ms: Some(0) };
    let mut times_ms = Vec::new();
    for now_ms in (0..2_000).step_by(STEP_MS as usize) {
        for host in 0..COUNT {
            times_ms.extend(hosts.send(host, now_ms, &limit).then_some(now_ms));
        }
    }
    let in_first = times_ms.iter().filter(|ms| **ms < 500).count();
    assert!(in_first <= 6, "{in_first} requests in the first half second");
    assert!(!limit.is_over(1_000));
    assert!(limit.is_over(4_000));
}

/// A limit is lost because an older answer without it arrives later, or never ends.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_request() {
    let mut notices = WorkerNotices::default();
    assert!(!notices.record_no_limit(1, &worker(), 0), "without a limit");
    assert!(notices.record_limit(100, &worker(), 2.0));
    assert!(!notices.record_limit(150, &worker(), 2.0), "the same limit");
    assert!(!notices.record_no_limit(200, &worker(), 150), "a request sent before");
    assert_eq!(notices.get(&worker()).limit, Some(holding(2.0)));
    assert!(notices.record_no_limit(300, &worker(), 200));
    let ended = SharedLimit { rate_per_s: 2.0, ended_ms: Some(300) };
    assert_eq!(notices.get(&worker()).limit, Some(ended));
    assert!(notices.record_limit(400, &worker(), 2.0), "named again");
}

/// A value that isn't a decimal number is taken for a limit, or the wrong one of several.
#[rstest]
#[case(&["2"], Some(2.0))]
#[case(&["2.2"], Some(2.2))]
#[case(&[" 0.5 "], Some(0.5))]
#[case(&["0"], Some(0.0))]
#[case(&["3", "1.5"], Some(1.5))]
#[case(&["x", "1.5"], Some(1.5))]
#[case(&["-1"], None)]
#[case(&["1e3"], None)]
#[case(&["2,3"], None)]
#[case(&["."], None)]
#[case(&[""], None)]
#[case(&["inf"], None)]
#[case(&[], None)]
fn limits_are_read(#[case] values: &[&str], #[case] rate_per_s: Option<f64>) {
    assert_eq!(rate_limit::per_s(values.iter().map(|value| value.as_bytes())), rate_per_s);
}
