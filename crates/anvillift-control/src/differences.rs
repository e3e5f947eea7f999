//! Compares two configurations entry by entry and field by field.
//!
//! Key hashes are compared as a whole, but shown by their number and their first digits only.
//! Start at [`differences`].

use std::collections::{BTreeMap, BTreeSet};

use anvillift_schema::configuration::Configuration;
use anvillift_schema::name::Name;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::difference::{Difference, DifferenceKind};
use crate::field_difference::FieldDifference;

/// Number of digits of a key hash that are shown.
const SHOWN_HASH_DIGITS: usize = 8;
/// Field that holds the key hashes of a team.
const KEY_HASHES: &str = "key_hashes";

/// Profiles, services and teams that were added, removed or changed, in this order and by name.
pub fn differences(before: &Configuration, after: &Configuration) -> Vec<Difference> {
    let mut found = compare("profile", &before.profiles, &after.profiles);
    found.extend(compare("service", &before.services, &after.services));
    found.extend(compare("team", &before.teams, &after.teams));
    found
}

fn compare<T: Serialize + PartialEq>(
    entry: &'static str,
    before: &BTreeMap<Name, T>,
    after: &BTreeMap<Name, T>,
) -> Vec<Difference> {
    let names: BTreeSet<&Name> = before.keys().chain(after.keys()).collect();
    let difference = |name: &Name| {
        let (old, new) = (before.get(name), after.get(name));
        let kind = match (old, new) {
            (None, _) => DifferenceKind::Added,
            (_, None) => DifferenceKind::Removed,
            (Some(old), Some(new)) if old == new => return None,
            _ => DifferenceKind::Changed,
        };
        let fields = field_differences(&fields(old), &fields(new));
        Some(Difference { entry, name: name.clone(), kind, fields })
    };
    names.into_iter().filter_map(difference).collect()
}

/// Fields of an entry without its name; none if there is no entry.
fn fields<T: Serialize>(entry: Option<&T>) -> Map<String, Value> {
    let value = entry.map(|entry| serde_json::to_value(entry).unwrap_or_default());
    let mut fields = match value {
        Some(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    fields.retain(|field, value| field != "name" && !value.is_null());
    fields
}

fn field_differences(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<FieldDifference> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    changed
        .map(|name| FieldDifference {
            field: name.clone(),
            old: old.get(name).map(|value| shown(name, value)),
            new: new.get(name).map(|value| shown(name, value)),
        })
        .collect()
}

fn shown(field: &str, value: &Value) -> String {
    match value {
        Value::Array(hashes) if field == KEY_HASHES => shown_hashes(hashes),
        Value::Array(items) => items.iter().map(shown_scalar).collect::<Vec<_>>().join(", "),
        value => shown_scalar(value),
    }
}

fn shown_scalar(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// The number of hashes and the first digits of each, such as `2 keys: 16bc6e67, 5e6299b1`.
fn shown_hashes(hashes: &[Value]) -> String {
    let texts = hashes.iter().filter_map(Value::as_str);
    let shown: Vec<String> =
        texts.map(|hash| hash.chars().take(SHOWN_HASH_DIGITS).collect()).collect();
    match shown.len() {
        0 => "no keys".to_owned(),
        1 => format!("1 key: {}", shown[0]),
        count => format!("{count} keys: {}", shown.join(", ")),
    }
}
