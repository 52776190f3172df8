//! A backend server as one daemon sees it: own observations first, late reports second.

mod spec;

use std::time::Duration;

use base::rate::Bucket;
use base::time::Time;

use crate::announcements::Announcement;

pub use self::spec::{BackendId, Place, Report, SlowStart, Spec};

/// Late answers in a row after which a server is ejected.
const LATE_EJECTION_THRESHOLD: u32 = 2;
/// The same where attempts are about objects, and no answer at all came meanwhile: such work is often late because
/// it waits or because its object is new there, and moving the objects of a server that answers makes more of it.
const KEYED_LATE_EJECTION_THRESHOLD: u32 = 6;
/// Answers lost in a row after which a server is ejected: one alone may be the network's doing, and a server that
/// is gone loses all or cannot be reached.
const LOST_EJECTION_THRESHOLD: u32 = 2;
/// First time of an ejection; it doubles with each one in a row.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Longest time of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time without work after a shed request.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Age up to which a report came with the answer that is judged.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(50);
/// Age at which a report of others' work counts for nothing.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Part of a new report in the running average.
const REPORT_EWMA_WEIGHT: f64 = 0.3;
/// Time over which our own attempts in flight are averaged.
const IN_FLIGHT_WINDOW: Duration = Duration::from_secs(3);
/// Answers for each further slot a starting server gets.
const ANSWERS_PER_SLOT: u32 = 2;
/// Part of a new latency in the running average.
const LATENCY_EWMA_WEIGHT: f64 = 0.3;
/// Largest ratio a single latency counts for, so that one straggler does not condemn a server.
const MAX_LATENCY_RATIO: f64 = 8.0;
/// Requests that one daemon sends at once to a server that starts cold.
const COLD_BURST: f64 = 1.0;
/// Time for which a server's word on its pace holds by half: neighbours come and go.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Time for which a server's word on the work of other daemons holds by half.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(300);
/// Time without a word from a server after which what it usually has from others counts less and less: a server
/// that is sent nothing because it was busy could never tell that it is free.
const REPORT_SILENCE: Duration = Duration::from_millis(500);
/// Part of a new word on the work of other daemons in its average.
const OTHERS_EWMA_WEIGHT: f64 = 0.2;

/// Requests a second and at once that this daemon may send the server while it starts.
fn slow_start_rate(spec: &Spec) -> (f64, f64) {
    let per_second = spec.slow_start.map_or(0.0, |start| start.per_second);
    (per_second, if per_second > 0.0 { COLD_BURST } else { 0.0 })
}

/// A backend server.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each is seen or said on its own")]
pub struct Backend {
    /// What is declared of it.
    pub spec: Spec,
    /// Our attempts in flight.
    pub in_flight: u32,
    /// Our attempts in flight that may wait.
    pub waiting_in_flight: u32,
    /// Our attempts in flight that are late.
    pub late: u32,
    report: Option<Report>,
    /// Running average of the reported load, in requests.
    average_load: f64,
    /// Running average of our own attempts in flight, in requests.
    average_in_flight: f64,
    average_updated_at: Time,
    latency_ratio: f64,
    late_in_row: u32,
    lost_in_row: u32,
    ejections: u32,
    /// No work before this time.
    unavailable_until: Time,
    /// Whether the server must prove itself with one request.
    on_probation: bool,
    /// Whether it was ejected last because its answers were late; it could be reached.
    ejected_as_slow: bool,
    /// What the server said of itself.
    announcement: Announcement,
    /// Whether it said that it leaves.
    announced_leaving: bool,
    /// Whether it takes work again after a pause, little by little.
    resuming: bool,
    answers: u32,
    /// Paces the requests to a server that starts.
    slow_start_bucket: Bucket,
    pace: f64,
    pace_reported_at: Time,
    /// Work of other daemons as the last answer told it, and on average.
    reported_others: Option<(f64, Time)>,
    average_others: f64,
    /// What its others' work is taken to be before an answer told it: that of the servers like it.
    assumed_others: f64,
}

