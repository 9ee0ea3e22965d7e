//! Groups of nodes that use a subset of the servers.

use std::collections::BTreeMap;

use notchwalk_route::{node_order, AttemptEnd, Event, Group};

use crate::common::{count_by_server, TestRouter};

#[test]
fn few_nodes_form_one_group() {
    let servers: Vec<u32> = (0..60).collect();
    for nodes in 1..=64 {
        for position in 0..nodes {
            let group = Group::for_node(position, nodes, 60);
            assert_eq!((group.count(), group.subset(&servers).len()), (1, 60));
        }
    }
}

#[test]
fn many_nodes_divide_the_servers_evenly() {
    for (nodes, servers) in [(65, 200), (300, 3_000), (670, 5_500), (1_000, 10_000)] {
        let all: Vec<usize> = (0..servers).collect();
        let mut members: BTreeMap<usize, usize> = BTreeMap::new();
        let mut uses = vec![0; servers];
        for position in 0..nodes {
            let group = Group::for_node(position, nodes, servers);
            *members.entry(group.index()).or_default() += 1;
            for &server in group.subset(&all) {
                uses[server] += 1;
            }
        }
        let sizes: Vec<usize> = members.values().copied().collect();
        let (min, max) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        assert!(*min > 10 && *max <= 24, "{nodes}: {sizes:?}");
        let (min, max) = (uses.iter().min().unwrap(), uses.iter().max().unwrap());
        assert!(*min > 0 && max <= &(2 * min), "{nodes}: {min} to {max}");
    }
}

/// Guards against groups with too few engines, which serve fewer requests in total.
#[test]
fn few_servers_are_not_divided_among_many_nodes() {
    for position in 0..76 {
        assert_eq!(Group::for_node(position, 76, 60), Group::default());
    }
    assert!(Group::for_node(0, 76, 200).count() > 1);
}

/// A long prompt needs several servers.
#[test]
fn groups_share_the_servers_of_small_services() {
    let three = [1, 2, 3];
    let twenty: Vec<u32> = (0..20).collect();
    for position in 0..300 {
        let group = Group::for_node(position, 300, 3_000);
        assert_eq!(group.subset(&three), three);
        assert!(group.subset(&twenty).len() >= 8);
    }
}

#[test]
fn adding_a_server_moves_boundaries_by_at_most_one_position() {
    for servers in 200..230 {
        let (fewer, more): (Vec<usize>, Vec<usize>) =
            ((0..servers).collect(), (0..=servers).collect());
        for position in [0, 40, 150, 299] {
            let group = Group::for_node(position, 300, 3_000);
            let (before, after) = (group.subset(&fewer), group.subset(&more));
            assert!(before[0].abs_diff(after[0]) <= 1);
            assert!(before.len().abs_diff(after.len()) <= 1);
        }
    }
}

#[test]
fn similar_names_spread_over_all_groups() {
    let mut names: Vec<String> = (0..300).map(|n| format!("front-{}-{n}", n % 3)).collect();
    names.sort_by(|a, b| node_order(a).cmp(&node_order(b)));
    let domain_of = |name: &String| name.as_bytes()["front-".len()];
    for domain in [b'0', b'1', b'2'] {
        let mut by_group: BTreeMap<usize, usize> = BTreeMap::new();
        for (position, name) in names.iter().enumerate() {
            let counts = usize::from(domain_of(name) == domain);
            *by_group
                .entry(Group::for_node(position, 300, 3_000).index())
                .or_default() += counts;
        }
        assert!(by_group.values().all(|&count| count >= 1), "{by_group:?}");
    }
}

/// A node uses the engines of its group, or all engines while those are unreachable.
#[test]
fn unreachable_group_falls_back_to_all_servers() {
    let mut node = TestRouter::with_engines("entry-1", 32);
    node.step(Event::Group(Group::for_node(0, 200, 3_000)));
    for _ in 0..40 {
        node.arrive("/short/", 5_000);
    }
    let own = count_by_server(&node.take_sends());
    assert!(own.len() <= 8, "{own:?}");
    // From here on the engines of the group are unreachable.
    let mut used = own.len();
    for _ in 0..200 {
        let request = node.arrive("/short/", 5_000);
        for (_, to) in node.take_sends() {
            if !own.contains_key(&to.instance) {
                used += 1;
            }
        }
        node.end_attempt(request, AttemptEnd::NotConnected);
        node.take_sends();
        node.step(Event::Abandoned { request });
    }
    assert!(used > own.len(), "no other engine was used");
}
