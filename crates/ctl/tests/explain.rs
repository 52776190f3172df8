//! `explain`, on log lines as daemons write them and a log collector forwards them.

use std::path::PathBuf;

use ctl::cli::{Command, Verb};
use ctl::logs::{Line, trace};
use ctl::verbs;

const LOG: &str = "\
   9.9000 a 100.000 INFO  instance=a life: started callers=127.0.0.1:1
  11.0000 a 101.000 INFO  instance=a dispatch: server ejected server=s1 for_ms=1000 own=2
  11.0000 a 101.000 INFO  instance=a dispatch: server ejected server=s9 for_ms=1000 own=2
  11.0000 b 101.000 INFO  instance=b dispatch: server ejected server=s1 for_ms=1000 own=2
  11.5000 a 101.500 INFO  instance=a dispatch: held request=r1 waiting=3 near=s1/4.0/1.0/369 far=-
  11.6000 a 101.600 INFO  instance=a dispatch: sent request=r2 object=\"an object\" attempt=4 server=s1
  11.7000 a 101.700 INFO  instance=a dispatch: refused request=r1 kind=wont-finish tries=0 waited_ms=200
  11.7000 a 101.700 INFO  instance=a callers: answered request=r1 class=c result=wont-finish status=0 ms=200
  11.9000 a 101.900 INFO  instance=a dispatch: server trusted again server=s1
";

fn lines() -> Vec<Line> {
    LOG.lines().filter_map(Line::parse).collect()
}

#[test]
fn a_line_is_parsed_whatever_precedes_it() {
    let line =
        Line::parse("  11.5 host 101.500 INFO  instance=a dispatch: sent request=r2 object=\"an object\" again=false");
    let line = line.expect("it is a log line");
    assert_eq!((line.at_ms, line.instance.as_str(), line.component()), (101_500, "a", "dispatch"));
    assert_eq!(line.field("object"), Some("an object"));
    assert_eq!(line.field("again"), Some("false"));
    assert_eq!(line.field("ject"), None);
    assert_eq!(Line::parse("a report's line"), None);
}

#[test]
fn a_trace_holds_the_request_and_the_lines_about_its_servers() {
    let steps = trace(&lines(), "r1");
    let texts: Vec<(bool, &str)> = steps.iter().map(|step| (step.of_request, step.line.text.as_str())).collect();
    assert_eq!(texts.len(), 5, "{texts:#?}");
    assert_eq!(texts[1], (false, "INFO dispatch: server ejected server=s1 for_ms=1000 own=2"));
    assert!(texts[2].0 && texts[2].1.starts_with("INFO dispatch: held"));
    assert!(texts[4].1.contains("result=wont-finish"));
}

#[test]
fn the_verb_reads_files_and_reports_a_missing_request() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("explain.log");
    std::fs::write(&file, LOG).expect("the folder is writable");
    let run = |request: &str| {
        let arguments = ["explain", request, file.to_str().expect("the path is valid UTF-8")].map(str::to_owned);
        let command = Command::parse(arguments).expect("the arguments are valid");
        assert!(matches!(command.verb, Verb::Explain(..)));
        verbs::run(&command)
    };
    let text = run("r1").expect("the logs name the request");
    assert!(text.starts_with("  -1500 ms a (INFO life: started"), "{text}");
    assert!(text.ends_with("+200 ms a INFO callers: answered request=r1 class=c result=wont-finish status=0 ms=200\n"));
    let error = run("r3").expect_err("no line names it").to_string();
    assert!(error.contains("no line of 9 names request r3"), "{error}");
}
