//! Tests of the callers' port with silent, slow, endless and ambiguous requests, against a daemon in this process.

mod common;

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;

use common::Harness;
use config::configs::Settings;
use daemon::adapter::Adapter;
use daemon::lifecycle::Daemon;
use log::kv::{Key, Value, VisitSource};
use rstest::rstest;

/// Guards against invalid requests that reach a backend server, or whose error does not name the reason.
#[test]
fn bad_requests_get_a_clear_error_and_run_nothing() {
    let harness = Harness::new(51);
    let before = harness.backend.served();
    let cases = [
        ("POST /stock HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "411", "length-required"),
        (
            "POST /stock HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "411",
            "length-required",
        ),
        ("POST /stock HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", "400", ""),
        ("POST /stock HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n", "413", "body-too-large"),
        ("GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", "404", "unknown-route"),
        ("POST /orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n", "428", "key-missing"),
        ("GET /lookup HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", "404", "unknown-route"),
        ("nonsense\r\n\r\n", "400", ""),
    ];
    for (text, status, error) in cases {
        let answer = harness.exchange(text);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{text:?}: {answer:?}");
        assert!(answer.contains(error), "{text:?}: {answer:?}");
    }
    assert_eq!(harness.backend.served(), before, "no request ran");
}

/// Guards against callers that occupy connections forever by sending slowly, endlessly or nothing.
#[test]
fn slow_and_endless_senders_are_disconnected() {
    let harness = Harness::new(52);
    let slow_body = harness.exchange("POST /stock HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab");
    assert!(slow_body.starts_with("HTTP/1.1 408"), "{slow_body:?}");
    // A head that is never completed, or never ends, makes the daemon close the connection.
    assert_eq!(harness.exchange("GET /stock HTTP/1.1\r\n"), "");
    let endless = format!("GET /stock HTTP/1.1\r\nhost: x\r\nx: {}", "y".repeat(100_000));
    let mut stream = harness.connect();
    drop(stream.write_all(endless.as_bytes()));
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    assert!(!String::from_utf8_lossy(&answer).contains(" 200 "));
    // Silent callers that use up `max_connections` do not keep other callers out permanently.
    let silent: Vec<TcpStream> = (0..8).map(|_| harness.connect()).collect();
    assert!(
        harness.exchange("GET /stock HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").starts_with("HTTP/1.1 200")
    );
    drop(silent);
}

/// Guards against errors that state wrongly whether an order ran: after a wrong "not run" the caller would run it
/// twice.
#[rstest]
#[case::cut("{\"cut\":true}", 53, "502", "answer-cut")]
#[case::silent("{\"silent\":true}", 54, "504", "backend-timeout")]
#[case::shed("{\"shed\":true}", 55, "503", "not-run")]
#[case::dead("{\"dead\":true}", 56, "502", "backend-lost")]
fn an_order_that_went_wrong_gets_a_truthful_error(
    #[case] faults: &str,
    #[case] net: u8,
    #[case] status: &str,
    #[case] error: &str,
) {
    let harness = Harness::new(net);
    harness.backend.set_faults(serde_json::from_str(faults).expect("the faults are valid"));
    let answer = harness.exchange(
        "POST /orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer:?}");
    assert!(answer.contains(error), "{answer:?}");
    assert!(harness.backend.runs().get("k").copied().unwrap_or(0) <= 1);
}

/// A backend server's address can pass to another server, which then refuses requests as misdirected. Such a request
/// ran nowhere, so the caller may send it again.
#[test]
fn a_misdirected_order_is_not_run() {
    let harness = Harness::new(60);
    let order =
        "POST /orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n";
    harness.backend.set_faults(serde_json::from_str("{\"misdirected\":true}").expect("the faults are valid"));
    let refused = harness.exchange(order);
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("not-run"), "{refused:?}");
    assert_eq!(harness.backend.runs().get("k"), None);
    let daemon = harness.daemon.as_ref().expect("the daemon runs");
    assert!(daemon.context().metrics.misdirected.get() >= 1, "operators can tell it from a server that is away");
    harness.backend.set_faults(fakes::backend::Faults::default());
    // The order did not run: sent again, it runs as soon as the daemon uses the server again.
    let mut answers = (0..500).map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        harness.exchange(order)
    });
    let answer = answers.find(|answer| !answer.starts_with("HTTP/1.1 503"));
    assert!(answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")));
    assert_eq!(harness.backend.runs().get("k"), Some(&1));
}

