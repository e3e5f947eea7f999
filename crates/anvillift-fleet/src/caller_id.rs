//! Identity of a caller, as far as a request shows it.

use std::net::IpAddr;

use crate::fingerprint;

/// A hash of what identifies a caller: its credentials, or its address if it states none.
///
/// Hosts that forward a request pass the hash on, as the receiving host sees neither the
/// caller's connection nor, with some platforms, its credentials.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, derive_more::Display)]
#[display("{_0:016x}")]
pub struct CallerId(u64);

impl CallerId {
    /// The caller that states these credentials, or else has this address. All callers of
    /// which neither is known are the same.
    pub fn of(credentials: Option<&[u8]>, address: Option<IpAddr>) -> Self {
        match (credentials, address) {
            (Some(credentials), _) => Self(fingerprint::hash(&[b"credentials", credentials])),
            (None, Some(address)) => Self(fingerprint::hash(&[
                b"address",
                address.to_canonical().to_string().as_bytes(),
            ])),
            (None, None) => Self::default(),
        }
    }

    /// Reads the text that another host has written.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }
}
