//! Header fields of a message.

use bytes::Bytes;

/// Fields that apply to one connection only and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order received or added. Names are compared
/// case-insensitively, and a name may occur several times.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers {
    fields: Vec<(Bytes, Bytes)>,
}

impl Headers {
    /// Appends a field; existing fields of the same name are kept.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.fields.push((name.into(), value.into()));
    }

    /// The value of the first field with this name, or `None` if there is none or
    /// its value isn't UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        let (_, value) = self.fields.iter().find(named)?;
        std::str::from_utf8(value).ok()
    }

    /// The values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> + 'a {
        let named = move |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().filter(named).map(|(_, value)| value)
    }

    /// Number of fields.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Whether there is a field with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Names and values of all fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = &(Bytes, Bytes)> {
        self.fields.iter()
    }

    /// Removes the fields for whose name `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&[u8]) -> bool) {
        self.fields.retain(|(name, _)| keep(name));
    }

    /// Removes all fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.retain(|other| !other.eq_ignore_ascii_case(name.as_bytes()));
    }

    /// Whether a field with comma-separated values contains a token, compared
    /// case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matches = |value: &Bytes| {
            let parts = value.split(|byte| *byte == b',');
            parts.into_iter().any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.all(name).any(matches)
    }

    /// Removes the fields that apply to this connection only: the hop-by-hop
    /// fields and those that `Connection` lists.
    pub fn remove_hop_by_hop(&mut self) {
        let named: Vec<Bytes> = self.all("connection").cloned().collect();
        let tokens: Vec<&[u8]> = named
            .iter()
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(<[u8]>::trim_ascii)
            .collect();
        self.fields.retain(|(name, _)| {
            let is_hop_by_hop =
                HOP_BY_HOP.iter().any(|field| name.eq_ignore_ascii_case(field.as_bytes()));
            let is_listed = tokens.iter().any(|token| name.eq_ignore_ascii_case(token));
            !is_hop_by_hop && !is_listed
        });
    }

    /// Writes the fields in wire format, one per line.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
