//! The header fields of a message, in their order.

use bytes::Bytes;

/// Fields that concern one connection and are never forwarded.
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

/// Header fields; names are compared without regard to case.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers {
    fields: Vec<(Bytes, Bytes)>,
}

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.fields.push((name.into(), value.into()));
    }

    /// The first field of a name, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        let (_, value) = self.fields.iter().find(named)?;
        std::str::from_utf8(value).ok()
    }

    /// Every field of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> + 'a {
        let named = move |field: &&(Bytes, Bytes)| field.0.eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().filter(named).map(|(_, value)| value)
    }

    /// Whether a field of a name is there.
    pub fn contains(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// The fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = &(Bytes, Bytes)> {
        self.fields.iter()
    }

    /// Keeps the fields whose name passes.
    pub fn retain(&mut self, mut keep: impl FnMut(&[u8]) -> bool) {
        self.fields.retain(|(name, _)| keep(name));
    }

    /// Removes every field of a name.
    pub fn remove(&mut self, name: &str) {
        self.retain(|other| !other.eq_ignore_ascii_case(name.as_bytes()));
    }

    /// Whether a comma-separated field holds a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matches = |value: &Bytes| {
            let parts = value.split(|byte| *byte == b',');
            parts.into_iter().any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        self.all(name).any(matches)
    }

    /// Removes what concerns this connection only: the hop-by-hop fields and
    /// those that `Connection` names.
    pub fn remove_hop_by_hop(&mut self) {
        let named: Vec<Bytes> = self.all("connection").cloned().collect();
        let tokens: Vec<&[u8]> = named
            .iter()
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(<[u8]>::trim_ascii)
            .collect();
        self.fields.retain(|(name, _)| {
            let hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()));
            let listed = tokens.iter().any(|token| name.eq_ignore_ascii_case(token));
            !hop && !listed
        });
    }

    /// Writes the fields as they stand on the wire.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
