//! Which hosts speak for a data centre.
//!
//! Each pair of data centres has two delegates a side. The hosts alive, in order
//! of name, take the pairs in turn, so that the work of all pairs is spread
//! evenly and the place of a silent delegate falls to another.

use anvillift_schema::name::Name;

/// Delegates of a data centre towards another.
pub const DELEGATES: usize = 2;

/// The delegates among `alive`, sorted by name, towards the data centre number `other`.
pub fn delegates<'a>(alive: &[&'a Name], other: usize) -> Vec<&'a Name> {
    let places = 0..DELEGATES.min(alive.len());
    places.map(|place| alive[(other * DELEGATES + place) % alive.len()]).collect()
}
