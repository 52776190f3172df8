//! How the size and the checking time of a policy grow with regions, failure domains and drains.

use config::policy::{Class, Drain, Link, Policy, Region, Scope};
use fleet::Document;
use fleet::replica::{Origin, Replica};

use crate::probe::{line, nanos};

/// Returns a policy with `regions` regions, `domains` failure domains, a full mesh of links and `drains` drains.
pub fn policy(regions: usize, domains: usize, drains: usize) -> Policy {
    let mut policy = Policy::default();
    for region in 0..regions {
        let in_region = (0..domains).filter(|domain| domain % regions == region);
        let domains = in_region.map(|domain| format!("domain-{domain:02}")).collect();
        policy.regions.insert(format!("region-{region}"), Region { domains });
    }
    for first in 0..regions {
        for second in first + 1..regions {
            let between = [format!("region-{first}"), format!("region-{second}")];
            policy.links.push(Link { between, cap_mbit: 10_000.0 });
        }
    }
    for class in 0..8 {
        let value = Class {
            service: format!("service-{}", class % 3),
            paths: vec![format!("/class-{class}")],
            idempotent: class % 2 == 0,
            rank: class as u8,
            target_ms: 100,
            target_share: 0.999,
            deadline_ms: 1_000,
            ..Class::default()
        };
        policy.classes.insert(format!("class-{class}"), value);
    }
    policy.drains =
        (0..drains).map(|drain| Drain { scope: Scope::Instance, name: format!("entry-{drain:05}") }).collect();
    (0..config::policy::MAX_CHANGES).for_each(|change| policy.record_change(&format!("{change:016x}")));
    policy
}

/// Prints the measurements of the policy.
pub fn run() {
    for (regions, domains, drains) in [(3, 6, 0), (9, 24, 0), (9, 24, 50), (9, 24, 500)] {
        let text = policy(regions, domains, drains).to_text().unwrap_or_default();
        let size = format!("{regions}/{domains}/{drains}");
        line("policy, size", &size, text.len() as f64, "bytes");
        let apply = |call: u32| {
            let mut replica = Replica::new();
            replica.apply(Document::new(u64::from(call) + 1, text.clone()), Origin::Peer).is_ok()
        };
        line("policy, check and put into force", &size, nanos(50, apply) / 1e3, "us");
    }
}
