//! Finds the team of an API key.

use crate::key_hash::KeyHash;
use crate::name::Name;

/// Names of teams, by the hashes of their keys, in one sorted table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TeamKeys {
    entries: Box<[(KeyHash, Name)]>,
}

impl TeamKeys {
    /// The team of a key, or `None` if the key is unknown. The hash that is found is compared
    /// in constant time.
    pub fn team(&self, presented: &KeyHash) -> Option<&Name> {
        let position = self.entries.binary_search_by(|(hash, _)| hash.cmp(presented)).ok()?;
        let (hash, team) = &self.entries[position];
        hash.matches(presented).then_some(team)
    }

    /// A key that two teams have, with both of them in the order of their names.
    pub fn shared_key(&self) -> Option<(&KeyHash, [&Name; 2])> {
        let mut pairs = self.entries.windows(2);
        pairs.find_map(|pair| {
            let [(first_hash, first), (second_hash, second)] = pair else { return None };
            (first_hash == second_hash).then_some((first_hash, [first, second]))
        })
    }
}

/// A key that is given twice for a team counts once.
impl FromIterator<(KeyHash, Name)> for TeamKeys {
    fn from_iter<I: IntoIterator<Item = (KeyHash, Name)>>(keys: I) -> Self {
        let mut entries: Vec<(KeyHash, Name)> = keys.into_iter().collect();
        entries.sort_unstable();
        entries.dedup();
        Self { entries: entries.into_boxed_slice() }
    }
}
