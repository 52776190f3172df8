//! Order of starting and stopping components.

use std::sync::{Arc, Mutex};

use kernel::{Component, Kernel, Plugin, StartResult};

type Log = Mutex<Vec<String>>;

/// A component that logs its calls.
struct Recorder {
    name: &'static str,
    log: Arc<Log>,
    /// Calls of `drain` until the component is drained.
    polls_left: u32,
}

impl Recorder {
    fn record(&self, what: &str) {
        self.log.lock().expect("no test panics with the lock held").push(format!("{what} {}", self.name));
    }
}

impl Component for Recorder {
    fn withdraw(&mut self) {
        self.record("withdraw");
    }

    fn drain(&mut self) -> bool {
        self.polls_left = self.polls_left.saturating_sub(1);
        self.polls_left == 0
    }

    fn close(&mut self) {
        self.record("close");
    }
}

fn component(name: &'static str, log: &Arc<Log>, polls: u32) -> StartResult {
    let component = Recorder { name, log: Arc::clone(log), polls_left: polls };
    component.record("start");
    Ok(Box::new(component))
}

fn plugins(second: fn(&Arc<Log>) -> StartResult) -> [Plugin<Log>; 3] {
    [
        Plugin { name: "c", stage: 9, start: |log| component("c", log, 3) },
        Plugin { name: "b", stage: 5, start: second },
        Plugin { name: "a", stage: 1, start: |log| component("a", log, 1) },
    ]
}

fn logged(log: &Arc<Log>) -> String {
    log.lock().expect("no test panics with the lock held").join(", ")
}

#[test]
fn components_start_by_stage_and_stop_in_reverse() {
    let log = Arc::new(Log::default());
    let all = plugins(|log| component("b", log, 1));
    let mut kernel = Kernel::start(&all, &log).expect("all start");
    kernel.withdraw();
    let mut undrained_polls = 0;
    while !kernel.drain() {
        undrained_polls += 1;
    }
    assert_eq!(undrained_polls, 2);
    kernel.close();
    let expected = "start a, start b, start c, withdraw c, withdraw b, withdraw a, close c, close b, close a";
    assert_eq!(logged(&log), expected);
}

#[test]
fn a_failed_start_closes_started_components_and_names_the_plugin() {
    let log = Arc::new(Log::default());
    let all = plugins(|_| Err("key `x`: change it".to_owned()));
    let error = Kernel::start(&all, &log).expect_err("b fails").to_string();
    assert_eq!(error, "b: key `x`: change it");
    assert_eq!(logged(&log), "start a, close a");
}

#[test]
fn components_can_be_closed_before_they_are_drained() {
    let log = Arc::new(Log::default());
    let all = plugins(|log| component("b", log, 100));
    let mut kernel = Kernel::start(&all, &log).expect("all start");
    assert!(!kernel.drain());
    kernel.close();
    assert!(logged(&log).ends_with("close c, close b, close a"), "closing does not wait for work");
}
