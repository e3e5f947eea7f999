//! Counts the calls that are being answered, for which a planned stop waits.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

/// Interval at which a planned stop checks whether all calls are answered.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of calls that are being answered; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallCount {
    count: Rc<Cell<u32>>,
}

/// A call that is being answered until it is dropped.
pub(crate) struct CountedCall {
    count: Rc<Cell<u32>>,
}

impl CallCount {
    pub(crate) fn begin(&self) -> CountedCall {
        self.count.update(|count| count + 1);
        CountedCall { count: Rc::clone(&self.count) }
    }

    /// Waits until all calls are answered, at most for `timeout`.
    pub(crate) async fn wait_until_answered(&self, timeout: Duration) {
        let until = time::Instant::now() + timeout;
        while self.count.get() > 0 && time::Instant::now() < until {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        self.count.update(|count| count - 1);
    }
}
