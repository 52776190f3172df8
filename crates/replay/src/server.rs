//! A model of a backend server: slots, a queue, and jobs with a duration.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// How long work takes longer on a server that returned with cold caches.
const WARM_UP: Duration = Duration::from_secs(10);
/// Factor on the duration of work while the caches are cold.
const COLD_FACTOR: f64 = 3.0;

/// Identifies an attempt: the position of its entry instance, and its number in that instance's engine.
pub type AttemptId = (usize, u64);

/// An attempt queued or running on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// The attempt that the job runs.
    pub id: AttemptId,
    /// Duration of the work on a healthy server.
    pub work: Duration,
    /// Whether it is waiting work.
    pub bulk: bool,
    /// When it arrived at the server.
    pub arrived_at: Time,
}

/// A job that started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Started {
    /// The job.
    pub job: Job,
    /// When it will be done.
    pub done_at: Time,
}

/// A server with its running and queued jobs.
#[derive(Debug, Clone)]
pub struct Server {
    slots: usize,
    max_queue: usize,
    /// Factor on the duration of work that starts from now on; 1 is healthy.
    pub slowdown: f64,
    /// Whether the server is up; a server that is down accepts no connections.
    pub up: bool,
    /// When it returned with cold caches; `None` if it never did.
    pub cold_since: Option<Time>,
    running: Vec<Job>,
    queued: VecDeque<Job>,
    /// Load (running and queued jobs) after each change, in order of time; delayed reports read it.
    history: VecDeque<(Time, u32)>,
}

impl Server {
    /// Creates a healthy server with `slots` slots and a queue for `max_queue` more jobs.
    pub fn new(slots: usize, max_queue: usize) -> Self {
        Self {
            slots,
            max_queue,
            slowdown: 1.0,
            up: true,
            cold_since: None,
            running: Vec::new(),
            queued: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Queues a job and returns the jobs that start now; `None` if the queue is full and the job is shed.
    pub fn enqueue(&mut self, job: Job, now: Time) -> Option<Vec<Started>> {
        if self.queued.len() >= self.max_queue {
            return None;
        }
        self.queued.push_back(job);
        Some(self.start_queued(now))
    }

    /// Removes a job that is done or cancelled and returns the jobs that start in its place.
    pub fn remove(&mut self, id: AttemptId, now: Time) -> Vec<Started> {
        self.running.retain(|job| job.id != id);
        self.queued.retain(|job| job.id != id);
        self.start_queued(now)
    }

    /// Whether the job is running.
    pub fn is_running(&self, id: AttemptId) -> bool {
        self.running.iter().any(|job| job.id == id)
    }

    /// Returns the number of jobs that are running.
    pub const fn busy(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of running jobs that are waiting work.
    pub fn busy_with_bulk(&self) -> usize {
        self.running.iter().filter(|job| job.bulk).count()
    }

    /// Takes the server down and returns the jobs that were lost.
    pub fn stop(&mut self) -> Vec<AttemptId> {
        self.up = false;
        let running = std::mem::take(&mut self.running);
        let queued = std::mem::take(&mut self.queued);
        running.into_iter().chain(queued).map(|job| job.id).collect()
    }

    /// Returns the load at `at`, as a delayed report states it, and drops the history before `at`.
    pub fn load_at(&mut self, at: Time) -> u32 {
        while self.history.len() > 1 && self.history[1].0 <= at {
            self.history.pop_front();
        }
        self.history.front().filter(|(since, _)| *since <= at).map_or(0, |(_, load)| *load)
    }

    /// Starts queued jobs while slots are free, and records the load.
    fn start_queued(&mut self, now: Time) -> Vec<Started> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.queued.pop_front() else { break };
            self.running.push(job);
            let cold = self.cold_since.is_some_and(|since| now.since(since) < WARM_UP);
            let factor = self.slowdown * if cold { COLD_FACTOR } else { 1.0 };
            started.push(Started { job, done_at: now + job.work.mul_f64(factor) });
        }
        self.history.push_back((now, (self.running.len() + self.queued.len()) as u32));
        started
    }
}
