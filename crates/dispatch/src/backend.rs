//! A backend server as one daemon sees it: own observations first, late reports second.

mod spec;

use std::time::Duration;

use base::rate::Bucket;
use base::time::Time;

use crate::announcements::Announcement;

pub use self::spec::{BackendId, Place, Report, SlowStart, Spec};

/// Late answers in a row after which a server is ejected.
const LATE_IN_ROW: u32 = 2;
/// The same where attempts are about objects, and no answer at all came meanwhile: such work is often late because
/// it waits or because its object is new there, and moving the objects of a server that answers makes more of it.
const SILENT_IN_ROW: u32 = 6;
/// Answers lost in a row after which a server is ejected: one alone may be the network's doing, and a server that
/// is gone loses all or cannot be reached.
const LOST_IN_ROW: u32 = 2;
/// First time of an ejection; it doubles with each one in a row.
const EJECTION: Duration = Duration::from_secs(1);
/// Longest time of an ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time without work after a shed request.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Age up to which a report came with the answer that is judged.
const FRESH: Duration = Duration::from_millis(50);
/// Age at which a report of others' work counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(10);
/// Part of a new report in the running average.
const REPORT_PART: f64 = 0.3;
/// Time over which our own attempts in flight are averaged.
const OWN_WINDOW: Duration = Duration::from_secs(3);
/// Answers for each further slot a starting server gets.
const ANSWERS_PER_SLOT: u32 = 2;
/// Part of a new latency in the running average.
const NEW_PART: f64 = 0.3;
/// Largest ratio a single latency counts for, so that one straggler does not condemn a server.
const MOST_RATIO: f64 = 8.0;
/// Requests that one daemon sends at once to a server that starts cold.
const COLD_BURST: f64 = 1.0;
/// Time for which a server's word on its pace holds by half: neighbours come and go.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Time for which a server's word on the work of other daemons holds by half.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(300);
/// Time without a word from a server after which what it usually has from others counts less and less: a server
/// that is sent nothing because it was busy could never tell that it is free.
const WORD_LIFE: Duration = Duration::from_millis(500);
/// Part of a new word on the work of other daemons in its average.
const OTHERS_PART: f64 = 0.2;

/// Requests a second and at once that this daemon may send the server while it starts.
fn pressure(spec: &Spec) -> (f64, f64) {
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
    reported: f64,
    /// Running average of our own attempts in flight, in requests.
    own: f64,
    own_noted: Time,
    ratio: f64,
    late_in_row: u32,
    lost_in_row: u32,
    ejections: u32,
    /// No work before this time.
    closed_until: Time,
    /// Whether the server must prove itself with one request.
    trial: bool,
    /// Whether it was ejected last because its answers were late; it could be reached.
    slow: bool,
    /// What the server said of itself.
    word: Announcement,
    /// Whether it said that it leaves.
    left: bool,
    /// Whether it takes work again after a pause, little by little.
    resuming: bool,
    answered: u32,
    /// Paces the requests to a server that starts.
    gate: Bucket,
    pace: f64,
    pace_noted: Time,
    /// Work of other daemons as the last answer told it, and on average.
    told_others: Option<(f64, Time)>,
    usual_others: f64,
    /// What its others' work is taken to be before an answer told it: that of the servers like it.
    assumed_others: f64,
}

impl Backend {
    /// A server that nothing is known of; it starts slowly.
    pub fn new(spec: Spec, now: Time) -> Self {
        let (per_second, burst) = pressure(&spec);
        Self {
            spec,
            gate: Bucket::new(per_second, burst, now),
            pace: 1.0,
            pace_noted: Time::ZERO,
            told_others: None,
            usual_others: 0.0,
            assumed_others: 0.0,
            in_flight: 0,
            waiting_in_flight: 0,
            late: 0,
            report: None,
            reported: 0.0,
            own: 0.0,
            own_noted: Time::ZERO,
            ratio: 1.0,
            late_in_row: 0,
            lost_in_row: 0,
            ejections: 0,
            closed_until: Time::ZERO,
            trial: false,
            slow: false,
            word: Announcement::default(),
            left: false,
            resuming: false,
            answered: 0,
        }
    }

    /// Takes what is declared of it now; what was seen of it stays.
    pub fn declare(&mut self, spec: Spec, now: Time) {
        let (per_second, burst) = pressure(&spec);
        self.gate.set_rate(per_second, burst, now);
        self.spec = spec;
    }

