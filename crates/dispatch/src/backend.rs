//! The state of a backend server as one daemon observes it. Own observations take precedence over reports, which
//! arrive late.

mod health;
mod limiter;
mod others;
pub mod pace;
mod spec;

use std::time::Duration;

use base::rate::Bucket;
use base::time::Time;

use self::limiter::Limiter;
use self::others::Others;
use self::pace::Pace;
use crate::announcements::Announcement;

pub use self::limiter::share;
pub use self::spec::{BackendId, Place, Position, Report, SlowStart, Spec};

/// Maximum age of a report that counts as current, that is, as part of the answer that is being processed.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(50);
/// Age at which a report without a pace no longer says anything about the work of other daemons.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Weight of a new report in the running average of the load.
const REPORT_EWMA_WEIGHT: f64 = 0.3;
/// Time over which this daemon's attempts in flight are averaged.
const IN_FLIGHT_WINDOW: Duration = Duration::from_secs(3);
/// Number of answers after which a new server gets one more slot.
const ANSWERS_PER_SLOT: u32 = 2;
/// Burst of requests that one daemon may send to a server in slow start.
const COLD_BURST: f64 = 1.0;
/// Half-life of a reported pace: what else runs on the server's machine changes.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Load, as a multiple of the slots, by which a server that has just started shows that it falls behind.
const CROWDED: f64 = 2.0;

/// Returns the rate, in requests per second, and the burst that this daemon may send the server in slow start.
fn slow_start_rate(spec: &Spec) -> (f64, f64) {
    let per_second = spec.slow_start.map_or(0.0, |start| start.per_second);
    (per_second, if per_second > 0.0 { COLD_BURST } else { 0.0 })
}

/// A backend server.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each is observed or announced on its own")]
pub struct Backend {
    /// What is declared of the server.
    pub spec: Spec,
    /// This daemon's attempts in flight.
    pub in_flight: u32,
    /// Those of them whose class may wait.
    pub waiting_in_flight: u32,
    /// Those of them that are late.
    pub late: u32,
    report: Option<Report>,
    /// Running average of the load in reports without a pace, in requests.
    average_load: f64,
    /// Running average of this daemon's attempts in flight.
    average_in_flight: f64,
    average_updated_at: Time,
    /// Running average of the latency, as a multiple of the typical latency.
    latency_ratio: f64,
    late_in_row: u32,
    lost_in_row: u32,
    /// Ejections in a row.
    ejections: u32,
    /// No work is sent before this time, as the server was ejected or shed a request.
    unavailable_until: Time,
    /// Whether the server was ejected and has not answered a trial request since.
    on_probation: bool,
    /// Whether the last ejection was for late answers; the server could be reached then.
    ejected_as_slow: bool,
    /// What the server last announced.
    announcement: Announcement,
    /// Whether it has announced that it is leaving.
    announced_leaving: bool,
    /// Whether it is coming back from a pause and gets its work back gradually.
    resuming: bool,
    /// Answers since the last failure or pause.
    answers: u32,
    /// Limits the rate of requests to a server in slow start.
    slow_start_bucket: Bucket,
    /// Part of its objects that the server gets while it has just started or recovered.
    pace_of_start: Pace,
    /// Limits the rate of requests while the server states a limit.
    limiter: Limiter,
    /// Last reported pace: how long work takes, as a multiple of the usual time.
    pace: f64,
    pace_reported_at: Time,
    /// Work of other daemons.
    others: Others,
}

impl Backend {
    /// Creates a server without observations; it gets its work gradually.
    pub fn new(spec: Spec, now: Time) -> Self {
        let (per_second, burst) = slow_start_rate(&spec);
        Self {
            limiter: Limiter::new(spec.position, now),
            pace_of_start: Self::first_pace(&spec, now),
            spec,
            slow_start_bucket: Bucket::new(per_second, burst, now),
            pace: 1.0,
            pace_reported_at: Time::ZERO,
            others: Others::default(),
            in_flight: 0,
            waiting_in_flight: 0,
            late: 0,
            report: None,
            average_load: 0.0,
            average_in_flight: 0.0,
            average_updated_at: Time::ZERO,
            latency_ratio: 1.0,
            late_in_row: 0,
            lost_in_row: 0,
            ejections: 0,
            unavailable_until: Time::ZERO,
            on_probation: false,
            ejected_as_slow: false,
            announcement: Announcement::default(),
            announced_leaving: false,
            resuming: false,
            answers: 0,
        }
    }

    /// Returns the pace of a server that is seen for the first time: one that is still starting gets its work gradually.
    fn first_pace(spec: &Spec, now: Time) -> Pace {
        let start = spec.slow_start.filter(|start| start.learns_pace && now < start.until);
        start.map_or(Pace::FULL, |start| Pace::from_start(start.until))
    }

