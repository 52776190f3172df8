//! The era of a restored store in the answers to the client's calls.

use std::io::Write as _;
use std::time::Duration;

use fakes::script;
use rstest::rstest;
use store::{Call, Client, Codec, Error, Message, Reply, Result};

/// A wire format in which each call is named by its path, and the answer's body does not matter.
const CODEC: Codec = Codec { encode, decode, era_header: Some("x-era") };

fn encode(call: &Call) -> Result<Message> {
    let Call::Read(key) = call else { return Err(Error::Refused("only reads are used".to_owned())) };
    Ok(Message { method: http::Method::GET, target: format!("/{key}"), body: Vec::new() })
}

fn decode(_call: &Call, status: u16, _body: &[u8]) -> Result<Reply> {
    if status == 200 { Ok(Reply::Entry(None)) } else { Err(Error::Refused(format!("status {status}"))) }
}

fn read(key: &str) -> Call {
    Call::Read(key.to_owned())
}

/// Starts a store whose answers are named by the path: `/STATUS/ERA/DELAY_MS`; an empty era is left out.
fn start() -> String {
    script::listen_for_heads("127.0.0.1:0", |request, _, stream| {
        let target = request.line.split(' ').nth(1).unwrap_or_default();
        let mut parts = target.trim_start_matches('/').split('/');
        let (status, era, delay) = (parts.next(), parts.next(), parts.next());
        let delay = delay.and_then(|text| text.parse().ok()).unwrap_or(0);
        std::thread::sleep(Duration::from_millis(delay));
        let era = era.filter(|era| !era.is_empty()).map(|era| format!("X-Era: {era}\r\n")).unwrap_or_default();
        let status = status.unwrap_or("200");
        write!(stream, "HTTP/1.1 {status} X\r\n{era}Content-Length: 0\r\n\r\n").is_ok()
    })
}

/// Returns a client of such a store.
fn client(runtime: &tokio::runtime::Runtime) -> Client {
    Client::with_runtime(CODEC, &start(), Duration::from_secs(5), runtime.handle().clone())
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("threads can be started")
}

/// The era counts also if the store refuses the call.
#[rstest]
#[case("200")]
#[case("410")]
#[case("412")]
#[case("429")]
#[case("503")]
fn every_answer_tells_the_era(#[case] status: &str) {
    let runtime = runtime();
    let client = client(&runtime);
    let result = runtime.block_on(client.call(&read(&format!("{status}/7"))));
    assert_eq!(result.is_ok(), status == "200");
    assert_eq!(client.era(), 7);
    let unreadable = runtime.block_on(client.call(&read("200/seven")));
    assert_eq!(unreadable.map(|answer| answer.era), Ok(7), "an era that cannot be read changes nothing");
}

/// Guards against an answer of the store that is none: it may have been to a call that took effect, and tells no era.
#[rstest]
#[case("000")]
#[case("099")]
#[case("600")]
#[case("2000")]
#[case("20")]
fn an_answer_with_an_invalid_status_is_none(#[case] status: &str) {
    let runtime = runtime();
    let client = client(&runtime);
    let result = runtime.block_on(client.call(&read(&format!("{status}/7"))));
    assert!(matches!(result, Err(Error::Ambiguous(_))), "{result:?}");
    assert_eq!(client.era(), 0);
}

/// Fault: an answer from before a restore arrives after one from after it.
#[rstest]
#[case::named("200/1/300")]
#[case::without_an_era("200//300")]
fn a_late_answer_of_an_earlier_era_is_an_error(#[case] late: &str) {
    let runtime = runtime();
    let client = client(&runtime);
    runtime.block_on(async {
        assert_eq!(client.call(&read("200/1")).await.map(|answer| answer.era), Ok(1));
        let (late, early) = (read(late), read("200/2"));
        let (late, early) = tokio::join!(client.call(&late), client.call(&early));
        assert_eq!(early.map(|answer| answer.era), Ok(2));
        assert_eq!(late, Err(Error::Outdated { era: 1, newest: 2 }));
    });
}
