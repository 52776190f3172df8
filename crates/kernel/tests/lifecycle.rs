//! Order of starting and stopping.

use std::sync::{Arc, Mutex};

use kernel::{Component, Kernel, Plugin, StartResult};

type Log = Mutex<Vec<String>>;

struct Noted(&'static str, Arc<Log>, u32);

impl Noted {
    fn note(&self, what: &str) {
        self.1.lock().expect("no test panics here").push(format!("{what} {}", self.0));
    }
}

impl Component for Noted {
    fn withdraw(&mut self) {
        self.note("withdraw");
    }

    fn drain(&mut self) -> bool {
        self.2 = self.2.saturating_sub(1);
        self.2 == 0
    }

    fn close(&mut self) {
        self.note("close");
    }
}

fn part(name: &'static str, log: &Arc<Log>, looks: u32) -> StartResult {
    let part = Noted(name, Arc::clone(log), looks);
    part.note("start");
    Ok(Box::new(part))
}

fn plugins(second: fn(&Arc<Log>) -> StartResult) -> [Plugin<Log>; 3] {
    [
        Plugin { name: "c", stage: 9, start: |log| part("c", log, 3) },
        Plugin { name: "b", stage: 5, start: second },
        Plugin { name: "a", stage: 1, start: |log| part("a", log, 1) },
    ]
}

fn said(log: &Arc<Log>) -> String {
    log.lock().expect("no test panics here").join(", ")
}

#[test]
fn parts_start_by_stage_and_stop_in_reverse() {
    let log = Arc::new(Log::default());
    let all = plugins(|log| part("b", log, 1));
    let mut kernel = Kernel::start(&all, &log).expect("all start");
    kernel.withdraw();
    let mut looks = 0;
    while !kernel.drain() {
        looks += 1;
    }
    assert_eq!(looks, 2);
    kernel.close();
    let expected = "start a, start b, start c, withdraw c, withdraw b, withdraw a, close c, close b, close a";
    assert_eq!(said(&log), expected);
}

#[test]
fn a_failed_start_closes_what_was_started_and_names_the_part() {
    let log = Arc::new(Log::default());
    let all = plugins(|_| Err("key `x`: change it".to_owned()));
    let error = Kernel::start(&all, &log).expect_err("b fails").to_string();
    assert_eq!(error, "b: key `x`: change it");
    assert_eq!(said(&log), "start a, close a");
}

#[test]
fn draining_can_be_given_up() {
    let log = Arc::new(Log::default());
    let all = plugins(|log| part("b", log, 100));
    let mut kernel = Kernel::start(&all, &log).expect("all start");
    assert!(!kernel.drain());
    kernel.close();
    assert!(said(&log).ends_with("close c, close b, close a"), "closing does not wait for work");
}
