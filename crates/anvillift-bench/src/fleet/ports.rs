//! Free ports of loopback.

use std::net::{SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::error::{BenchError, ListenSnafu};

const ANY_PORT: &str = "127.0.0.1:0";

/// Addresses that were free a moment ago, all different.
pub(crate) fn free(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let context = ListenSnafu { address: ANY_PORT };
    // All are held until the last is drawn, so that none is drawn twice.
    let held: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind(ANY_PORT)).collect();
    let held = held.context(context)?;
    held.iter().map(TcpListener::local_addr).collect::<Result<_, _>>().context(context)
}
