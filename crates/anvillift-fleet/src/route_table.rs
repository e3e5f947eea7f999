//! Matches requests to routes by host and path.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::configuration::FleetConfiguration;
use crate::route::Route;

/// Routes by lower-case host; those with longer path prefixes come first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &FleetConfiguration) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest matching prefix for a `Host` header, with or
    /// without a port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}
