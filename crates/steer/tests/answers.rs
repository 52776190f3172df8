//! Look-ups: home regions, drains, wrong lists of instances, and callers moved between regions.

use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::time::Time;
use proptest::prelude::*;
use rstest::rstest;
use steer::answer::look_up;
use steer::by_region::{self, Leaving};
use steer::shift::{Controller, HIGH_WATER, Load, RAMP_TIME, Shares};
use steer::table::{Block, Table};
use steer::view::{Entry, Standing, View};

const ANSWER_TTL: Duration = Duration::from_secs(10);
const START: Time = Time::from_millis(1_000_000);

fn entry(region: u16, domain: u16, number: usize, standing: Standing) -> Entry {
    let name = format!("r{region}d{domain}e{number}");
    Entry {
        address: format!("127.0.0.{number}:7000"),
        name,
        region,
        domain: region * 2 + domain,
        standing,
        capacity: 1,
    }
}

/// Three regions with two failure domains each and two entry instances in each of these.
fn view(standing: impl Fn(u16, u16) -> Standing) -> View {
    let all =
        (0..3).flat_map(|region| (0..2).flat_map(move |domain| (0..2).map(move |number| (region, domain, number))));
    let entries = all.map(|(region, domain, number)| entry(region, domain, number, standing(region, domain)));
    View::new(entries.collect(), 3)
}

fn table() -> Table {
    let block = |second: u32, region| Block { first: (10 << 24) | (second << 16), length: 16, region };
    Table::new(vec![block(1, 0), block(2, 1), block(3, 2)])
}

fn address(second: u32, host: u32) -> u32 {
    (10 << 24) | (second << 16) | host
}

fn first_region(view: &View, shares: &Shares, address: u32) -> u16 {
    let answer = look_up(&table(), view, shares, address, 3);
    view.entry(answer.positions()[0]).expect("the answer names entries").region
}

#[test]
fn callers_get_two_domains_of_their_home_region_and_another_region() {
    let view = view(|_, _| Standing::Good);
    for host in (0..65_536).step_by(97) {
        let answer = look_up(&table(), &view, &Shares::home(3), address(2, host), 3);
        let named: Vec<&Entry> = answer.positions().iter().filter_map(|position| view.entry(*position)).collect();
        assert_eq!(named.len(), 3);
        assert_eq!((named[0].region, named[1].region), (1, 1));
        assert_ne!(named[0].domain, named[1].domain);
        assert_ne!(named[2].region, 1);
    }
}

#[test]
fn callers_are_spread_over_the_entries_of_their_home_region() {
    let view = view(|_, _| Standing::Good);
    let mut counts = [0_u32; 12];
    for host in 0..65_536 {
        let answer = look_up(&table(), &view, &Shares::home(3), address(1, host), 3);
        counts[usize::from(answer.positions()[0])] += 1;
    }
    let used: Vec<u32> = counts.into_iter().filter(|count| *count > 0).collect();
    assert_eq!(used.len(), 4);
    assert!(used.iter().all(|count| *count > 65_536 / 8), "{used:?}");
}

#[rstest]
#[case::a_domain_is_out(|_, domain| if domain == 0 { Standing::Out } else { Standing::Good }, 0)]
#[case::a_region_is_out(|region, _| if region == 0 { Standing::Out } else { Standing::Good }, 1)]
#[case::a_whole_region_is_doubtful(|region, _| if region == 0 { Standing::Doubtful } else { Standing::Good }, 0)]
#[case::everything_is_doubtful(|_, _| Standing::Doubtful, 0)]
fn an_entry_that_is_out_is_not_named(#[case] standing: fn(u16, u16) -> Standing, #[case] lowest: u16) {
    let view = view(standing);
    for host in (0..65_536).step_by(97) {
        let answer = look_up(&table(), &view, &Shares::home(3), address(1, host), 3);
        assert!(!answer.positions().is_empty());
        for position in answer.positions() {
            let named = view.entry(*position).expect("positions are valid");
            assert_ne!(named.standing, Standing::Out);
        }
        let first = view.entry(answer.positions()[0]).expect("positions are valid");
        assert!(first.region >= lowest);
    }
}

