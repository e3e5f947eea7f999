//! Ends the connection of a caller that doesn't read its answer.

use std::time::Duration;

use salvo::conn::ConnCtrl;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use crate::answer::{Answer, AnswerBody};

/// Time after the deadline in which a caller may read what is left of a streamed answer, with the
/// event that reports the deadline.
const LAST_READ_TIME: Duration = Duration::from_secs(1);

/// Aborts a task when the body that it belongs to has ended or is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Closes the connection if a streamed body has not ended soon after its deadline. The HTTP server
/// polls a body only while it can write, so the body doesn't end at its deadline while the caller
/// reads nothing.
pub(crate) fn close_after(answer: Answer, connection: ConnCtrl, deadline: Instant) -> Answer {
    if matches!(answer.body, AnswerBody::Complete(_)) {
        return answer;
    }
    let closing = tokio::spawn(async move {
        time::sleep_until(deadline + LAST_READ_TIME).await;
        log::debug!("closing the connection of a caller that does not read its answer");
        connection.abort();
    });
    answer.with_guard(AbortOnDrop(closing))
}
