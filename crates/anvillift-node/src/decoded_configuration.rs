//! A configuration with the tables that a host looks up in it.

use std::io::Read;
use std::sync::Arc;

use anvillift_fleet::{ConfigurationError, FleetConfiguration, RouteTable, TeamTable};

use crate::dialect::DecodeConfiguration;

/// A decoded configuration, ready to be put in force.
pub(crate) struct DecodedConfiguration {
    pub(crate) configuration: Arc<FleetConfiguration>,
    pub(crate) routes: RouteTable,
    pub(crate) teams: TeamTable,
    /// Hash of the packed document; `None` for a small one, which is decoded again at once.
    pub(crate) document_hash: Option<u64>,
}

impl DecodedConfiguration {
    /// Decodes a document and builds its tables.
    pub(crate) fn decode(
        decode: DecodeConfiguration,
        document: &mut dyn Read,
    ) -> Result<Self, ConfigurationError> {
        let configuration = decode(document)?;
        Ok(Self {
            routes: RouteTable::new(&configuration),
            teams: TeamTable::new(&configuration),
            configuration: Arc::new(configuration),
            document_hash: None,
        })
    }
}