#[test]
fn a_block_keeps_its_entry_when_another_entry_is_removed() {
    let before = view(|_, _| Standing::Good);
    let after = view(|region, domain| if (region, domain) == (0, 1) { Standing::Out } else { Standing::Good });
    let mut unchanged = 0;
    let mut moved = 0;
    for host in (0..65_536).step_by(256) {
        let first = |view: &View| {
            let answer = look_up(&table(), view, &Shares::home(3), address(1, host), 3);
            view.entry(answer.positions()[0]).map(|entry| entry.name.clone())
        };
        let (old, new) = (first(&before), first(&after));
        if old.as_ref().is_some_and(|name| name.contains("d0")) {
            if old == new { unchanged += 1 } else { moved += 1 }
        }
    }
    assert_eq!(moved, 0, "{unchanged} blocks kept their entry");
}

fn load(busy: f64, drained: bool, now: Time) -> Load {
    Load { busy, slots: 100.0, at: now, drained, down: false }
}

/// Updates a controller with `loads` once a second for `seconds`.
fn run(controller: &mut Controller, from: u64, seconds: u64, loads: impl Fn(Time) -> Vec<Load>) {
    for second in from..from + seconds {
        let now = START + Duration::from_secs(second);
        controller.update(&loads(now), now);
    }
}

#[test]
fn a_drained_region_loses_its_callers_step_by_step() {
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    let mut last = 1.0;
    for second in 0..=RAMP_TIME.as_secs() {
        let now = START + Duration::from_secs(second);
        controller.update(&[load(10.0, true, now), load(10.0, false, now), load(10.0, false, now)], now);
        let home = controller.shares().share(0, 0);
        assert!(last - home <= 0.06, "at most a twentieth of the callers moves in a second");
        last = home;
    }
    assert!(last.abs() < 1e-9, "{last} of the callers remain");
    let view = view(|_, _| Standing::Good);
    assert!((0..256).all(|host| first_region(&view, controller.shares(), address(1, host << 8)) != 0));
}

#[test]
fn a_shift_fits_into_the_spare_capacity_of_the_others() {
    // All regions take steps on the same reports, which never show the effect of these steps.
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    run(&mut controller, 0, 600, |now| vec![load(95.0, false, now), load(95.0, false, now), load(70.0, false, now)]);
    let shares = controller.shares();
    let arrived = 95.0 * shares.share(0, 2) + 95.0 * shares.share(1, 2);
    assert!(arrived <= 100.0 - 70.0, "work for {arrived} slots was sent to 30 free ones");
    assert!(arrived > 1.0, "some of the excess moves");
}

#[rstest]
#[case::steady(50.0)]
#[case::between_the_marks(75.0)]
fn a_region_below_the_high_water_mark_keeps_its_callers(#[case] busy: f64) {
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    run(&mut controller, 0, 300, |now| vec![load(busy, false, now); 3]);
    assert_eq!(controller.shares(), &Shares::home(3));
}

#[test]
fn stale_reports_move_no_callers() {
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    run(&mut controller, 100, 300, |_| {
        vec![load(95.0, false, START), load(10.0, false, START), load(10.0, false, START)]
    });
    assert!((controller.shares().share(0, 0) - 1.0).abs() < 1e-9);
}

