//! Finds the route of a request and the workspace of its key.

use std::{collections::HashMap, sync::Arc};

use crate::{Route, SiteConfig};

/// The result of a route lookup.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key and the request has no valid one.
    InvalidKey,
    /// The request matches a route and has a valid key, where one is required.
    Found {
        /// The route.
        route: Arc<Route>,
        /// The workspace of its key and that workspace's priority, if the key is valid.
        workspace: Option<(Arc<str>, u32)>,
    },
}

/// The routes and keys of a configuration, indexed.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, (Arc<str>, u32)>,
    requires_keys: bool,
}

impl RouteTable {
    /// Builds the index of a configuration.
    pub fn new(site: &SiteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &site.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::new();
        for workspace in site.workspaces.iter().flatten() {
            let name: Arc<str> = workspace.name.as_str().into();
            for key in &workspace.keys {
                by_key.insert(key.clone(), (name.clone(), workspace.priority));
            }
        }
        Self {
            by_host,
            by_key,
            requires_keys: site.workspaces.is_some(),
        }
    }

    /// Looks up the route with the longest matching path prefix, then the key.
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> RouteLookup {
        let routes = self.by_host.get(&host_name(host));
        let mut routes = routes.into_iter().flatten();
        let Some(route) = routes.find(|route| path.starts_with(&route.prefix)) else {
            return RouteLookup::NoRoute;
        };
        let workspace = key.and_then(|key| self.by_key.get(key)).cloned();
        if workspace.is_none() && self.requires_keys && !route.is_public {
            return RouteLookup::InvalidKey;
        }
        RouteLookup::Found {
            route: route.clone(),
            workspace,
        }
    }
}

/// Returns the host name of a request in lower case, without the port.
pub fn host_name(host: &str) -> String {
    let name = host.split_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}
