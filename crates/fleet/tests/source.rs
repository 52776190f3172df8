//! From whom daemons learn of changes in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use fleet::source::{Backoff, MAX_STALENESS, RELAYED_STALE_AFTER, STALE_AFTER, Source, choose};

/// `each` daemons in each of `domains` failure domains of one region.
fn region(domains: usize, each: usize) -> BTreeMap<String, String> {
    (0..domains * each).map(|number| (format!("e-{number}"), format!("d-{}", number % domains))).collect()
}

fn view(region: &BTreeMap<String, String>) -> BTreeMap<&str, &str> {
    region.iter().map(|(name, domain)| (name.as_str(), domain.as_str())).collect()
}

/// Load: hundreds of daemons want to know of each change; the store is asked by one of a region, and changes cross
/// failure domains once each.
#[test]
fn calls_grow_with_regions_and_bytes_between_domains_with_domains() {
    for (domains, each) in [(1, 1), (2, 1), (2, 5), (3, 13), (5, 60)] {
        let region = region(domains, each);
        let members = view(&region);
        let sources: BTreeMap<&str, Source<'_>> = members.keys().map(|name| (*name, choose(name, &members))).collect();
        let watching: Vec<&str> =
            sources.iter().filter(|(_, source)| **source == Source::Store).map(|(name, _)| *name).collect();
        assert_eq!(watching.len(), 1, "{domains} x {each}");
        let mut crossing = BTreeSet::new();
        for (name, source) in &sources {
            match source {
                Source::Store => {}
                Source::RegionLeader(first) => {
                    assert_eq!(first, &watching[0]);
                    if members[name] != members[first] {
                        assert!(crossing.insert(members[name]), "one daemon of each other domain");
                    }
                }
                Source::DomainLeader(near) => {
                    assert_eq!(members[near], members[name]);
                    assert!(matches!(sources[near], Source::RegionLeader(_)), "it learns from the first of the region");
                }
            }
        }
        assert_eq!(crossing.len(), domains - 1);
    }
}

#[test]
fn when_one_goes_only_those_that_learnt_from_it_learn_elsewhere() {
    let region = region(3, 13);
    let members = view(&region);
    for gone in members.keys() {
        let left: BTreeMap<&str, &str> =
            members.iter().filter(|(name, _)| name != &gone).map(|(name, domain)| (*name, *domain)).collect();
        for name in left.keys() {
            let (before, after) = (choose(name, &members), choose(name, &left));
            let learnt_from_it =
                matches!(before, Source::RegionLeader(from) | Source::DomainLeader(from) if from == *gone);
            let promoted = matches!(after, Source::RegionLeader(_)) && matches!(before, Source::DomainLeader(_));
            assert!(before == after || learnt_from_it || promoted, "{gone} gone: {name} {before:?} {after:?}");
        }
    }
}

#[test]
fn a_daemon_that_knows_nobody_asks_the_store() {
    assert_eq!(choose("e-1", &BTreeMap::new()), Source::Store);
    assert_eq!(choose("e-1", &BTreeMap::from([("e-1", "d")])), Source::Store);
}

#[test]
fn a_source_that_is_found_stale_again_and_again_is_left_alone_for_longer() {
    let mut avoided = Backoff::new();
    let mut now = Time::from_millis(1_000);
    let mut asked = 0;
    let end = now + Duration::from_mins(3);
    while now < end {
        if !avoided.is_active("e-1", now) {
            asked += 1;
            avoided.record_failure("e-1", now);
        }
        now = now + Duration::from_millis(100);
    }
    assert!((4..=9).contains(&asked), "{asked} questions to a stale source in three minutes");
    assert!(!avoided.is_active("e-2", now));
    let later = now + Duration::from_mins(2);
    avoided.record_failure("e-1", later);
    assert!(!avoided.is_active("e-1", later + Duration::from_secs(4)), "it was sound for a long time");
}

/// A server that leaves gets nothing more two seconds after the store knows: no daemon may be unaware for longer.
#[test]
fn the_store_is_asked_before_knowledge_is_too_old() {
    assert!(STALE_AFTER < RELAYED_STALE_AFTER && RELAYED_STALE_AFTER < MAX_STALENESS);
    assert!(MAX_STALENESS + Duration::from_millis(250) < Duration::from_secs(2));
}