/// Fault: the store is down. Orders whose key belongs to a session of this daemon need no claim and still run once; a
/// key of another incarnation's session is refused, since this daemon has no record of it.
#[test]
fn a_session_runs_orders_without_the_store() {
    let harness = Harness::new(57);
    let lookup = harness.look_up("GET /lookup HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let session = lookup
        .split("\"session\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .expect("the answer names a session");
    harness.store.set_faults(fakes::store::Faults { down: true, ..fakes::store::Faults::default() });
    let order = |session: &str| {
        harness.exchange(&format!("POST /orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\nidempotency-session: {session}\r\ncontent-length: 0\r\n\r\n"))
    };
    let first = order(session);
    assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
    assert_eq!(order(session), first, "the same answer, replayed");
    let foreign = order("0000000000000001");
    assert!(foreign.contains("already-claimed"), "{foreign:?}");
    assert_eq!(harness.backend.runs().get("k"), Some(&1));
}

/// Guards against a failed start whose error does not name the setting to change.
#[test]
fn an_address_in_use_is_named_in_the_error() {
    let harness = Harness::new(58);
    let text = format!(
        "instance = \"f\"\ndomain = \"d\"\nregion = \"r\"\n[callers]\naddress = \"{}\"\n[operators]\naddress = \"127.0.58.2:7100\"\n[fleet]\naddress = \"127.0.58.2:7200\"\n",
        harness.address
    );
    let settings = Settings::parse("test", &text).expect("the settings are valid");
    let error = Daemon::start(settings, Adapter::native()).expect_err("the address is in use").to_string();
    assert!(error.contains("callers.address") && error.contains(&harness.address), "{error}");
}

/// A logger that records the lines of all daemons in this process.
struct Recorder(Mutex<Vec<Line>>);

/// The sentence of a log line, and its fields by name.
type Line = (String, BTreeMap<String, String>);

static RECORDER: Recorder = Recorder(Mutex::new(Vec::new()));

struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields(BTreeMap::new());
        record.key_values().visit(&mut fields).expect("all fields can be read");
        self.0.lock().expect("no test panics with the lock held").push((record.args().to_string(), fields.0));
    }

    fn flush(&self) {}
}

/// Guards against decisions on a request that are missing from the log or logged twice, and against missing fields.
#[test]
fn each_decision_on_a_request_is_one_line_with_its_fields() {
    log::set_logger(&RECORDER).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Info);
    let harness = Harness::new(61);
    let get = "GET /stock HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert!(harness.exchange(get).starts_with("HTTP/1.1 200"));
    let incarnation = harness.daemon.as_ref().expect("the daemon runs").context().incarnation;
    drop(harness);
    // Daemons of other tests log here too, and requests that they started before the logger was set are logged only in
    // part. The incarnation in the request ids selects the lines of this daemon.
    let own_prefix = format!("{:08x}-", incarnation as u32);
    let lines: Vec<Line> = RECORDER.0.lock().expect("no test panics with the lock held").clone();
    let mut by_request: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines.iter().filter(|(_, fields)| fields.get("request").is_some_and(|id| id.starts_with(&own_prefix))) {
        by_request.entry(line.1["request"].as_str()).or_default().push(line);
    }
    let count = |lines: &[&Line], sentence: &str| lines.iter().filter(|(text, _)| text == sentence).count();
    let served = by_request
        .values()
        .find(|lines| lines.iter().any(|(_, fields)| fields.get("result").is_some_and(|result| result == "ok")));
    let served = served.expect("the request is logged");
    for sentence in ["dispatch: sent", "dispatch: attempt ended", "callers: answered"] {
        assert_eq!(count(served, sentence), 1, "{sentence}: {served:?}");
    }
    let fields_of = |sentence: &str| served.iter().find(|(text, _)| text == sentence).map(|(_, fields)| fields.clone());
    let sent = fields_of("dispatch: sent").expect("the line was counted before");
    for name in [
        "attempt",
        "server",
        "domain",
        "again",
        "own",
        "load",
        "pace",
        "told_ms",
        "waited_ms",
        "left_ms",
        "policy_ms",
        "agreed_ms",
    ] {
        assert!(sent.contains_key(name), "{name} is missing: {sent:?}");
    }
}

/// Guards against pipelined requests that are answered in the order in which they finish; here the first is slower.
#[test]
fn requests_sent_at_once_on_one_connection_are_answered_in_their_order() {
    let harness = Harness::new(59);
    let text = "GET /stock?work_ms=200 HTTP/1.1\r\nhost: x\r\nx-echo: slow\r\n\r\n\
GET /stock?work_ms=1 HTTP/1.1\r\nhost: x\r\nx-echo: quick\r\nconnection: close\r\n\r\n";
    let answers = harness.exchange(text);
    let (slow, quick) = (answers.find("echo=slow"), answers.find("echo=quick"));
    assert!(slow.is_some() && slow < quick, "{answers:?}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2);
}
