//! Client accounts that compete for too little room.

mod common;

use std::time::Duration;

use base::time::Time;
use common::cluster::Cluster;
use common::cluster::demand::Demand;
use dispatch::fairness::{Arrival, Refused, Usage};
use rstest::rstest;

const NOW: Time = Time::from_millis(10_000);

/// Runs accounts with `demands` at 16 servers; returns the fraction of each account's requests that was answered in time.
fn good(demands: &[Demand], seed: u64) -> Vec<f64> {
    good_at(&[4, 6, 6], demands, 60, seed)
}

/// Does the same with the given number of servers in each region, and of objects of each region.
fn good_at(servers: &[u32], demands: &[Demand], objects: u64, seed: u64) -> Vec<f64> {
    let mut cluster = Cluster::new(servers, seed);
    cluster.run_accounts(Duration::from_secs(6), demands, objects);
    cluster.by_account.clear();
    cluster.run_accounts(Duration::from_secs(20), demands, objects);
    (1..=demands.len() as u64)
        .map(|account| cluster.by_account[&account])
        .map(|outcome| f64::from(outcome.good) / f64::from(outcome.asked.max(1)))
        .collect()
}

/// Eight accounts that send what the servers can do, the smallest of them last.
fn usual() -> Vec<Demand> {
    [60.0, 40.0, 30.0, 20.0, 10.0, 8.0, 4.0, 2.0].map(|per_second| Demand { per_second, repeats: 0 }).into()
}

/// Load: the largest account sends eight times its usual. The others must not lose with it.
#[rstest]
fn an_account_at_eight_times_its_usual_takes_little_from_the_smallest(#[values(1, 2, 3)] seed: u64) {
    let mut demands = usual();
    demands[0].per_second *= 8.0;
    let good = good(&demands, seed);
    let smallest = good[good.len() - 1];
    assert!(smallest >= 0.9, "{smallest} of the smallest account's requests answered in time: {good:?}");
    assert!(good[0] < smallest, "the account that asks most loses most: {good:?}");
}

/// Load: all accounts send three times their usual, and the larger three repeat refused requests at once.
#[rstest]
fn callers_that_repeat_at_once_gain_nothing_by_it(#[values(1, 2, 3)] seed: u64) {
    let mut demands = usual();
    demands.iter_mut().for_each(|demand| demand.per_second *= 3.0);
    demands.iter_mut().take(3).for_each(|demand| demand.repeats = 3);
    let good = good(&demands, seed);
    let smallest = good[good.len() - 1];
    assert!(smallest >= 0.9, "{smallest} of the smallest account's requests answered in time: {good:?}");
}

/// Guards against an order of arrival among accounts that had different amounts of work lately.
#[test]
fn accounts_with_less_work_go_first() {
    let mut usage = Usage::new();
    (0..100).for_each(|_| usage.record(1, Duration::from_millis(200), NOW));
    (0..10).for_each(|_| usage.record(2, Duration::from_millis(200), NOW));
    assert!(usage.place(3, NOW) < usage.place(2, NOW) && usage.place(2, NOW) < usage.place(1, NOW));
    assert!(usage.place(1, NOW + Duration::from_secs(12)) == usage.place(3, NOW), "old work is forgotten");
    usage.set_fleet_factor(2, 100.0);
    assert!(usage.place(2, NOW) > usage.place(1, NOW), "work at other daemons counts");
}

/// Guards against callers that lose twice although they came back as they were told, and against those that gain by not waiting.
#[test]
fn a_request_that_comes_back_as_told_is_known_once() {
    let mut refused = Refused::new();
    refused.record(1, 5, NOW + Duration::from_millis(300), NOW);
    let mut arrival = |account, ms| refused.arrival(account, 5, NOW + Duration::from_millis(ms));
    assert_eq!(arrival(1, 100), Arrival::Early);
    assert_eq!(arrival(2, 400), Arrival::New, "of another account");
    assert_eq!(arrival(1, 400), Arrival::AsTold);
    assert_eq!(arrival(1, 500), Arrival::New, "known once");
}

/// Load: all accounts send three times their usual at once, at usual servers or at a tenth of them. Each gets its part.
#[rstest]
#[case::burst(3.0, &[4, 6, 6], 60)]
#[case::few_servers(0.9, &[1, 1, 0], 10)]
fn the_smallest_account_is_served_while_all_ask_for_too_much(
    #[case] factor: f64,
    #[case] servers: &[u32],
    #[case] objects: u64,
) {
    let mut demands = usual();
    demands.iter_mut().for_each(|demand| demand.per_second *= factor);
    let good = good_at(servers, &demands, objects, 5);
    let smallest = good[good.len() - 1];
    assert!(smallest >= 0.5, "{smallest} of the smallest account's requests answered in time: {good:?}");
}
