//! Short runs with fixed seeds. Longer ones with new seeds are started by hand (docs/PROOFS.md).

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rstest::rstest;
use soak::run::{Setup, run};

/// Held during a run, as deployments use the same addresses.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// Seeds that failed once, each named after the cause.
#[rstest]
#[case::popular_requests_were_quarantined("bayline", 1)]
#[case::soak_lost_track_of_the_process_asked_to_stop("bayline", 2)]
#[case::soak_lost_track_of_the_process_seed_6("bayline", 6)]
#[case::soak_lost_track_of_the_process_seed_9("bayline", 9)]
#[case::daemon_ended_at_once_when_asked_to_stop_twice("onfot", 62)]
fn guarantees_hold_under_faults(#[case] deployment: &str, #[case] seed: u64) {
    check(deployment, Setup { seed, time: Duration::from_secs(12), faults: 16, callers: 16, net: 88 });
}

/// Guards against servers that get more than the rate limit that they state, while daemons are killed, stopped and paused
/// and links fail. More callers than elsewhere, so that every server would get more than its limit allows.
#[test]
fn rate_limits_hold_under_faults() {
    check("bayline", Setup { seed: 1_001, time: Duration::from_secs(20), faults: 12, callers: 48, net: 88 });
}

fn check(deployment: &str, setup: Setup) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(deployment);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", setup.seed));
    let report = run(&deploy, &folder, setup).expect("the deployment starts");
    assert!(report.faults >= 8, "only {} faults were injected", report.faults);
    assert!(report.endings.values().sum::<usize>() > 0, "no request was sent");
    assert!(report.violations.is_empty(), "{:#?}\nlogs: {}", report.violations, folder.display());
}
