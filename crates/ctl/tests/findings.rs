//! Findings about a policy before it is applied.

use config::policy::Policy;
use ctl::findings::{Severity, changes, warnings};
use rstest::rstest;

/// A sound policy with an account.
const SOUND: &str = r#"
[regions.north]
domains = ["n"]
[regions.south]
domains = ["s"]
[services.stock]
start_per_second = 3.0
[classes.lookup]
service = "stock"
host = "h.example"
paths = ["/stock/"]
idempotent = true
rank = 1
target_ms = 100
target_share = 0.99
deadline_ms = 1000
[accounts.red]
keys = ["sha256:7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"]
rate = 20.0
burst = 20.0
"#;

fn policy(text: &str) -> Policy {
    Policy::parse("test", text).expect("the policy is valid")
}

/// Returns the sound policy with `from` replaced by `to`, and `more` at its end.
fn changed(from: &str, to: &str, more: &str) -> Policy {
    assert!(SOUND.contains(from), "{from}");
    policy(&format!("{}{more}", SOUND.replacen(from, to, 1)))
}

/// Guards against mistakes that are found only when requests are refused.
#[rstest]
#[case::covered_path("[\"/stock/\"]", "[\"/stock/\", \"/stock/a/\"]", "", "classes.lookup.paths")]
#[case::unused_service("[services.stock]", "[services.archive]\n[services.stock]", "", "services.archive")]
#[case::no_weight("service = \"stock\"", "split = { stock = 1, archive = 0 }", "", "classes.lookup.split")]
#[case::account_without_keys("[accounts.red]", "[accounts.blue]\nrank = 1\n[accounts.red]", "", "accounts.blue.keys")]
#[case::small_burst("burst = 20.0", "burst = 5.0", "", "accounts.red.burst")]
#[case::closed("burst = 20.0", "burst = 20.0\nclosed = true", "", "accounts.red.closed")]
#[case::drained(
    "paths",
    "regions = [\"north\"]\npaths",
    "[[drains]]\nscope = \"region\"\nname = \"north\"\n",
    "classes.lookup.regions"
)]
#[case::no_common_region(
    "paths = [\"/stock/\"]",
    "regions = [\"north\"]\npaths = [\"/stock/\"]",
    "regions = [\"south\"]\n",
    "accounts.red.regions"
)]
#[case::hidden_path(
    "[classes.lookup]",
    "[classes.other]\nservice = \"stock\"\nhost = \"H.example\"\npaths = [\"/stock/\"]\nidempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 1000\n[classes.lookup]",
    "",
    "classes.lookup.paths"
)]
fn an_entry_without_effect_is_a_warning(#[case] from: &str, #[case] to: &str, #[case] more: &str, #[case] key: &str) {
    let found = warnings(&changed(from, to, more));
    let keys: Vec<&str> = found.iter().map(|finding| finding.key.as_str()).collect();
    assert_eq!(keys, [key], "{found:?}");
    assert!(found.iter().all(|finding| finding.severity == Severity::Warning && !finding.text.is_empty()));
}

#[rstest]
#[case::service("service = \"stock\"", "service = \"archive\"", "classes.lookup.service")]
#[case::paths("/stock/", "/stocks/", "classes.lookup.paths")]
#[case::once("idempotent = true", "idempotent = false", "classes.lookup.idempotent")]
#[case::target("target_ms = 100", "target_ms = 200", "classes.lookup")]
#[case::key("7692", "7693", "accounts.red.keys")]
#[case::quota("rate = 20.0", "rate = 30.0", "accounts.red.rate")]
#[case::account("accounts.red", "accounts.blue", "accounts.blue")]
fn what_differs_is_told(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let found = changes(&policy(SOUND), &changed(from, to, ""));
    assert!(found.iter().any(|finding| finding.key == key && finding.severity == Severity::Change), "{found:?}");
    assert!(found.len() <= 2, "nothing else: {found:?}");
}

/// Guards against findings that cry wolf.
#[test]
fn sound_policies_have_no_finding() {
    assert_eq!(warnings(&policy(SOUND)), []);
    assert_eq!(changes(&policy(SOUND), &policy(SOUND)), []);
    for deployment in ["bayline", "onfot"] {
        let path = format!("{}/../../deploy/{deployment}/policy.toml", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(warnings(&Policy::read(path.as_ref()).expect("it is valid")), [], "{deployment}");
    }
}
