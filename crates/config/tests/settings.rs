//! Invalid settings and policies are rejected with an error that names the file and the key or line.

use std::path::Path;

use config::configs::{Settings, Source};
use config::policy::{Drain, Policy, Scope};
use rstest::rstest;

const VALID: &str = "instance = \"i\"\ndomain = \"d\"\nregion = \"r\"\n";
const POLICY: &str = include_str!("../../../deploy/bayline/policy.toml");

#[rstest]
#[case::unknown_key("colour = 1", "colour")]
#[case::unknown_key_in_a_section("[callers]\ncolour = 1", "colour")]
#[case::wrong_type("[callers]\nanswer_ttl_s = \"ten\"", "answer_ttl_s")]
#[case::wrong_unit("[fleet]\nexchange_ms = 1", "fleet.exchange_ms")]
#[case::address_without_port("[callers]\naddress = \"localhost\"", "callers.address")]
#[case::bad_seed("[fleet]\nseeds = [\"x\"]", "fleet.seeds")]
#[case::bad_level("log = \"loud\"", "log")]
#[case::unknown_component("log_parts = { kitchen = \"info\" }", "log_parts.kitchen")]
#[case::bad_level_of_a_component("log_parts = { list = \"loud\" }", "log_parts.list")]
#[case::empty_lookup_address("[callers]\nlookup_address = \"\"", "callers.lookup_address")]
#[case::no_port_after_the_last("[callers]\naddress = \"127.0.0.1:65535\"", "callers.lookup_address")]
#[case::no_relay_port("[fleet]\nrelay_port = 0", "fleet.relay_port")]
#[case::claim_retention_too_short("[platform]\nclaim_kept_s = 5", "platform.claim_kept_s")]
fn errors_of_settings_name_the_key(#[case] added: &str, #[case] key: &str) {
    // A top-level key must precede the first section.
    let text = format!("{added}\n");
    let text = if added.starts_with('[') { format!("{VALID}{text}") } else { format!("{text}{VALID}") };
    let error = Settings::parse("x.toml", &text).expect_err("the settings are invalid").to_string();
    assert!(error.contains("x.toml") && error.contains(key), "{error}");
}

/// Guards against two purposes at one address, where a request of one would be taken for a request of the other.
#[rstest]
#[case("[callers]\nlookup_address = \"127.0.0.1:7000\"", ["callers.address", "callers.lookup_address"])]
#[case("[callers]\naddress = \"127.0.0.1:7099\"", ["callers.lookup_address", "operators.address"])]
#[case("[fleet]\naddress = \"127.0.0.1:7001\"", ["callers.lookup_address", "fleet.address"])]
#[case("[fleet]\naddress = \"127.0.0.1:7000\"\nrelay_port = 7001", ["callers.address", "fleet.address"])]
#[case("[fleet]\naddress = \"127.0.0.1:8000\"\nrelay_port = 7001", ["callers.lookup_address", "fleet.relay_port"])]
#[case("[operators]\nmetrics_address = \"127.0.0.1:7000\"", ["callers.address", "operators.metrics_address"])]
fn equal_addresses_are_an_error_that_names_both_keys(#[case] added: &str, #[case] keys: [&str; 2]) {
    let error =
        Settings::parse("x.toml", &format!("{VALID}{added}\n")).expect_err("the addresses are equal").to_string();
    assert!(keys.iter().all(|key| error.contains(key)), "{error}");
}

#[test]
fn look_ups_have_an_address_of_their_own_by_default() {
    let settings = Settings::parse("x.toml", &format!("{VALID}[callers]\naddress = \"10.0.0.1:80\"\n"));
    assert_eq!(settings.expect("the settings are valid").callers.lookup_address(), "10.0.0.1:81");
}

/// Guards against a value of the command line that does not take effect, or whose error does not name it.
#[test]
fn the_command_line_replaces_values_of_the_file() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("overrides.toml");
    std::fs::write(&path, format!("{VALID}[fleet]\nfanout = 2\nexchange_ms = 50\n")).expect("the file can be written");
    let read = |text: &str| Source::new(&path).with_overrides(vec![text.to_owned()]).read();
    let settings = read("fleet.relay_port=7300").expect("the settings are valid");
    assert_eq!((settings.fleet.relay_address().as_str(), settings.fleet.fanout), ("127.0.0.1:7300", 2));
    assert_eq!(read("fleet.fanout=3").expect("the settings are valid").fleet.fanout, 3);
    for (text, key) in [("fleet.relay_port=", "fleet.relay_port"), ("fleet.colour=1", "colour"), ("x", "`x`")] {
        let error = read(text).expect_err("the value is invalid").to_string();
        assert!(error.contains("--set") && error.contains(key), "{error}");
    }
}

