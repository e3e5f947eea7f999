//! Waiting for a condition in a test.

use std::time::Duration;

use tokio::time::{self, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds; panics after 20 s.
pub(crate) async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let limit = Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < limit, "timed out waiting until {what}");
        time::sleep(POLL_INTERVAL).await;
    }
}
