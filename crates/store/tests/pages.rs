//! Lists that the store returns in pages, some of which it refuses or repeats.

use std::collections::BTreeSet;

use proptest::prelude::*;
use store::Entry;
use store::pages::Pages;

fn entry(key: &str) -> Entry {
    Entry { key: key.to_owned(), value: Vec::new(), revision: 1 }
}

/// Reads all of `keys` from a store with pages of `size` keys, which refuses pages after keys of `refused` and answers those
/// after keys of `repeated` with the first page.
fn read(keys: &BTreeSet<String>, size: usize, refused: &[&str], repeated: &[&str]) -> (BTreeSet<String>, Pages) {
    let mut pages = Pages::new();
    for _ in 0..=3 * keys.len() + 3 {
        let Some(after) = pages.next().map(str::to_owned) else {
            let (entries, _) = pages.clone().into_parts();
            return (entries.into_iter().map(|entry| entry.key).collect(), pages);
        };
        if refused.contains(&after.as_str()) {
            pages.pass_over().expect("it is not the first page");
            continue;
        }
        let from = if repeated.contains(&after.as_str()) { "" } else { after.as_str() };
        let page: Vec<Entry> = keys.iter().filter(|key| key.as_str() > from).take(size).map(|key| entry(key)).collect();
        let more = keys.iter().filter(|key| key.as_str() > from).count() > size;
        pages.add(page, more).expect("it is not the first page");
    }
    panic!("the list does not end: {pages:?}");
}

fn keys(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Fault: the store refuses, or misreads, the call for the page after one key for ever. All other keys are still read.
#[test]
fn a_page_that_is_refused_or_repeated_costs_no_other_keys() {
    let all = keys(&["first/a", "first/b/a&b", "servers/a", "servers/a&b", "servers/b", "servers/mé", "t"]);
    for size in 1..=8 {
        for odd in ["first/b/a&b", "servers/a&b"] {
            assert_eq!(read(&all, size, &[odd], &[]).0, all, "refused after {odd}, pages of {size}");
            assert_eq!(read(&all, size, &[], &[odd]).0, all, "repeated after {odd}, pages of {size}");
        }
    }
    let refused = ["first/b/a&b", "first/b/a-", "servers/a", "servers0", "servers/mé", "t"];
    let (read, pages) = read(&all, 1, &refused, &[]);
    assert_eq!(read, keys(&["first/a", "first/b/a&b", "servers/a"]), "the store refuses all that follow");
    let (_, gaps) = pages.into_parts();
    assert!(gaps.iter().any(|gap| gap.contains("servers/b")) && !gaps.iter().any(|gap| gap.contains("first/a")));
}

#[test]
fn the_first_page_cannot_be_passed_over() {
    assert!(Pages::new().pass_over().is_err());
    assert!(Pages::new().add(Vec::new(), true).is_err());
    let mut empty = Pages::new();
    empty.add(Vec::new(), false).expect("an empty store has an empty list");
    assert_eq!(empty.next(), None);
}

proptest! {
    /// Whatever a store refuses or repeats: the list ends, and each key is read or lies in a gap.
    #[test]
    fn a_list_ends_and_tells_what_it_lacks(
        all in prop::collection::btree_set("(first|servers)/[&aé~%]{1,3}", 1..12), size in 1..4_usize, odd in any::<u64>(),
    ) {
        let chosen = |shift: usize| -> Vec<&str> {
            all.iter().enumerate().filter(|(at, _)| odd >> (2 * at + shift) & 1 == 1).map(|(_, key)| key.as_str()).collect()
        };
        let (read, pages) = read(&all, size, &chosen(0), &chosen(1));
        let (_, gaps) = pages.into_parts();
        for key in &all {
            prop_assert!(read.contains(key) || gaps.iter().any(|gap| gap.contains(key)), "{key} {gaps:?}");
        }
    }
}
