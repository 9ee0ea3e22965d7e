//! Finds the route of a request and the workspace of its key.

use std::{collections::HashMap, sync::Arc};

use crate::{Route, SiteConfig};

/// What a lookup found.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// No route begins the path.
    NoRoute,
    /// The route needs a key and the request has none that is known.
    NoKey,
    /// The request may go on.
    Found {
        /// Its route.
        route: Arc<Route>,
        /// The workspace of its key and that workspace's rank, if it has a key
        /// that is known.
        workspace: Option<(Arc<str>, u8)>,
    },
}

/// The routes and keys of one configuration, indexed.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, (Arc<str>, u8)>,
    needs_keys: bool,
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
            needs_keys: site.workspaces.is_some(),
        }
    }

    /// Looks up a request: the route with the longest prefix of its path, then
    /// its key.
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> RouteLookup {
        let routes = self.by_host.get(&host_name(host));
        let mut routes = routes.into_iter().flatten();
        let Some(route) = routes.find(|route| path.starts_with(&route.prefix)) else {
            return RouteLookup::NoRoute;
        };
        let workspace = key.and_then(|key| self.by_key.get(key)).cloned();
        if workspace.is_none() && self.needs_keys && !route.open {
            return RouteLookup::NoKey;
        }
        RouteLookup::Found {
            route: route.clone(),
            workspace,
        }
    }
}

/// Returns the name in a request's host: without its port, in lower case.
pub fn host_name(host: &str) -> String {
    let name = host.split_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}