impl Backend {
    /// A server that nothing is known of; it starts slowly.
    pub fn new(spec: Spec, now: Time) -> Self {
        let (per_second, burst) = slow_start_rate(&spec);
        Self {
            spec,
            slow_start_bucket: Bucket::new(per_second, burst, now),
            pace: 1.0,
            pace_reported_at: Time::ZERO,
            reported_others: None,
            average_others: 0.0,
            assumed_others: 0.0,
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

    /// Takes what is declared of it now; what was seen of it stays.
    pub fn update_spec(&mut self, spec: Spec, now: Time) {
        let (per_second, burst) = slow_start_rate(&spec);
        self.slow_start_bucket.set_rate(per_second, burst, now);
        self.spec = spec;
    }

    /// Takes in a load report; an older one than known changes nothing.
    pub fn report(&mut self, report: Report) {
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

    /// Takes in a report that came with the answer to one of our attempts, which it counts.
    fn apply_answer_report(&mut self, report: Report, pace: f64) {
        let others = (f64::from(report.load) - f64::from(self.in_flight)).max(0.0);
        self.average_others += OTHERS_EWMA_WEIGHT * (others - self.average_others);
        self.reported_others = Some((others, report.at));
        self.pace = pace;
        self.pace_reported_at = report.at;
        self.report = Some(report);
    }

    /// The work of other daemons there on average, if its answers told it.
    pub fn average_others(&self) -> Option<f64> {
        self.reported_others.map(|_| self.average_others)
    }

    /// Takes the work of other daemons there to be `others` as long as no answer has told it.
    pub const fn assume_others(&mut self, others: f64) {
        self.assumed_others = others;
    }

    /// When it last told its load.
    pub fn reported_at(&self) -> Option<Time> {
        self.report.map(|report| report.at)
    }

    /// How long work takes there, as a multiple of the usual, as far as its last word still tells.
    pub fn pace(&self, now: Time) -> f64 {
        let half_lives = now.since(self.pace_reported_at).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (self.pace - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Whether a server that starts, or may have started anew, can be sent a request now.
    pub fn admits(&self, now: Time) -> bool {
        let starter_elsewhere = self.spec.slow_start.is_some_and(|start| now < start.until && !start.starter);
        !starter_elsewhere && (!self.in_slow_start(now) || self.slow_start_bucket.clone().level(now) >= 1.0)
    }

    fn in_slow_start(&self, now: Time) -> bool {
        self.spec.slow_start.is_some_and(|start| now < start.until || self.on_probation)
    }

    /// One of our attempts starts there.
    pub fn record_start(&mut self, may_wait: bool, now: Time) {
        self.update_average(now);
        if self.in_slow_start(now) {
            self.slow_start_bucket.charge(1.0, now);
        }
        self.in_flight += 1;
        self.waiting_in_flight += u32::from(may_wait);
    }

    /// One of our attempts ended there.
    pub fn record_end(&mut self, may_wait: bool, late: bool, now: Time) {
        self.update_average(now);
        self.in_flight -= 1;
        self.waiting_in_flight -= u32::from(may_wait);
        self.late -= u32::from(late);
    }

    /// Averages our own attempts over about the time that reports are averaged over.
    fn update_average(&mut self, now: Time) {
        let elapsed = now.since(self.average_updated_at).as_secs_f64() / IN_FLIGHT_WINDOW.as_secs_f64();
        self.average_in_flight += (1.0 - (-elapsed).exp()) * (f64::from(self.in_flight) - self.average_in_flight);
        self.average_updated_at = now;
    }

    /// Takes in what the server says of itself.
    pub fn apply_announcement(&mut self, announcement: Announcement, now: Time) {
        if announcement.paused_until() > self.announcement.paused_until() && announcement.paused_until() > now {
            self.resuming = true;
            self.answers = 0;
        }
        self.announced_leaving = announcement.is_leaving(now);
        self.announcement = announcement;
    }

    /// Whether it takes no new work for good.
    pub fn leaving(&self) -> bool {
        self.spec.leaving || self.announced_leaving || self.report.is_some_and(|report| report.draining)
    }

    /// Whether it takes no work at `now` because of what we saw or it said.
    pub fn unavailable(&self, now: Time) -> bool {
        self.ejected(now) || self.paused(now)
    }

    /// Whether it is ejected or shed work a moment before `now`.
    pub fn ejected(&self, now: Time) -> bool {
        now < self.unavailable_until
    }

    /// Whether it said that it wants nothing at `now`.
    pub fn paused(&self, now: Time) -> bool {
        now < self.announcement.paused_until()
    }

    /// Until when it wants nothing; in the past if it takes work.
    pub const fn paused_until(&self) -> Time {
        self.announcement.paused_until()
    }

    /// When it takes work again, as far as known.
    pub fn available_at(&self) -> Time {
        self.unavailable_until.max(self.announcement.paused_until())
    }

    /// Whether it has as much of ours as it may have so soon after a pause: many that send to it again at once would
    /// fill it at once.
    pub fn at_resume_limit(&self) -> bool {
        self.resuming && self.in_flight >= self.limit()
    }

    /// Until when it takes no work because of what we saw.
    pub const fn unavailable_until(&self) -> Time {
        self.unavailable_until
    }

    /// Whether it is ejected, or was and must prove itself.
    pub fn suspect(&self) -> bool {
        self.on_probation
    }

    /// Attempts of ours it may have at once.
    pub fn limit(&self) -> u32 {
        if self.on_probation {
            return 1;
        }
        self.spec.slots.min(1 + self.answers / ANSWERS_PER_SLOT)
    }

    /// The work of other daemons there, as far as known.
    ///
    /// A report that came with an answer tells of the moment and fades to the average. Any other is old when it
    /// comes, and work is short, so it says nothing of the moment: its average fades with its age.
    pub fn others(&self, now: Time) -> f64 {
        if let Some((reported, at)) = self.reported_others {
            let age = now.since(at);
            let half_lives = age.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
            let silence = age.saturating_sub(REPORT_SILENCE).as_secs_f64() / REPORT_SILENCE.as_secs_f64();
            let average = self.average_others * 0.5_f64.powf(silence);
            return average + (reported - average) * 0.5_f64.powf(half_lives);
        }
        let Some(report) = self.report else { return self.assumed_others };
        let age = now.since(report.at).as_secs_f64() / REPORT_MAX_AGE.as_secs_f64();
        (self.average_load - self.average_in_flight).max(0.0) * (1.0 - age).max(0.0)
    }

    /// All work there, as far as known.
    pub fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Whether it told just now that it has a slot free.
    pub fn reports_free_slot(&self, now: Time) -> bool {
        let fresh = self.reported_at().is_some_and(|at| now.since(at) < FRESH_REPORT_AGE);
        fresh && self.load(now) < f64::from(self.spec.slots)
    }

    /// How long work takes there, relative to what is typical.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio.max(1.0) + f64::from(self.late)
    }

    /// An attempt was answered after `ratio` times the typical latency; `late` if it was noted as late before,
    /// `keyed` if it was about an object.
    pub fn record_answer(&mut self, ratio: f64, late: bool, keyed: bool, now: Time) {
        self.answers = self.answers.saturating_add(1);
        self.resuming &= self.limit() < self.spec.slots;
        self.lost_in_row = 0;
        if keyed {
            self.late_in_row = 0;
        }
        self.latency_ratio += LATENCY_EWMA_WEIGHT * (ratio.min(MAX_LATENCY_RATIO) - self.latency_ratio);
        if late {
            return;
        }
        self.late_in_row = 0;
        if self.on_probation && now >= self.unavailable_until {
            self.on_probation = false;
            self.ejections = 0;
            self.latency_ratio = self.latency_ratio.min(ratio.max(1.0));
        }
    }

    /// An attempt is late now, while it still runs. A server that cannot be done without is not ejected for it.
    pub fn record_late(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.late += 1;
        self.late_in_row += 1;
        let threshold = if keyed { KEYED_LATE_EJECTION_THRESHOLD } else { LATE_EJECTION_THRESHOLD };
        if may_eject && (self.on_probation || self.late_in_row >= threshold) {
            self.eject(now);
            self.ejected_as_slow = true;
        }
    }

    /// Takes a server that was ejected for late answers back at once; says whether that changed anything.
    pub fn reinstate(&mut self, now: Time) -> bool {
        let reinstated = self.ejected_as_slow && self.ejected(now);
        if reinstated {
            self.on_probation = false;
            self.ejections = 0;
            self.unavailable_until = now;
        }
        reinstated
    }

    /// An attempt ended by its deadline before it was noted as late.
    pub fn record_late_end(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.record_late(may_eject, keyed, now);
        self.late -= 1;
    }

    /// The answer to an attempt was lost or cut short.
    pub fn record_loss(&mut self, now: Time) {
        self.lost_in_row += 1;
        if self.on_probation || self.lost_in_row >= LOST_EJECTION_THRESHOLD {
            self.record_failure(now);
        }
    }

    /// The server could not be reached, or is taken to be gone.
    pub fn record_failure(&mut self, now: Time) {
        self.answers = 0;
        self.lost_in_row = 0;
        self.eject(now);
    }

    /// The server shed an attempt. One that has a slot free, as it told with that answer, refused this request and not
    /// work; work on objects, if `keyed`, stays with it then.
    pub fn record_shed(&mut self, keyed: bool, now: Time) {
        if keyed && self.reports_free_slot(now) {
            return;
        }
        self.unavailable_until = self.unavailable_until.max(now + SHED_PAUSE);
    }

    fn eject(&mut self, now: Time) {
        if self.ejected(now) && self.on_probation {
            return;
        }
        let duration = BASE_EJECTION.saturating_mul(1 << self.ejections.min(5)).min(MAX_EJECTION);
        self.ejections += 1;
        self.on_probation = true;
        if let Some(start) = self.spec.slow_start.filter(|start| !start.starter) {
            // All daemons may eject it at once: their tries are spread over the time in which it bears them.
            let level = self.slow_start_bucket.level(now);
            self.slow_start_bucket.charge(level + start.phase, now);
        }
        self.late_in_row = 0;
        self.ejected_as_slow = false;
        self.unavailable_until = now + duration;
    }
}
