//! Load that backend servers tell with their answers.

use dispatch::backend::{BackendId, Report};
use h1::head;
use http::HeaderMap;

use crate::Context;

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    running: u32,
    waiting: u32,
    /// How long work takes there now, in hundredths of the usual.
    pace: u32,
}

/// Takes in the load told in the headers of an answer.
pub fn record(context: &Context, backend: BackendId, headers: &HeaderMap) {
    let Some(name) = &context.dialect.load else { return };
    let Some(told) = head::text(headers, name).and_then(parse) else { return };
    let now = context.now();
    log::debug!(backend, running = told.running, waiting = told.waiting, pace = told.pace; "dispatch: load told");
    let pace = f64::from(told.pace) / 100.0;
    let report = Report { load: told.running + told.waiting, draining: false, pace: Some(pace), at: now };
    context.driver.note_report(backend, report);
}

/// `running,waiting,slots[,pace]`
fn parse(text: &str) -> Option<Told> {
    let mut fields = text.split(',').map(|field| field.trim().parse::<u32>().ok());
    let (running, waiting, _slots) = (fields.next()??, fields.next()??, fields.next()??);
    let pace = fields.next().flatten().unwrap_or(100);
    Some(Told { running, waiting, pace })
}
