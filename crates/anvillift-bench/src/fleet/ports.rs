//! Free ports of loopback.
//!
//! They lie below the ports that the system gives to outgoing connections, so
//! that none is taken by one between the drawing and the listening.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

use crate::error::{BenchError, LateSnafu};

const PORTS: Range<u16> = 10_000..32_000;
const TRIES: u64 = 100_000;

/// Addresses that were free a moment ago, all different.
pub(crate) fn free(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let mut drawn = BTreeSet::new();
    for _ in 0..TRIES {
        if drawn.len() == count {
            break;
        }
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORTS)));
        if !drawn.contains(&addr) && TcpListener::bind(addr).is_ok() {
            drawn.insert(addr);
        }
    }
    if drawn.len() < count {
        return LateSnafu { what: format!("no {count} free ports"), limit_ms: 0u64 }.fail();
    }
    Ok(drawn.into_iter().collect())
}
