//! Selection of the sources from which daemons learn of changes in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;
use fleet::source::{Backoff, MAX_STALENESS, RELAYED_STALE_AFTER, STALE_AFTER, Source, choose};

/// Returns `each` daemons in each of `domains` failure domains of one region, by name with their failure domains.
fn region(domains: usize, each: usize) -> BTreeMap<String, String> {
    (0..domains * each).map(|number| (format!("e-{number}"), format!("d-{}", number % domains))).collect()
}

fn view(region: &BTreeMap<String, String>) -> BTreeMap<&str, &str> {
    region.iter().map(|(name, domain)| (name.as_str(), domain.as_str())).collect()
}

/// Load: hundreds of daemons need each change. One daemon of a region asks the store, and a change is sent once to each
/// other failure domain.
#[test]
fn calls_scale_with_regions_and_bytes_between_domains_with_domains() {
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
                Source::RegionLeader(leader) => {
                    assert_eq!(leader, &watching[0]);
                    if members[name] != members[leader] {
                        assert!(crossing.insert(members[name]), "one daemon of each other domain");
                    }
                }
                Source::DomainLeader(leader) => {
                    assert_eq!(members[leader], members[name]);
                    assert!(
                        matches!(sources[leader], Source::RegionLeader(_)),
                        "the source of a domain leader is the region leader"
                    );
                }
            }
        }
        assert_eq!(crossing.len(), domains - 1);
    }
}

#[test]
fn the_loss_of_a_daemon_changes_the_source_only_of_those_that_used_it() {
    let region = region(3, 13);
    let members = view(&region);
    for removed in members.keys() {
        let remaining: BTreeMap<&str, &str> =
            members.iter().filter(|(name, _)| name != &removed).map(|(name, domain)| (*name, *domain)).collect();
        for name in remaining.keys() {
            let (before, after) = (choose(name, &members), choose(name, &remaining));
            let used_it = matches!(before, Source::RegionLeader(from) | Source::DomainLeader(from) if from == *removed);
            let promoted = matches!(after, Source::RegionLeader(_)) && matches!(before, Source::DomainLeader(_));
            assert!(before == after || used_it || promoted, "{removed} removed: {name} {before:?} {after:?}");
        }
    }
}

#[test]
fn a_daemon_without_known_members_asks_the_store() {
    assert_eq!(choose("e-1", &BTreeMap::new()), Source::Store);
    assert_eq!(choose("e-1", &BTreeMap::from([("e-1", "d")])), Source::Store);
}

#[test]
fn a_source_that_stays_stale_is_asked_less_and_less_often() {
    let mut backoff = Backoff::new();
    let mut now = Time::from_millis(1_000);
    let mut asked = 0;
    let end = now + Duration::from_mins(3);
    while now < end {
        if !backoff.is_active("e-1", now) {
            asked += 1;
            backoff.record_failure("e-1", now);
        }
        now = now + Duration::from_millis(100);
    }
    assert!((4..=9).contains(&asked), "a stale source was asked {asked} times in three minutes");
    assert!(!backoff.is_active("e-2", now));
    let later = now + Duration::from_mins(2);
    backoff.record_failure("e-1", later);
    assert!(
        !backoff.is_active("e-1", later + Duration::from_secs(4)),
        "it did not fail for a long time, so its backoff starts from the initial one"
    );
}

/// A leaving backend server must get no request later than two seconds after the store has its change, so no daemon may
/// use older data.
#[test]
fn the_store_is_asked_before_the_data_is_too_old() {
    assert!(STALE_AFTER < RELAYED_STALE_AFTER && RELAYED_STALE_AFTER < MAX_STALENESS);
    assert!(MAX_STALENESS + Duration::from_millis(250) < Duration::from_secs(2));
}
