//! Matches requests to routes by host name and path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config_document::RouteContract;

/// Routes of a configuration, indexed by host name.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes by lowercase host name, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteContract>>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration; host names are compared without regard to case.
    pub fn new(routes: &[Arc<RouteContract>]) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteContract>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Finds a route by its id in the configuration, as another host names it.
    pub fn get(&self, id: &str) -> Option<&Arc<RouteContract>> {
        self.hosts.values().flatten().find(|route| *route.id == *id)
    }

    /// Route of `host` with the longest prefix that matches `path`; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteContract>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