    /// Returns the part of its objects that the server gets at `now`, from 0 to 1.
    pub fn part(&self, now: Time) -> f64 {
        self.pace_of_start.part(now)
    }

    /// Replaces what is declared of the server; observations stay.
    pub fn update_spec(&mut self, spec: Spec, now: Time) {
        let (per_second, burst) = slow_start_rate(&spec);
        self.slow_start_bucket.set_rate(per_second, burst, now);
        // A daemon that becomes a starter has no request saved up: its predecessor may just have sent its own.
        let starts = |spec: &Spec| spec.slow_start.is_some_and(|start| start.starter);
        if starts(&spec) && !starts(&self.spec) {
            let level = self.slow_start_bucket.level(now).max(0.0);
            self.slow_start_bucket.charge(level, now);
        }
        self.limiter.set_position(spec.position, now);
        self.spec = spec;
    }

    /// Records a load report; an older one than the last changes nothing.
    pub fn record_report(&mut self, report: Report) {
        if self.report.is_some_and(|known| known.at > report.at) {
            return;
        }
        if let Some(pace) = report.pace {
            self.apply_answer_report(report, pace);
            return;
        }
        let load = f64::from(report.load);
        let weight = if self.report.is_some() { REPORT_EWMA_WEIGHT } else { 1.0 };
        self.average_load += weight * (load - self.average_load);
        self.report = Some(report);
    }

    /// Records a report that arrived with the answer to one of our attempts; its load still includes that attempt.
    fn apply_answer_report(&mut self, report: Report, pace: f64) {
        let others = (f64::from(report.load) - f64::from(self.in_flight)).max(0.0);
        if f64::from(report.load) >= f64::from(self.spec.slots) * CROWDED {
            self.pace_of_start.record_failure(report.at);
        }
        self.others.record(others, report.at);
        self.pace = pace;
        self.pace_reported_at = report.at;
        self.report = Some(report);
    }

    /// Returns the average work of other daemons; `None` until an answer has reported it.
    pub fn average_others(&self) -> Option<f64> {
        self.others.average()
    }

    /// Returns the work of other daemons by the last report in an answer, and its weight, which fades with its age.
    pub fn reported_lately(&self, now: Time) -> (f64, f64) {
        self.others.reported_lately(now)
    }

    /// Sets the assumed work of other daemons until an answer has reported it, and once that is long ago.
    pub const fn assume_others(&mut self, others: f64, in_silence: f64) {
        self.others.assume(others, in_silence);
    }

    /// Returns when the server last reported its load; `None` if it never did.
    pub fn reported_at(&self) -> Option<Time> {
        self.report.map(|report| report.at)
    }