#[test]
fn callers_return_slowly() {
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    let hot = |now| vec![load(95.0, false, now), load(10.0, false, now), load(10.0, false, now)];
    run(&mut controller, 0, 200, hot);
    let moved = 1.0 - controller.shares().share(0, 0);
    assert!(moved > 0.1, "{moved} moved");
    run(&mut controller, 200, 20, |now| vec![load(HIGH_WATER * 90.0, false, now); 3]);
    assert!(
        (1.0 - controller.shares().share(0, 0) - moved).abs() < 0.051,
        "no callers return while the load is between the water marks"
    );
    run(&mut controller, 220, 600, |now| vec![load(30.0, false, now); 3]);
    assert!((controller.shares().share(0, 0) - 1.0).abs() < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// The table returns the same region as a search for the longest prefix.
    #[test]
    fn the_longest_prefix_wins(raw in prop::collection::vec((0_u32..64, 24_u8..=32, 0_u16..5), 0..30), probes in prop::collection::vec(0_u32..70_000, 20)) {
        let base = 10 << 24;
        let blocks: Vec<Block> = raw
            .iter()
            .map(|(at, length, region)| {
                let mask = u32::MAX.checked_shl(32 - u32::from(*length)).unwrap_or(0);
                Block { first: (base + at * 37) & mask, length: *length, region: *region }
            })
            .collect();
        let table = Table::new(blocks.clone());
        for probe in probes {
            let address = base + probe % 4_000;
            let covers = |block: &&Block| {
                let mask = u32::MAX.checked_shl(32 - u32::from(block.length)).unwrap_or(0);
                address & mask == block.first
            };
            let longest = blocks.iter().filter(covers).map(|block| block.length).max();
            let expected: Vec<u16> = blocks.iter().filter(covers).filter(|block| Some(block.length) == longest).map(|block| block.region).collect();
            match table.home(address) {
                None => prop_assert!(expected.is_empty()),
                Some(region) => prop_assert!(expected.contains(&region)),
            }
        }
    }
}

#[test]
fn a_region_that_returns_regains_its_callers_step_by_step() {
    let mut controller = Controller::new(3, ANSWER_TTL, START);
    let loads = |now, down| {
        let mut loads = vec![load(10.0, false, now); 3];
        loads[0].down = down;
        loads
    };
    run(&mut controller, 0, 5, |now| loads(now, true));
    assert!(controller.shares().share(0, 0) < 1e-9, "a region that is down has no callers");
    run(&mut controller, 5, 1, |now| loads(now, false));
    let first = controller.shares().share(0, 0);
    assert!(first > 0.0 && first < 0.06, "{first} of the callers returned in the first second");
    run(&mut controller, 6, RAMP_TIME.as_secs(), |now| loads(now, false));
    assert!((controller.shares().share(0, 0) - 1.0).abs() < 1e-9);
}

/// Entry instances of one region with these capacities.
fn sized(capacities: &[u32]) -> View {
    let entries = capacities.iter().enumerate();
    let entry =
        |(number, capacity): (usize, &u32)| Entry { capacity: *capacity, ..entry(0, 0, number, Standing::Good) };
    View::new(entries.map(entry).collect(), 1)
}

/// Load: a fifth of the machines carry ten times as much as the others. Callers pick one of those that they are told of at random.
#[test]
fn callers_are_told_of_machines_in_proportion_to_what_they_carry() {
    let view = sized(&[1_000, 1_000, 1_000, 1_000, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100]);
    let mut load = [0.0; 16];
    for caller in 0..20_000_u64 {
        let told = by_region::look_up(&view, Some(0), Vec::new, None, hash::bytes(&caller.to_le_bytes()), 64);
        told.iter().for_each(|position| load[usize::from(*position)] += 1.0 / told.len() as f64);
    }
    let (large, small) = (load[..4].iter().sum::<f64>() / 4.0, load[4..].iter().sum::<f64>() / 12.0);
    assert!((7.0..=13.0).contains(&(large / small)), "{large} callers at a large machine, {small} at a small one");
}

/// Guards against callers that give up their connections because they are told of other instances each time.
#[test]
fn a_caller_is_always_told_of_the_same_machines() {
    let view = sized(&[1_000, 100, 100, 100, 100, 100, 100, 100]);
    let fewer = sized(&[1_000, 100, 100, 100, 100, 100, 100]);
    for caller in 0..100 {
        let told = by_region::look_up(&view, Some(0), Vec::new, None, caller, 64);
        assert_eq!(told, by_region::look_up(&view, Some(0), Vec::new, None, caller, 64));
        assert!(told.len() >= 3 && told.contains(&0), "{told:?}");
        if !told.contains(&7) {
            assert_eq!(
                told,
                by_region::look_up(&fewer, Some(0), Vec::new, None, caller, 64),
                "the loss of another one changes nothing"
            );
        }
    }
}

/// Guards against a different load where machines are alike or nothing is known of them.
#[test]
fn equal_machines_are_all_told() {
    let told = by_region::look_up(&sized(&[5; 12]), Some(0), Vec::new, None, 77, 64);
    assert_eq!(told, (0..12).collect::<Vec<u16>>());
    assert_eq!(by_region::look_up(&sized(&[5; 12]), Some(0), Vec::new, None, 77, 4).len(), 4, "up to the limit");
}

/// Guards against callers of a region without good instances that are sent to a region in which none of their requests may run, and
/// against an empty answer while any instance may be named. Standings are those of regions 0, the caller's, 1 and 2.
#[rstest]
#[case::own_is_good([Standing::Good, Standing::Good, Standing::Good], &[2], &[0])]
#[case::home_is_good([Standing::Out, Standing::Good, Standing::Good], &[2], &[2])]
#[case::good_before_doubtful([Standing::Doubtful, Standing::Good, Standing::Good], &[2], &[2])]
#[case::home_is_doubtful([Standing::Out, Standing::Good, Standing::Doubtful], &[2], &[1])]
#[case::own_and_home_are_doubtful([Standing::Doubtful, Standing::Out, Standing::Doubtful], &[2], &[0])]
#[case::others_are_doubtful([Standing::Out, Standing::Doubtful, Standing::Doubtful], &[2], &[2])]
#[case::home_is_out([Standing::Out, Standing::Doubtful, Standing::Out], &[2], &[1])]
#[case::no_home([Standing::Out, Standing::Good, Standing::Good], &[], &[1, 2])]
#[case::only_home_is_the_own([Standing::Out, Standing::Good, Standing::Good], &[0], &[1, 2])]
#[case::all_are_out([Standing::Out, Standing::Out, Standing::Out], &[2], &[])]
fn of_other_regions_homes_come_first(
    #[case] standings: [Standing; 3],
    #[case] homes: &[u16],
    #[case] expected: &[u16],
) {
    let view = view(|region, _| standings[usize::from(region)]);
    let told = by_region::look_up(&view, Some(0), || homes.to_vec(), None, 77, 64);
    let regions: BTreeSet<u16> =
        told.iter().filter_map(|position| view.entry(*position)).map(|entry| entry.region).collect();
    assert_eq!(regions, expected.iter().copied().collect());
}

/// Guards against an answer of other regions while the instance that answers, the second of region 0, leaves and is open for long
/// enough, and against one that names it to callers of another region. Standings are those of regions 0, 1 and 2. Callers whose requests
/// may not run everywhere are led abroad only when it is closed.
#[rstest]
#[case::own_is_good([Standing::Good, Standing::Good, Standing::Good], 0, &[], 1_000, &[0, 1, 2, 3])]
#[case::own_is_out([Standing::Out, Standing::Good, Standing::Good], 0, &[], 1_000, &[1])]
#[case::own_is_doubtful([Standing::Doubtful, Standing::Good, Standing::Good], 0, &[], 1_000, &[1])]
#[case::soon_closed([Standing::Out, Standing::Good, Standing::Out], 0, &[], 999, &[4, 5, 6, 7])]
#[case::home_is_good([Standing::Out, Standing::Good, Standing::Good], 0, &[2], 1_000, &[8, 9, 10, 11])]
#[case::home_is_doubtful([Standing::Out, Standing::Good, Standing::Doubtful], 0, &[2], 1_000, &[1])]
#[case::home_is_out([Standing::Out, Standing::Good, Standing::Out], 0, &[2], 1, &[1])]
#[case::only_home_is_the_own([Standing::Out, Standing::Good, Standing::Good], 0, &[0], 1, &[1])]
#[case::other_region([Standing::Out, Standing::Out, Standing::Good], 1, &[], 1_000, &[8, 9, 10, 11])]
#[case::all_are_out([Standing::Out, Standing::Out, Standing::Out], 1, &[], 1, &[1])]
fn an_instance_that_leaves_is_named_before_those_of_other_regions(
    #[case] standings: [Standing; 3],
    #[case] region: u16,
    #[case] homes: &[u16],
    #[case] open_ms: u64,
    #[case] expected: &[u16],
) {
    let view = view(|region, _| standings[usize::from(region)]);
    let leaving = Leaving { position: 1, open_for: Duration::from_millis(open_ms) };
    assert_eq!(by_region::look_up(&view, Some(region), || homes.to_vec(), Some(leaving), 77, 64), expected);
}
