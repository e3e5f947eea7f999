//! Suggests corrections for misspelt names.

/// Largest edit distance at which a name is suggested.
const MAX_EDITS: usize = 3;

/// Returns a text that suggests the nearest of `allowed`, or lists all if none is near.
pub(crate) fn hint(given: &str, allowed: &[&str]) -> String {
    let nearest = allowed.iter().min_by_key(|name| distance(given, name));
    match nearest {
        Some(name) if is_near(given, name) => format!("did you mean `{name}`?"),
        _ => format!("allowed: {}", allowed.join(", ")),
    }
}

/// Whether at most [`MAX_EDITS`] characters differ, and at most half of those given.
fn is_near(given: &str, name: &str) -> bool {
    let edits = distance(given, name);
    edits <= MAX_EDITS && 2 * edits <= given.chars().count()
}

/// Levenshtein distance of two names.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