    /// Returns how long work takes at the server, as a multiple of the usual time; an old report fades towards 1.
    pub fn pace(&self, now: Time) -> f64 {
        let half_lives = now.since(self.pace_reported_at).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (self.pace - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Returns whether slow start allows a request now. It applies to a new server, and to an ejected one that may
    /// have restarted.
    pub fn admits(&self, now: Time) -> bool {
        let starter_elsewhere = self.spec.slow_start.is_some_and(|start| now < start.until && !start.starter);
        !starter_elsewhere && (!self.in_slow_start(now) || self.slow_start_bucket.clone().level(now) >= 1.0)
    }

    fn in_slow_start(&self, now: Time) -> bool {
        self.spec.slow_start.is_some_and(|start| now < start.until || self.on_probation)
    }

    /// Records that an attempt of this daemon starts.
    pub fn record_start(&mut self, may_wait: bool, now: Time) {
        self.update_average(now);
        if self.in_slow_start(now) {
            self.slow_start_bucket.charge(1.0, now);
        }
        self.limiter.charge(now);
        self.in_flight += 1;
        self.waiting_in_flight += u32::from(may_wait);
    }

    /// Records that an attempt of this daemon ended; `late` if it was recorded as late.
    pub fn record_end(&mut self, may_wait: bool, late: bool, now: Time) {
        self.update_average(now);
        self.in_flight -= 1;
        self.waiting_in_flight -= u32::from(may_wait);
        self.late -= u32::from(late);
    }

    /// Averages this daemon's attempts in flight over about the same time as the reports.
    fn update_average(&mut self, now: Time) {
        let elapsed = now.since(self.average_updated_at).as_secs_f64() / IN_FLIGHT_WINDOW.as_secs_f64();
        self.average_in_flight += (1.0 - (-elapsed).exp()) * (f64::from(self.in_flight) - self.average_in_flight);
        self.average_updated_at = now;
    }

    /// Applies the server's latest announcement.
    pub fn apply_announcement(&mut self, announcement: Announcement, now: Time) {
        if announcement.paused_until() > self.announcement.paused_until() && announcement.paused_until() > now {
            self.resuming = true;
            self.answers = 0;
        }
        if let Some(limit) = announcement.rate_limit()
            && self.announcement.rate_limit() != Some(limit)
        {
            self.limiter.set_limit(limit, now);
        }
        self.announced_leaving = announcement.is_leaving(now);
        self.announcement = announcement;
    }

    /// Returns whether the server takes no new work for good: it is drained or removed, or has announced or reported
    /// that it stops.
    pub fn leaving(&self) -> bool {
        self.spec.leaving || self.announced_leaving || self.report.is_some_and(|report| report.draining)
    }

    /// Returns whether the server gets no work at `now`, because of our observations, an announced pause or its rate
    /// limit.
    pub fn unavailable(&self, now: Time) -> bool {
        self.ejected(now) || self.paused(now) || !self.limiter.admits(now)
    }

    /// Returns whether the server gets no work for longer than the moment after it has turned a request away.
    pub fn out_of_use(&self, now: Time) -> bool {
        (self.on_probation && self.ejected(now)) || self.paused(now) || !self.limiter.admits(now)
    }

    /// Returns whether the server's rate limit applies at `now`.
    pub fn rate_limited(&self, now: Time) -> bool {
        self.limiter.applies(now)
    }

    /// Returns the requests per second that this daemon may send while the rate limit applies.
    pub fn rate_share(&self) -> f64 {
        self.limiter.per_second()
    }

    /// Returns when the rate limit leaves this daemon room for a request; in the past if there is room or no limit,
    /// `Time::MAX` if it sends none while the limit applies.
    pub fn rate_room_at(&self, now: Time) -> Time {
        self.limiter.room_at(now)
    }

    /// Returns the number of requests for which the rate limit leaves this daemon room until `until`.
    pub fn rate_room(&self, until: Time, now: Time) -> f64 {
        self.limiter.room(until, now)
    }

    /// Returns whether the server is ejected at `now`, or has just shed a request.
    pub fn ejected(&self, now: Time) -> bool {
        now < self.unavailable_until
    }

    /// Returns whether the server has announced a pause that covers `now`.
    pub fn paused(&self, now: Time) -> bool {
        now < self.announcement.paused_until()
    }

    /// Returns the end of the announced pause; in the past if there is none.
    pub const fn paused_until(&self) -> Time {
        self.announcement.paused_until()
    }

    /// Returns when the server can get work again, as far as known.
    pub fn available_at(&self, now: Time) -> Time {
        self.unavailable_until.max(self.announcement.paused_until()).max(self.limiter.fleet_room_at(now))
    }

    /// Returns whether the server has as many of our attempts as it may have so soon after a pause. Without this
    /// limit, all daemons together would fill it at once.
    pub fn at_resume_limit(&self) -> bool {
        self.resuming && self.in_flight >= self.limit()
    }

    /// Returns the end of the last ejection or pause after a shed request.
    pub const fn unavailable_until(&self) -> Time {
        self.unavailable_until
    }

    /// Returns whether the server is on probation: it is ejected, or was and has not passed its trial yet.
    pub fn suspect(&self) -> bool {
        self.on_probation
    }

    /// Returns the maximum number of attempts of this daemon in flight.
    pub fn limit(&self) -> u32 {
        if self.on_probation {
            return 1;
        }
        self.spec.slots.min(1 + self.answers / ANSWERS_PER_SLOT)
    }

    /// Returns the work of other daemons at the server, in requests, as far as known.
    ///
    /// A report that arrived with an answer is current and fades to the average. Any other report is old when it
    /// arrives, and as work is short it does not show the current load, so its average fades with its age.
    pub fn others(&self, now: Time) -> f64 {
        if let Some(others) = self.others.estimate(now) {
            return others;
        }
        let Some(report) = self.report else { return self.others.assumed() };
        let age = now.since(report.at).as_secs_f64() / REPORT_MAX_AGE.as_secs_f64();
        (self.average_load - self.average_in_flight).max(0.0) * (1.0 - age).max(0.0)
    }

    /// Returns all work at the server, in requests, as far as known.
    pub fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Returns whether the server has just reported that it has a free slot.
    pub fn reports_free_slot(&self, now: Time) -> bool {
        let fresh = self.reported_at().is_some_and(|at| now.since(at) < FRESH_REPORT_AGE);
        fresh && self.load(now) < f64::from(self.spec.slots)
    }
}
