//! Requests that go to another region although the own one could take them.

use anvillift_fleet::spill::{Pays, Region};
use anvillift_fleet::{RegionLoads, spill};
use anvillift_schema::fleet::{FleetLoad, FleetServiceLoad};
use anvillift_schema::name::Name;

fn regions(loads: &[(&str, f64)]) -> Vec<Region> {
    loads.iter().map(|(name, load)| Region { name: Name::from(*name), load: *load }).collect()
}

fn part_elsewhere(own_load: f64, others: &[Region]) -> f64 {
    part_elsewhere_if(&spill::PROMPTS, own_load, others)
}

fn part_elsewhere_if(pays: &Pays, own_load: f64, others: &[Region]) -> f64 {
    let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
    let goes = |draw: &f64| spill::elsewhere(pays, own_load, others, *draw).is_some();
    draws.filter(goes).count() as f64 / 100.0
}

/// The pattern: one region at its peak, the others in their night.
#[test]
fn a_region_at_its_peak_sends_a_part_elsewhere() {
    let others = regions(&[("night", 0.1), ("evening", 0.5)]);
    let part = part_elsewhere(1.2, &others);
    assert!((0.5..=0.75).contains(&part), "{part}");
    assert_eq!(
        spill::elsewhere(&spill::PROMPTS, 1.2, &others, 0.0).map(Name::as_str),
        Some("night")
    );
}

#[test]
fn a_region_that_is_not_busy_keeps_its_requests() {
    assert_eq!(part_elsewhere(0.4, &regions(&[("night", 0.0)])), 0.0);
}

/// The pattern: two workers with six places each serve a region's commands, which
/// take tens of milliseconds; at four fifths they queue and reject, while other
/// regions have places free.
#[test]
fn calls_go_elsewhere_before_the_places_are_full() {
    let others = regions(&[("less", 0.5)]);
    let part = part_elsewhere_if(&spill::CALLS, 0.75, &others);
    assert!((0.1..=0.3).contains(&part), "{part}");
    assert_eq!(part_elsewhere(0.75, &others), 0.0, "prompts stay");
    assert_eq!(part_elsewhere_if(&spill::CALLS, 0.75, &regions(&[("alike", 0.65)])), 0.0);
}

/// The pattern: every region is at its peak; sending work round helps nobody.
#[test]
fn regions_that_are_alike_keep_their_requests() {
    assert_eq!(part_elsewhere(1.2, &regions(&[("peak", 1.1), ("other", 1.3)])), 0.0);
}

#[test]
fn a_busy_region_is_not_sent_work_that_only_saves_reading() {
    assert!(spill::is_too_busy(0.3, 1.0));
    assert!(!spill::is_too_busy(0.9, 1.0));
    assert!(!spill::is_too_busy(0.0, 0.4));
}

#[test]
fn loads_add_up_by_region_and_grow_old() {
    let load = |region: &str, requests| FleetLoad {
        region: Name::from(region),
        services: vec![FleetServiceLoad {
            service: Name::from("plans"),
            requests,
            unread_tokens: 0,
        }],
    };
    let mut at_core = RegionLoads::default();
    at_core.tell_host(1_000, &Name::from("n1"), load("north", 6));
    at_core.tell_host(1_000, &Name::from("n2"), load("north", 10));
    at_core.tell_host(1_000, &Name::from("s1"), load("south", 1));
    let mut at_entry = RegionLoads::default();
    at_entry.tell_regions(1_100, at_core.by_region(1_050));
    assert_eq!(at_entry.load(1_200, "north", "plans", 2, 8), Some(1.0));
    assert_eq!(at_entry.load(1_200, "west", "plans", 2, 8), None);
    assert_eq!(at_entry.load(9_000, "north", "plans", 2, 8), None);
}
