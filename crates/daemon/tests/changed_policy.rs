//! Keyed orders while policies change; the daemon's own dialect, real sockets.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::Harness;
use daemon::policies::ActivePolicy;
use daemon::view;

/// Guards against orders whose claim is left behind when they are matched again because the policy has changed: the same order
/// would be refused as one that is still running.
#[test]
fn an_order_that_crosses_a_change_of_the_policy_is_answered() {
    const CHANGES: u32 = 600;
    let harness = Harness::new(69);
    let address = &harness.address;
    let context = harness.daemon.as_ref().expect("the daemon runs").context();
    let done = AtomicBool::new(false);
    let send = |caller: usize| {
        let mut answers = Vec::new();
        while !done.load(Ordering::Relaxed) {
            let key = format!("{caller}-{}", answers.len());
            answers.push(Harness::exchange_at(address, &format!(
                "POST /orders HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            )));
        }
        answers
    };
    let answers: Vec<String> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                scope.spawn({
                    let send = &send;
                    move || send(caller)
                })
            })
            .collect();
        for _ in 0..CHANGES {
            let before = context.policy();
            let next = ActivePolicy::replacing(&before, before.version, before.policy.clone());
            view::activate(context, Arc::new(next));
            std::thread::sleep(Duration::from_millis(2));
        }
        done.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("no caller panics")).collect()
    });
    let failed: Vec<&String> = answers.iter().filter(|answer| !answer.starts_with("HTTP/1.1 200")).collect();
    assert!(failed.is_empty(), "{} of {} orders failed: {:?}", failed.len(), answers.len(), failed[0]);
}
