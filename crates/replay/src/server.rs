//! A model of a backend server: slots, a queue, and work that takes its time.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// How long a server with cold caches takes longer.
const COLD: Duration = Duration::from_secs(10);
/// How many times as long work takes on cold caches.
const COLD_FACTOR: f64 = 3.0;

/// A job: the entry instance and its attempt.
pub type JobId = (usize, u64);

/// Work at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Whose it is.
    pub id: JobId,
    /// Time the work takes on a healthy server.
    pub work: Duration,
    /// Whether it is waiting work.
    pub bulk: bool,
    /// When it came.
    pub came: Time,
}

/// A job that started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Started {
    /// The job.
    pub job: Job,
    /// When it will be done.
    pub done: Time,
}

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    slots: usize,
    queue_most: usize,
    /// Work takes so many times as long.
    pub slow: f64,
    /// Whether it is there.
    pub up: bool,
    /// Since when its caches are cold; `None` for warm ones.
    pub cold_since: Option<Time>,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Loads over time, for late reports.
    history: VecDeque<(Time, u32)>,
}

impl Server {
    /// A healthy server with `slots` slots and room for `queue_most` more requests.
    pub fn new(slots: usize, queue_most: usize) -> Self {
        Self {
            slots,
            queue_most,
            slow: 1.0,
            up: true,
            cold_since: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Takes a job in; `None` if it is shed.
    pub fn arrive(&mut self, job: Job, now: Time) -> Option<Vec<Started>> {
        if self.waiting.len() >= self.queue_most {
            return None;
        }
        self.waiting.push_back(job);
        Some(self.next(now))
    }

    /// A job is done or cancelled; gives what starts in its place.
    pub fn leave(&mut self, id: JobId, now: Time) -> Vec<Started> {
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        self.next(now)
    }

    /// Whether the job runs.
    pub fn runs(&self, id: JobId) -> bool {
        self.running.iter().any(|job| job.id == id)
    }

    /// Requests running.
    pub const fn busy(&self) -> usize {
        self.running.len()
    }

    /// Waiting work that runs.
    pub fn bulk(&self) -> usize {
        self.running.iter().filter(|job| job.bulk).count()
    }

    /// The server dies; gives the jobs that were there.
    pub fn die(&mut self) -> Vec<JobId> {
        self.up = false;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).map(|job| job.id).collect()
    }

    /// The load at `at`, as a late report tells it.
    pub fn load_at(&mut self, at: Time) -> u32 {
        while self.history.len() > 1 && self.history[1].0 <= at {
            self.history.pop_front();
        }
        self.history.front().filter(|(when, _)| *when <= at).map_or(0, |(_, load)| *load)
    }

    fn next(&mut self, now: Time) -> Vec<Started> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else { break };
            self.running.push(job);
            let cold = self.cold_since.is_some_and(|since| now.since(since) < COLD);
            let factor = self.slow * if cold { COLD_FACTOR } else { 1.0 };
            started.push(Started { job, done: now + job.work.mul_f64(factor) });
        }
        self.history.push_back((now, (self.running.len() + self.waiting.len()) as u32));
        started
    }
}
