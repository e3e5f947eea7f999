//! The number of hosts among which the quotas are divided.

/// Number of entry hosts of all regions.
///
/// Hosts that are cut off for long leave the table of hosts, but go on to spend their shares.
/// The number therefore only grows while a region is out of reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownHosts {
    count: u64,
}

impl KnownHosts {
    /// Takes over the number of hosts in the table. `is_complete` is whether every region is
    /// in reach.
    pub fn update(&mut self, count: usize, is_complete: bool) {
        let count = count as u64;
        self.count = if is_complete { count } else { self.count.max(count) };
    }

    /// The number, at least 1.
    pub fn count(&self) -> u64 {
        self.count.max(1)
    }
}
