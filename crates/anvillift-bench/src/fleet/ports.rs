//! Random free ports on the loopback address.
//!
//! They lie below the range that the system assigns to outgoing connections, so no
//! such connection can take a port between its selection and the moment a host
//! listens on it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

use crate::error::{BenchError, TimeoutSnafu};

const PORT_RANGE: Range<u16> = 10_000..32_000;
const MAX_ATTEMPTS: u64 = 100_000;

/// Returns `count` different addresses that were free when they were checked.
///
/// Fails when too few are found within `MAX_ATTEMPTS`.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let mut selected = BTreeSet::new();
    for _ in 0..MAX_ATTEMPTS {
        if selected.len() == count {
            break;
        }
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORT_RANGE)));
        if !selected.contains(&addr) && TcpListener::bind(addr).is_ok() {
            selected.insert(addr);
        }
    }
    if selected.len() < count {
        return TimeoutSnafu {
            condition: format!("found fewer than {count} free ports in {MAX_ATTEMPTS} attempts"),
            limit_ms: 0u64,
        }
        .fail();
    }
    Ok(selected.into_iter().collect())
}
