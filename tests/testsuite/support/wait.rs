//! Waiting for conditions.

use std::time::Duration;

use tokio::time::{self, Instant};

/// Longest wait for a condition whose time is not the matter of the test.
pub(crate) const LONG: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; fails the test after [`LONG`].
pub(crate) async fn until(what: &str, condition: impl AsyncFnMut() -> bool) {
    within(LONG, what, condition).await;
}

/// Waits until `condition` holds; fails the test after `limit`.
pub(crate) async fn within(limit: Duration, what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition().await {
        assert!(Instant::now() < deadline, "{what}: not within {limit:?}");
        time::sleep(PAUSE).await;
    }
}
