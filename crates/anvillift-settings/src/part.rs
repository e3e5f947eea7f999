//! Parts of a settings file, which are parsed one after the other.
//!
//! Parsing takes several times the memory of the text. A file with 30,000 teams is therefore
//! parsed in parts of whole sections. Start at [`Part::split`].

/// Size from which a part ends at the next title of a section, in bytes. Files of the usual size
/// have one part.
const PART_BYTES: usize = 64 * 1024;

/// Consecutive sections of a text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Part<'a> {
    pub(crate) text: &'a str,
    /// Line of the text at which the part begins, counted from 1.
    pub(crate) first_line: usize,
}

impl<'a> Part<'a> {
    /// A whole text as one part.
    pub(crate) fn whole(text: &'a str) -> Self {
        Self { text, first_line: 1 }
    }

    /// Splits a text before titles of sections. A text with quoted values is not split, since a
    /// line in such a value may look like a title.
    pub(crate) fn split(text: &'a str) -> Vec<Self> {
        let mut parts = Vec::new();
        let (mut begin, mut position, mut first_line) = (0, 0, 1);
        for (index, line) in text.split_inclusive('\n').enumerate() {
            let trimmed = line.trim_start();
            if !trimmed.starts_with([';', '#']) && trimmed.contains(['"', '\'']) {
                return vec![Self::whole(text)];
            }
            if trimmed.starts_with('[') && position - begin >= PART_BYTES {
                parts.push(Self { text: &text[begin..position], first_line });
                (begin, first_line) = (position, index + 1);
            }
            position += line.len();
        }
        parts.push(Self { text: &text[begin..], first_line });
        parts
    }
}