#[test]
fn a_missing_instance_name_is_reported() {
    let error = Settings::parse("x.toml", "domain = \"d\"\nregion = \"r\"\n").expect_err("no instance").to_string();
    assert!(error.contains("instance"), "{error}");
}

#[test]
fn a_parse_error_names_the_line() {
    let error = Settings::parse("x.toml", &format!("{VALID}log = \n")).expect_err("no value").to_string();
    assert!(error.contains("line 4"), "{error}");
}

#[rstest]
#[case::link_to_an_unknown_region(
    "between = [\"michigan\", \"ohio\"]",
    "between = [\"michigan\", \"mars\"]",
    "links[0].between"
)]
#[case::cap_of_zero("cap_mbit = 4000.0", "cap_mbit = 0.0", "cap_mbit")]
#[case::share_of_one("target_share = 0.999", "target_share = 1.0", "target_share")]
#[case::target_above_the_deadline("target_ms = 150", "target_ms = 5000", "classes.lookup.target_ms")]
#[case::path_in_two_classes("[\"/stock\", \"/price\"]", "[\"/orders\"]", "paths")]
#[case::domain_in_two_regions("[\"oh-a\", \"oh-b\"]", "[\"oh-a\", \"mi-a\"]", "domains")]
#[case::invalid_block("10.1.0.0/16", "10.1.0.0/99", "blocks[0].prefix")]
#[case::unknown_key_in_a_class("rank = 2", "weight = 2\nrank = 2", "weight")]
fn errors_of_policies_name_the_key(#[case] valid: &str, #[case] invalid: &str, #[case] key: &str) {
    let text = POLICY.replacen(valid, invalid, 1);
    assert_ne!(text, POLICY);
    let error = Policy::parse("p.toml", &text).expect_err("the policy is invalid").to_string();
    assert!(error.contains("p.toml") && error.contains(key), "{error}");
}

#[test]
fn draining_everything_is_refused() {
    let mut policy = Policy::parse("p", POLICY).expect("the policy is valid");
    policy.drains = policy.regions.keys().map(|name| Drain { scope: Scope::Region, name: name.clone() }).collect();
    assert!(policy.check("p").is_err());
    policy.drains.pop();
    policy.check("p").expect("one region is not drained");
}

#[test]
fn a_policy_written_and_parsed_is_equal() {
    let mut policy = Policy::parse("p", POLICY).expect("the policy is valid");
    policy.record_change("change");
    let parsed = Policy::parse("p", &policy.to_text().expect("it can be written")).expect("the text is valid");
    assert_eq!(policy, parsed);
}

#[rstest]
#[case("/stock", Some("lookup"))]
#[case("/stock/felt", Some("lookup"))]
#[case("/stocks", None)]
#[case("/orders/7", Some("order"))]
#[case("/", None)]
fn paths_belong_to_the_class_with_a_covering_prefix(#[case] path: &str, #[case] class: Option<&str>) {
    let policy = Policy::parse("p", POLICY).expect("the policy is valid");
    assert_eq!(policy.class_of("", path).map(|(name, _)| name), class);
}

#[rstest]
#[case("bayline")]
#[case("onfot")]
fn checked_in_deployments_are_valid(#[case] name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
    let mut daemons = 0;
    for file in std::fs::read_dir(folder).expect("the folder exists") {
        let path = file.expect("the folder can be read").path();
        match path.file_name().and_then(|name| name.to_str()) {
            Some("policy.toml") => drop(Policy::read(&path).expect("the policy is valid")),
            Some(name) if name.split('.').next_back() == Some("toml") => {
                Settings::read(&path).expect("the settings are valid");
                daemons += 1;
            }
            _ => {}
        }
    }
    assert_eq!(daemons, 7);
}
