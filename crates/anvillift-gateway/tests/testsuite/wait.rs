//! Waiting for a condition.

use std::time::Duration;

use tokio::time::{self, Instant};

const POLL: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
pub(crate) async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !holds().await {
        assert!(Instant::now() < limit, "timed out waiting until {what}");
        time::sleep(POLL).await;
    }
}
