//! Runs work that would block the thread that serves requests for too long.

use std::{io, thread};

use tokio::sync::oneshot;

/// Size of a document from which it is decoded on a thread of its own, in bytes. One of this
/// size takes less than a millisecond; a host with a tenth of a core needs ten times that.
pub(crate) const LARGE_BYTES: usize = 32 * 1024;

/// Runs a closure on a thread of its own and waits for its result. Fails if the thread can't be
/// started, or if the closure panics.
pub(crate) async fn result<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> io::Result<T> {
    let (done, result) = oneshot::channel();
    // The receiver is gone if its task has ended.
    spawn(name, move || drop(done.send(work())))?;
    result.await.map_err(|_| io::Error::other(format!("the thread {name} panicked")))
}

/// Starts a thread. The process doesn't wait for it when it exits.
pub(crate) fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(work).map(drop)
}
