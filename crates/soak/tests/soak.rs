//! A short soak with a fixed seed; longer ones with fresh seeds are run by hand (docs/PROOFS.md).

use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use soak::run::{Setup, run};

/// Seeds that failed once stay here, each with a line on the cause.
#[rstest]
#[case::plain(1)]
fn promises_are_kept_under_faults_from_outside(#[case] seed: u64) {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/bayline");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let setup = Setup { seed, time: Duration::from_secs(10), faults: 12, callers: 12, net: 88 };
    let report = run(&deploy, &folder, setup).expect("the deployment starts");
    assert!(report.faults >= 8, "{} faults came", report.faults);
    assert!(report.endings.values().sum::<usize>() > 0, "callers were there");
    assert!(report.broken.is_empty(), "{:#?}\nlogs: {}", report.broken, folder.display());
}
