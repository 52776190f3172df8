//! Log budget, levels, panics, and a standard output that nobody reads.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use base::time::Time;
use config::configs::{Settings, Source};
use daemon::adapter::Adapter;
use daemon::logs::{Budget, Buffer, Levels, left_out};
use daemon::{Context, lifecycle};
use log::{Level, LevelFilter, Log, Metadata, Record};
use rstest::rstest;

/// Guards against a budget that leaves out lines below its rate, or does not count the lines that it leaves out.
#[test]
fn a_budget_passes_its_lines_a_second_and_counts_the_others() {
    let start = Time::from_millis(1_000);
    let mut budget = Budget::new(100, start);
    let passed = |budget: &mut Budget, at: Time| (0..1_000).filter_map(|_| budget.pass(at)).collect::<Vec<u64>>();
    assert_eq!(passed(&mut budget, start), vec![0; 200], "two seconds' worth at once");
    let later = passed(&mut budget, Time::from_millis(2_000));
    assert_eq!(later.len(), 100);
    assert_eq!(later[0], 800, "the next line has the number of those left out");
}

/// Guards against a budget that is spent on reports of left-out lines: at ten times the budget for two seconds, one such
/// line before each that passes would take half of it.
#[test]
fn few_lines_report_how_many_were_left_out() {
    let start = Time::from_millis(1_000);
    let mut budget = Budget::new(100, start);
    (0..200).for_each(|_| assert_eq!(budget.pass(start), Some(0)));
    let passed: Vec<u64> = (0..2_000).filter_map(|ms| budget.pass(start + Duration::from_millis(ms))).collect();
    assert!(passed.len() >= 180, "{} of 200 lines passed", passed.len());
    let reporting = passed.iter().filter(|left_out| **left_out > 0).count();
    assert!(reporting <= 20, "{reporting} of {} lines report others", passed.len());
    let last = budget.pass(start + Duration::from_secs(10)).expect("the budget has recovered");
    assert_eq!(passed.iter().sum::<u64>() + passed.len() as u64 + last, 2_000, "all are counted");
}

/// A standard output that nobody reads: each write blocks until the test ends.
struct Blocked {
    started: Sender<()>,
    end: Receiver<()>,
}

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.started.send(()).expect("the test listens");
        assert!(self.end.recv().is_err(), "nothing is ever sent");
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that blocks because nobody reads its standard output.
#[test]
fn a_reader_that_reads_nothing_blocks_no_writer() {
    let (started, writing) = channel();
    let (end_sender, end) = channel::<()>();
    let mut buffer = Buffer::start(1_000_000, Blocked { started, end });
    buffer.write_all(b"first\n").expect("lines are always taken");
    writing.recv().expect("the line is being written");
    // More lines than the buffer holds. If one of them blocked, the test would hang: the first is still being written.
    let before = left_out();
    (0..5_000).for_each(|_| buffer.write_all(b"line\n").expect("lines are always taken"));
    assert!(left_out() - before >= 5_000 - 2_000, "lines beyond the buffer are left out and counted");
    drop(end_sender);
}

const SETTINGS: &str = "instance = \"e\"\ndomain = \"d\"\nregion = \"r\"\n";

fn settings(log_settings: &str) -> Settings {
    Settings::parse("test", &format!("{log_settings}{SETTINGS}")).expect("the settings are valid")
}

/// Guards against a component's own level that is ignored or applied to other components.
#[rstest]
#[case("", "dispatch: sent", Level::Info, true)]
#[case("", "dispatch: sent", Level::Debug, false)]
#[case("log = \"warn\"\nlog_parts = { dispatch = \"debug\" }\n", "dispatch: sent", Level::Debug, true)]
#[case("log = \"warn\"\nlog_parts = { dispatch = \"debug\" }\n", "peers: joined", Level::Info, false)]
#[case("log_parts = { list = \"error\" }\n", "list: servers added", Level::Info, false)]
fn each_component_has_its_level(#[case] text: &str, #[case] line: &str, #[case] level: Level, #[case] written: bool) {
    assert_eq!(Levels::new(&settings(text)).allow(line, level), written);
}

