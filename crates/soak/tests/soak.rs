//! A short soak with a fixed seed; longer ones with fresh seeds are run by hand (docs/PROOFS.md).

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rstest::rstest;
use soak::run::{Setup, run};

/// One deployment at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Seeds that failed once stay here, each with a line on the cause.
#[rstest]
#[case::what_many_ask_for_was_taken_for_poison("bayline", 1)]
#[case::the_soak_mistook_which_process_it_had_asked_to_stop("bayline", 2)]
#[case::the_same("bayline", 6)]
#[case::the_same_once_more("bayline", 9)]
#[case::a_daemon_told_to_stop_twice_ended_at_once("onfot", 62)]
fn promises_are_kept_under_faults_from_outside(#[case] site: &str, #[case] seed: u64) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(site);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let setup = Setup { seed, time: Duration::from_secs(12), faults: 16, callers: 16, net: 88 };
    let report = run(&deploy, &folder, setup).expect("the deployment starts");
    assert!(report.faults >= 8, "{} faults came", report.faults);
    assert!(report.endings.values().sum::<usize>() > 0, "callers were there");
    assert!(report.broken.is_empty(), "{:#?}\nlogs: {}", report.broken, folder.display());
}
