//! Groups of entries that share a part of the servers.

use std::collections::BTreeMap;

use notchwalk_route::{entry_order, AttemptEnd, Event, Group};

use crate::common::{tally, Rig};

#[test]
fn few_entries_share_all_servers() {
    let servers: Vec<u32> = (0..60).collect();
    for entries in 1..=64 {
        for place in 0..entries {
            let group = Group::of_place(place, entries, 60);
            assert_eq!((group.count(), group.part(&servers).len()), (1, 60));
        }
    }
}

#[test]
fn many_entries_divide_the_servers_evenly_among_them() {
    for (entries, servers) in [(65, 200), (300, 3_000), (670, 5_500), (1_000, 10_000)] {
        let all: Vec<usize> = (0..servers).collect();
        let mut members: BTreeMap<usize, usize> = BTreeMap::new();
        let mut uses = vec![0; servers];
        for place in 0..entries {
            let group = Group::of_place(place, entries, servers);
            *members.entry(group.index()).or_default() += 1;
            for &server in group.part(&all) {
                uses[server] += 1;
            }
        }
        let sizes: Vec<usize> = members.values().copied().collect();
        let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        assert!(*least > 10 && *most <= 24, "{entries}: {sizes:?}");
        let (least, most) = (uses.iter().min().unwrap(), uses.iter().max().unwrap());
        assert!(
            *least > 0 && most <= &(2 * least),
            "{entries}: {least} to {most}"
        );
    }
}

/// 76 entries before 60 engines, in four groups, lost up to 0.09 of a day's worth.
#[test]
fn few_servers_are_not_divided_however_many_entries_there_are() {
    for place in 0..76 {
        assert_eq!(Group::of_place(place, 76, 60), Group::default());
    }
    assert!(Group::of_place(0, 76, 200).count() > 1);
}

/// With few servers, groups share: a long prompt needs several.
#[test]
fn groups_with_few_servers_share_them() {
    let three = [1, 2, 3];
    let twenty: Vec<u32> = (0..20).collect();
    for place in 0..300 {
        let group = Group::of_place(place, 300, 3_000);
        assert_eq!(group.part(&three), three);
        assert!(group.part(&twenty).len() >= 8);
    }
}

#[test]
fn one_server_or_entry_more_moves_borders_by_one_place() {
    for servers in 200..230 {
        let (fewer, more): (Vec<usize>, Vec<usize>) =
            ((0..servers).collect(), (0..=servers).collect());
        for place in [0, 40, 150, 299] {
            let group = Group::of_place(place, 300, 3_000);
            let (before, after) = (group.part(&fewer), group.part(&more));
            assert!(before[0].abs_diff(after[0]) <= 1);
            assert!(before.len().abs_diff(after.len()) <= 1);
        }
    }
}

#[test]
fn names_that_are_alike_spread_over_all_groups() {
    let mut names: Vec<String> = (0..300).map(|n| format!("front-{}-{n}", n % 3)).collect();
    names.sort_by(|a, b| entry_order(a).cmp(&entry_order(b)));
    let domain_of = |name: &String| name.as_bytes()["front-".len()];
    for domain in [b'0', b'1', b'2'] {
        let mut by_group: BTreeMap<usize, usize> = BTreeMap::new();
        for (place, name) in names.iter().enumerate() {
            let counts = usize::from(domain_of(name) == domain);
            *by_group
                .entry(Group::of_place(place, 300, 3_000).index())
                .or_default() += counts;
        }
        assert!(by_group.values().all(|&count| count >= 1), "{by_group:?}");
    }
}

/// An entry uses its group's engines, and all of them if its own are lost.
#[test]
fn a_group_whose_servers_are_lost_uses_the_others() {
    let mut rig = Rig::named("entry-1", 32);
    rig.step(Event::Group(Group::of_place(0, 200, 3_000)));
    for _ in 0..40 {
        rig.arrive("/short/", 5_000);
    }
    let own = tally(&rig.sends());
    assert!(own.len() <= 8, "{own:?}");
    // Nothing reaches them any more.
    let mut used = own.len();
    for _ in 0..200 {
        let request = rig.arrive("/short/", 5_000);
        for (_, to) in rig.sends() {
            if !own.contains_key(&to.instance) {
                used += 1;
            }
        }
        rig.end(request, AttemptEnd::NotConnected);
        rig.sends();
        rig.step(Event::Abandoned { request });
    }
    assert!(used > own.len(), "no other engine was used");
}
