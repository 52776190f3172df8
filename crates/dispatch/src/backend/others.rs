//! The work of other daemons at a server, as answers to this daemon's own requests report it.

use std::time::Duration;

use base::time::Time;

/// Half-life of the reported work.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Time without a report after which the average fades. Without that, a server that gets nothing because it was busy could never
/// report that it is free.
const SILENCE: Duration = Duration::from_millis(500);
/// Weight of a new report in the average.
const EWMA_WEIGHT: f64 = 0.2;

/// The work of other daemons, in requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Others {
    /// The last report, with its time.
    reported: Option<(f64, Time)>,
    /// Running average of the reports.
    average: f64,
    /// What the other servers of the service suggest until there is a report.
    assumed: f64,
    /// The same long after the last report.
    assumed_in_silence: f64,
}

impl Others {
    /// Records a report.
    pub(super) fn record(&mut self, others: f64, at: Time) {
        self.average += EWMA_WEIGHT * (others - self.average);
        self.reported = Some((others, at));
    }

    /// Returns the average of the reports; `None` before the first one.
    pub(super) fn average(&self) -> Option<f64> {
        self.reported.map(|_| self.average)
    }

    /// Sets what is assumed without a report, and what is assumed long after the last one.
    pub(super) const fn assume(&mut self, others: f64, in_silence: f64) {
        self.assumed = others;
        self.assumed_in_silence = in_silence;
    }

    /// Returns what is assumed without a report.
    pub(super) const fn assumed(&self) -> f64 {
        self.assumed
    }

    /// Returns the last report, and its weight, which fades with its age.
    pub(super) fn reported_lately(&self, now: Time) -> (f64, f64) {
        self.reported.map_or((0.0, 0.0), |(others, at)| (half_lives(at, HALF_LIFE, now), others))
    }

    /// Returns the work by the reports; `None` before the first one. A report is current when it arrives and fades to the average,
    /// which fades to what is assumed then.
    pub(super) fn estimate(&self, now: Time) -> Option<f64> {
        let (reported, at) = self.reported?;
        let assumed = self.assumed_in_silence;
        let average = assumed + (self.average - assumed) * half_lives(at + SILENCE, SILENCE, now);
        Some(average + (reported - average) * half_lives(at, HALF_LIFE, now))
    }
}

/// Returns what is left after the time since `at`, of which `half_life` leaves a half.
fn half_lives(at: Time, half_life: Duration, now: Time) -> f64 {
    0.5_f64.powf(now.since(at).as_secs_f64() / half_life.as_secs_f64())
}
