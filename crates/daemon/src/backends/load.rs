//! Load that backend servers report in the headers of their answers.

use dispatch::backend::{BackendId, Report};
use h1::head;
use http::HeaderMap;

use crate::Context;

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    /// How long work takes on the server now, in hundredths of the usual time.
    pace: u32,
}

/// Records the load that a server reported in the headers of an answer.
pub fn record(context: &Context, backend: BackendId, headers: &HeaderMap) {
    let Some(name) = &context.dialect.load else { return };
    let Some(reported) = head::text(headers, name).and_then(parse) else { return };
    let now = context.now();
    log::debug!(
        backend, running = reported.running, waiting = reported.waiting, pace = reported.pace;
        "dispatch: load reported"
    );
    let pace = f64::from(reported.pace) / 100.0;
    let report = Report { load: reported.running + reported.waiting, draining: false, pace: Some(pace), at: now };
    context.driver.record_report(backend, report);
}

/// Parses `running,waiting,slots[,pace]`. `pace` defaults to 100.
fn parse(text: &str) -> Option<ReportedLoad> {
    let mut fields = text.split(',').map(|field| field.trim().parse::<u32>().ok());
    let (running, waiting, _slots) = (fields.next()??, fields.next()??, fields.next()??);
    let pace = fields.next().flatten().unwrap_or(100);
    Some(ReportedLoad { running, waiting, pace })
}
