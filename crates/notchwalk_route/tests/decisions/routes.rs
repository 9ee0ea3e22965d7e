//! Lookup of routes and keys.

use notchwalk_route::RouteLookup;

use crate::common::{site, TestRouter};

fn found(node: &TestRouter, host: &str, path: &str, key: Option<&str>) -> Option<String> {
    match node.router.routes().lookup(host, path, key) {
        RouteLookup::Found { route, .. } => Some(route.name.clone()),
        _ => None,
    }
}

#[test]
fn longest_matching_prefix_is_chosen() {
    let node = TestRouter::new();
    let found = |path| found(&node, "a.example", path, Some("key"));
    assert_eq!(found("/short/x").as_deref(), Some("short"));
    assert_eq!(found("/short/special/x").as_deref(), Some("short/special"));
    assert_eq!(found("/short"), None);
    assert_eq!(found("/other/"), None);
}

#[test]
fn hosts_match_without_port_and_case() {
    let node = TestRouter::new();
    assert!(found(&node, "A.Example:8080", "/short/", Some("key")).is_some());
    assert!(found(&node, "b.example", "/short/", Some("key")).is_none());
}

#[test]
fn key_is_required_unless_the_route_is_public() {
    let mut node = TestRouter::new();
    let lookup = |node: &TestRouter, key| node.router.routes().lookup("a.example", "/once/", key);
    assert!(matches!(lookup(&node, None), RouteLookup::InvalidKey));
    assert!(matches!(
        lookup(&node, Some("other")),
        RouteLookup::InvalidKey
    ));
    let mut site = site();
    site.version = 2;
    site.routes
        .iter_mut()
        .for_each(|route| route.is_public = true);
    node.step(notchwalk_route::Event::Configured(site));
    assert!(matches!(
        lookup(&node, None),
        RouteLookup::Found {
            workspace: None,
            ..
        }
    ));
}

#[test]
fn older_configuration_is_ignored() {
    let mut node = TestRouter::new();
    let mut newer = site();
    newer.version = 5;
    newer.routes.clear();
    node.step(notchwalk_route::Event::Configured(newer));
    node.step(notchwalk_route::Event::Configured(site()));
    assert_eq!(node.router.version(), 5);
    assert!(found(&node, "a.example", "/short/", Some("key")).is_none());
}