    /// Takes in a load report; an older one than known changes nothing.
    pub fn report(&mut self, report: Report) {
        if self.report.is_some_and(|known| known.at > report.at) {
            return;
        }
        if let Some(pace) = report.pace {
            self.tell(report, pace);
            return;
        }
        let load = f64::from(report.load);
        let part = if self.report.is_some() { REPORT_PART } else { 1.0 };
        self.reported += part * (load - self.reported);
        self.report = Some(report);
    }

    /// Takes in a report that came with the answer to one of our attempts, which it counts.
    fn tell(&mut self, report: Report, pace: f64) {
        let others = (f64::from(report.load) - f64::from(self.in_flight)).max(0.0);
        self.usual_others += OTHERS_PART * (others - self.usual_others);
        self.told_others = Some((others, report.at));
        self.pace = pace;
        self.pace_noted = report.at;
        self.report = Some(report);
    }

    /// The work of other daemons there on average, if its answers told it.
    pub fn usual_others(&self) -> Option<f64> {
        self.told_others.map(|_| self.usual_others)
    }

    /// Takes the work of other daemons there to be `others` as long as no answer has told it.
    pub const fn assume_others(&mut self, others: f64) {
        self.assumed_others = others;
    }

    /// When it last told its load.
    pub fn told(&self) -> Option<Time> {
        self.report.map(|report| report.at)
    }

    /// How long work takes there, as a multiple of the usual, as far as its last word still tells.
    pub fn pace(&self, now: Time) -> f64 {
        let halves = now.since(self.pace_noted).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (self.pace - 1.0) * 0.5_f64.powf(halves)
    }

    /// Whether a server that starts, or may have started anew, can be sent a request now.
    pub fn admits(&self, now: Time) -> bool {
        let left_to_others = self.spec.slow_start.is_some_and(|start| now < start.until && !start.starter);
        !left_to_others && (!self.starts(now) || self.gate.clone().level(now) >= 1.0)
    }

    fn starts(&self, now: Time) -> bool {
        self.spec.slow_start.is_some_and(|start| now < start.until || self.trial)
    }

    /// One of our attempts starts there.
    pub fn start(&mut self, waits: bool, now: Time) {
        self.note_own(now);
        if self.starts(now) {
            self.gate.charge(1.0, now);
        }
        self.in_flight += 1;
        self.waiting_in_flight += u32::from(waits);
    }

    /// One of our attempts ended there.
    pub fn end(&mut self, waits: bool, late: bool, now: Time) {
        self.note_own(now);
        self.in_flight -= 1;
        self.waiting_in_flight -= u32::from(waits);
        self.late -= u32::from(late);
    }

    /// Averages our own attempts over about the time that reports are averaged over.
    fn note_own(&mut self, now: Time) {
        let passed = now.since(self.own_noted).as_secs_f64() / OWN_WINDOW.as_secs_f64();
        self.own += (1.0 - (-passed).exp()) * (f64::from(self.in_flight) - self.own);
        self.own_noted = now;
    }

    /// Takes in what the server says of itself.
    pub fn hear(&mut self, word: Announcement, now: Time) {
        if word.paused() > self.word.paused() && word.paused() > now {
            self.resuming = true;
            self.answered = 0;
        }
        self.left = word.leaves(now);
        self.word = word;
    }

    /// Whether it takes no new work for good.
    pub fn leaving(&self) -> bool {
        self.spec.leaving || self.left || self.report.is_some_and(|report| report.draining)
    }

    /// Whether it takes no work at `now` because of what we saw or it said.
    pub fn unavailable(&self, now: Time) -> bool {
        self.ejected(now) || self.paused(now)
    }

    /// Whether it is ejected or shed work a moment before `now`.
    pub fn ejected(&self, now: Time) -> bool {
        now < self.closed_until
    }

    /// Whether it said that it wants nothing at `now`.
    pub fn paused(&self, now: Time) -> bool {
        now < self.word.paused()
    }

    /// Until when it wants nothing; in the past if it takes work.
    pub const fn paused_until(&self) -> Time {
        self.word.paused()
    }

    /// When it takes work again, as far as known.
    pub fn back(&self) -> Time {
        self.closed_until.max(self.word.paused())
    }

    /// Whether it has as much of ours as it may have so soon after a pause: many that send to it again at once would
    /// fill it at once.
    pub fn eased(&self) -> bool {
        self.resuming && self.in_flight >= self.limit()
    }

    /// Until when it takes no work because of what we saw.
    pub const fn closed_until(&self) -> Time {
        self.closed_until
    }

    /// Whether it is ejected, or was and must prove itself.
    pub fn suspect(&self) -> bool {
        self.trial
    }

