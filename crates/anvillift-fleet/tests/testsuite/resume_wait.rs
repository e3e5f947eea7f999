//! How long resumed streams wait while no entry host reaches the workers of their version.

use anvillift_fleet::resume_wait;
use anvillift_fleet::resume_wait::ResumeState;
use rstest::rstest;

const STATE: ResumeState = ResumeState { is_region_heard: true, remaining_ms: 30_000, waiting: 0 };

/// Guards against streams that are refused though the entry hosts of a region are back within a
/// second, and against streams that wait for a region that is cut off, or until their deadline.
#[rstest]
#[case::hosts_restart(STATE, 1_000)]
#[case::region_is_cut_off(ResumeState { is_region_heard: false, ..STATE }, 0)]
#[case::little_time_left(ResumeState { remaining_ms: 900, ..STATE }, 300)]
#[case::no_time_left(ResumeState { remaining_ms: 0, ..STATE }, 0)]
#[case::last_that_may_wait(ResumeState { waiting: 399, ..STATE }, 1_000)]
#[case::too_many_wait(ResumeState { waiting: 400, ..STATE }, 0)]
fn wait_is_short_and_only_for_regions_that_are_heard(
    #[case] state: ResumeState,
    #[case] expected_ms: u64,
) {
    assert_eq!(resume_wait::wait_ms(&state), expected_ms);
}
