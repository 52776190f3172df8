//! Bad settings and policies get an error that names the file, the key or line, and what to change.

use std::path::Path;

use config::configs::Settings;
use config::policy::{Drain, Policy, Scope};
use rstest::rstest;

const GOOD: &str = "instance = \"i\"\ndomain = \"d\"\nregion = \"r\"\n";
const POLICY: &str = include_str!("../../../deploy/bayline/policy.toml");

#[rstest]
#[case::unknown_key("colour = 1", "colour")]
#[case::unknown_key_of_a_part("[callers]\ncolour = 1", "colour")]
#[case::wrong_type("[callers]\nanswer_ttl_s = \"ten\"", "answer_ttl_s")]
#[case::wrong_unit("[fleet]\nexchange_ms = 1", "fleet.exchange_ms")]
#[case::no_address("[callers]\naddress = \"localhost\"", "callers.address")]
#[case::bad_seed("[fleet]\nseeds = [\"x\"]", "fleet.seeds")]
#[case::bad_level("log = \"loud\"", "log")]
#[case::bad_part("log_parts = { kitchen = \"info\" }", "log_parts.kitchen")]
#[case::bad_level_of_a_part("log_parts = { list = \"loud\" }", "log_parts.list")]
#[case::claims_too_short("[platform]\nclaim_kept_s = 5", "platform.claim_kept_s")]
fn bad_settings_are_named(#[case] more: &str, #[case] key: &str) {
    // A key of the top level must stand before the first part.
    let text = format!("{more}\n");
    let text = if more.starts_with('[') { format!("{GOOD}{text}") } else { format!("{text}{GOOD}") };
    let error = Settings::parse("x.toml", &text).expect_err("the settings are bad").to_string();
    assert!(error.contains("x.toml") && error.contains(key), "{error}");
}

#[test]
fn a_missing_name_is_named() {
    let error = Settings::parse("x.toml", "domain = \"d\"\nregion = \"r\"\n").expect_err("no instance").to_string();
    assert!(error.contains("instance"), "{error}");
}

#[test]
fn a_parse_error_names_its_line() {
    let error = Settings::parse("x.toml", &format!("{GOOD}log = \n")).expect_err("no value").to_string();
    assert!(error.contains("line 4"), "{error}");
}

#[rstest]
#[case::unknown_region_in_a_link(
    "between = [\"michigan\", \"ohio\"]",
    "between = [\"michigan\", \"mars\"]",
    "links[0].between"
)]
#[case::cap_of_zero("cap_mbit = 4000.0", "cap_mbit = 0.0", "cap_mbit")]
#[case::share_of_one("target_share = 0.999", "target_share = 1.0", "target_share")]
#[case::target_above_the_deadline("target_ms = 150", "target_ms = 5000", "classes.lookup.target_ms")]
#[case::a_path_twice("[\"/stock\", \"/price\"]", "[\"/orders\"]", "paths")]
#[case::a_domain_twice("[\"oh-a\", \"oh-b\"]", "[\"oh-a\", \"mi-a\"]", "domains")]
#[case::a_bad_block("10.1.0.0/16", "10.1.0.0/99", "blocks[0].prefix")]
#[case::an_unknown_key("rank = 2", "weight = 2\nrank = 2", "weight")]
fn bad_policies_are_named(#[case] good: &str, #[case] bad: &str, #[case] key: &str) {
    let text = POLICY.replacen(good, bad, 1);
    assert_ne!(text, POLICY);
    let error = Policy::parse("p.toml", &text).expect_err("the policy is bad").to_string();
    assert!(error.contains("p.toml") && error.contains(key), "{error}");
}

#[test]
fn draining_everything_is_refused() {
    let mut policy = Policy::parse("p", POLICY).expect("the policy is good");
    policy.drains = policy.regions.keys().map(|name| Drain { scope: Scope::Region, name: name.clone() }).collect();
    assert!(policy.check("p").is_err());
    policy.drains.pop();
    policy.check("p").expect("one region is left");
}

#[test]
fn a_policy_survives_its_text() {
    let mut policy = Policy::parse("p", POLICY).expect("the policy is good");
    policy.record_change("change");
    let again = Policy::parse("p", &policy.to_text().expect("it has a text")).expect("its text is good");
    assert_eq!(policy, again);
}

#[rstest]
#[case("/stock", Some("lookup"))]
#[case("/stock/felt", Some("lookup"))]
#[case("/stocks", None)]
#[case("/orders/7", Some("order"))]
#[case("/", None)]
fn paths_have_classes(#[case] path: &str, #[case] class: Option<&str>) {
    let policy = Policy::parse("p", POLICY).expect("the policy is good");
    assert_eq!(policy.class_of("", path).map(|(name, _)| name), class);
}

#[rstest]
#[case("bayline")]
#[case("onfot")]
fn checked_in_deployments_are_good(#[case] name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
    let mut daemons = 0;
    for file in std::fs::read_dir(folder).expect("the folder is there") {
        let path = file.expect("the folder can be read").path();
        match path.file_name().and_then(|name| name.to_str()) {
            Some("policy.toml") => drop(Policy::read(&path).expect("the policy is good")),
            Some(name) if name.split('.').next_back() == Some("toml") => {
                Settings::read(&path).expect("the settings are good");
                daemons += 1;
            }
            _ => {}
        }
    }
    assert_eq!(daemons, 7);
}
