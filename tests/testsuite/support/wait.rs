//! Polls conditions until they hold or a time limit is exceeded.

use std::time::Duration;

use tokio::time::{self, Instant};

/// Time limit for conditions whose duration the test does not check.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; fails the test after [`DEFAULT_TIMEOUT`].
pub(crate) async fn until(what: &str, condition: impl AsyncFnMut() -> bool) {
    within(DEFAULT_TIMEOUT, what, condition).await;
}

/// Waits until `condition` holds; fails the test after `limit`.
pub(crate) async fn within(limit: Duration, what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out after {limit:?}: {what}");
        time::sleep(POLL_INTERVAL).await;
    }
}