/// Guards against log levels that need a restart, and against a reload that applies some of the invalid settings.
#[test]
fn a_reload_applies_the_levels_and_bad_settings_change_nothing() {
    let runtime = tokio::runtime::Runtime::new().expect("it starts");
    let context = Context::new(settings(""), Adapter::native(), runtime.handle().clone());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reload.toml");
    let reload = |text: &str| {
        std::fs::write(&path, text).expect("the file can be written");
        lifecycle::reload(&context, &Source::new(&path));
        log::max_level()
    };
    assert_eq!(reload(&format!("log_parts = {{ dispatch = \"debug\" }}\n{SETTINGS}")), LevelFilter::Debug);
    assert_eq!(reload(&format!("log = \"loud\"\n{SETTINGS}")), LevelFilter::Debug, "refused");
    assert_eq!(reload(&format!("log = \"error\"\n{SETTINGS}")), LevelFilter::Error);
}

/// A standard output that records what is written.
struct Recorder(Sender<Vec<u8>>);

impl Write for Recorder {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.send(buf.to_vec()).expect("the test listens");
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are missing from the log without a sign of it, or that are counted wrongly.
#[test]
fn the_next_line_has_the_number_of_lines_left_out_in_a_field() {
    let (lines, written) = channel();
    let mut buffer = Buffer::start(1, Recorder(lines));
    let mut write = |number: u64| {
        let line = format!("1.0 INFO instance=e list: read number={number}\n");
        buffer.write_all(line.as_bytes()).expect("it is taken");
    };
    (1..=100).for_each(&mut write);
    std::thread::sleep(Duration::from_millis(1_100));
    write(101);
    drop(buffer);
    let lines: Vec<String> = written.iter().map(|line| String::from_utf8_lossy(&line).into_owned()).collect();
    let left_out =
        |line: &String| line.trim_end().split_once(" lines_left_out=").and_then(|(_, count)| count.parse::<u64>().ok());
    let missing: u64 = lines.iter().filter_map(left_out).sum();
    assert!(missing > 0 && lines.iter().all(|line| line.starts_with("1.0 INFO instance=e list: read number=")));
    assert_eq!(missing + lines.len() as u64, 101, "{lines:?}");
}

/// Guards against a policy that comes into force, or a request that is sent somewhere, without a line in the log, because other
/// lines about requests use up the budget.
#[test]
fn lines_about_requests_displace_no_others() {
    let (lines, written) = channel();
    let mut buffer = Buffer::start(10, Recorder(lines));
    let mut write = |line: &str| buffer.write_all(line.as_bytes()).expect("it is taken");
    (0..1_000).for_each(|_| write("1.0 INFO instance=e callers: answered request=r class=c\n"));
    let others = ["policy: in force version=00000007", "dispatch: sent request=r", "relay: passed on request=r"];
    others.iter().for_each(|line| write(&format!("1.0 INFO instance=e {line}\n")));
    drop(buffer);
    let lines: Vec<String> = written.iter().map(|line| String::from_utf8_lossy(&line).into_owned()).collect();
    assert!(lines.len() < 1_000, "lines about requests are bounded: {}", lines.len());
    let is_written = |text: &&str| lines.iter().any(|line| line.contains(text));
    assert!(others.iter().all(is_written), "{} lines", lines.len());
}

/// A logger that records the lines about panics.
struct Panics(Mutex<Vec<String>>);

static PANICS: Panics = Panics(Mutex::new(Vec::new()));

impl Log for Panics {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        if line.contains("panicked") {
            self.0.lock().expect("no thread panics with it").push(line);
        }
    }

    fn flush(&self) {}
}

/// Guards against panics, also those of libraries' threads, that are not in the log.
#[test]
fn a_panic_of_any_thread_is_a_line_of_the_log() {
    log::set_logger(&PANICS).expect("no other test of this file logs");
    log::set_max_level(LevelFilter::Error);
    daemon::logs::log_panics();
    assert!(std::thread::spawn(|| panic!("a library's mistake")).join().is_err());
    let lines = PANICS.0.lock().expect("no thread panics with it");
    let logged =
        lines.iter().any(|line| line.starts_with("life: thread panicked place=") && line.contains("library's"));
    assert!(logged, "{lines:?}");
}