    /// Attempts of ours it may have at once.
    pub fn limit(&self) -> u32 {
        if self.trial {
            return 1;
        }
        self.spec.slots.min(1 + self.answered / ANSWERS_PER_SLOT)
    }

    /// The work of other daemons there, as far as known.
    ///
    /// A report that came with an answer tells of the moment and fades to the average. Any other is old when it
    /// comes, and work is short, so it says nothing of the moment: its average fades with its age.
    pub fn others(&self, now: Time) -> f64 {
        if let Some((told, at)) = self.told_others {
            let age = now.since(at);
            let halves = age.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
            let silence = age.saturating_sub(WORD_LIFE).as_secs_f64() / WORD_LIFE.as_secs_f64();
            let usual = self.usual_others * 0.5_f64.powf(silence);
            return usual + (told - usual) * 0.5_f64.powf(halves);
        }
        let Some(report) = self.report else { return self.assumed_others };
        let age = now.since(report.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        (self.reported - self.own).max(0.0) * (1.0 - age).max(0.0)
    }

    /// All work there, as far as known.
    pub fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Whether it told just now that it has a slot free.
    pub fn tells_room(&self, now: Time) -> bool {
        let fresh = self.told().is_some_and(|at| now.since(at) < FRESH);
        fresh && self.load(now) < f64::from(self.spec.slots)
    }

    /// How long work takes there, relative to what is typical.
    pub fn latency_ratio(&self) -> f64 {
        self.ratio.max(1.0) + f64::from(self.late)
    }

    /// An attempt was answered after `ratio` times the typical latency; `late` if it was noted as late before,
    /// `keyed` if it was about an object.
    pub fn answered(&mut self, ratio: f64, late: bool, keyed: bool, now: Time) {
        self.answered = self.answered.saturating_add(1);
        self.resuming &= self.limit() < self.spec.slots;
        self.lost_in_row = 0;
        if keyed {
            self.late_in_row = 0;
        }
        self.ratio += NEW_PART * (ratio.min(MOST_RATIO) - self.ratio);
        if late {
            return;
        }
        self.late_in_row = 0;
        if self.trial && now >= self.closed_until {
            self.trial = false;
            self.ejections = 0;
            self.ratio = self.ratio.min(ratio.max(1.0));
        }
    }

    /// An attempt is late now, while it still runs. A server that cannot be done without is not ejected for it.
    pub fn record_late(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.late += 1;
        self.late_in_row += 1;
        let most = if keyed { SILENT_IN_ROW } else { LATE_IN_ROW };
        if may_eject && (self.trial || self.late_in_row >= most) {
            self.eject(now);
            self.slow = true;
        }
    }

    /// Takes a server that was ejected for late answers back at once; says whether that changed anything.
    pub fn pardon(&mut self, now: Time) -> bool {
        let pardoned = self.slow && self.ejected(now);
        if pardoned {
            self.trial = false;
            self.ejections = 0;
            self.closed_until = now;
        }
        pardoned
    }

    /// An attempt ended by its deadline before it was noted as late.
    pub fn record_late_end(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.record_late(may_eject, keyed, now);
        self.late -= 1;
    }

    /// The answer to an attempt was lost or cut short.
    pub fn lost(&mut self, now: Time) {
        self.lost_in_row += 1;
        if self.trial || self.lost_in_row >= LOST_IN_ROW {
            self.failed(now);
        }
    }

    /// The server could not be reached, or is taken to be gone.
    pub fn failed(&mut self, now: Time) {
        self.answered = 0;
        self.lost_in_row = 0;
        self.eject(now);
    }

    /// The server shed an attempt. One that has a slot free, as it told with that answer, refused this request and not
    /// work; work on objects, if `keyed`, stays with it then.
    pub fn shed(&mut self, keyed: bool, now: Time) {
        if keyed && self.tells_room(now) {
            return;
        }
        self.closed_until = self.closed_until.max(now + SHED_PAUSE);
    }

    fn eject(&mut self, now: Time) {
        if self.ejected(now) && self.trial {
            return;
        }
        let time = EJECTION.saturating_mul(1 << self.ejections.min(5)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.trial = true;
        if let Some(start) = self.spec.slow_start.filter(|start| !start.starter) {
            // All daemons may eject it at once: their tries are spread over the time in which it bears them.
            let level = self.gate.level(now);
            self.gate.charge(level + start.phase, now);
        }
        self.late_in_row = 0;
        self.slow = false;
        self.closed_until = now + time;
    }
}
