//! A model of record servers without I/O and without a clock: cores, a bounded queue, a cold start, the crash of an
//! overloaded cold server, connections that cost work, and a deduplication memory.

use std::collections::{HashMap, VecDeque};

/// A time in microseconds since the start of the run, or a duration in microseconds.
pub type Micros = u64;

/// The properties of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSpec {
    /// The number of requests that are executed at once.
    pub cores: usize,
    /// The work that each core does in a second, in seconds of work.
    pub speed: f64,
    /// The number of requests that may wait; further requests are rejected.
    pub queue_capacity: usize,
    /// How much longer a request takes with a full queue than with an empty one: 0.5 means one and a half times as long.
    pub queue_slowdown: f64,
    /// The number of connections that may be open; further ones are refused.
    pub max_connections: usize,
    /// The work that accepting a connection costs.
    pub connect_work: Micros,
    /// Whether the server stops working on requests that were cancelled.
    pub drops_cancelled: bool,
    /// The age of the values in load reports.
    pub report_delay: Micros,
    /// The share of its full speed at which a server starts.
    pub cold_share: f64,
    /// The time after which the server is warm.
    pub warm_up_time: Micros,
    /// The amount of work in microseconds after which the server is warm, if that comes first.
    pub warm_up_work: Option<Micros>,
    /// A cold server crashes if it is sent more than this multiple of its capacity for the time of `overload_tolerance`.
    pub overload_factor: f64,
    /// How long a cold server withstands overload.
    pub overload_tolerance: Micros,
    /// The mean work of a request, in microseconds. It converts the work that a cold server withstands within the tolerance into a
    /// budget of requests; some requests beyond the budget count as [random excess](random_excess).
    pub mean_work: f64,
    /// Whether the server crashes by the operators' formula alone: as soon as it is sent more than its budget and the
    /// [random excess](random_excess) within the tolerance, even in one burst at its start. Otherwise it crashes when it is sent
    /// more than its budget, but only once the tolerance has passed.
    pub allows_random_excess: bool,
}

/// What happens to a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is queued or executing; [`Server::advance`] returns it when it is done.
    Accepted,
    /// It was rejected without effect.
    Rejected,
    /// The server is down, or this request made it crash.
    Down,
    /// The server is isolated: there is no response.
    Unresponsive,
}

/// Whether a server can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It responds.
    Up,
    /// It does not listen: connections are refused.
    Down,
    /// It is isolated: there is no response.
    Unresponsive,
}

/// Identifies a request at a server.
pub type JobId = u64;

/// Work that was sent to a cold server.
#[derive(Debug, Clone, Copy)]
struct SentWork {
    at: Micros,
    /// The work in seconds.
    work: f64,
    /// Whether the sender knew that the server had just started.
    knows_cold: bool,
}

#[derive(Debug, Clone)]
struct Running {
    job: JobId,
    work: Micros,
    ends: Micros,
}

/// The state of one server.
#[derive(Debug, Clone)]
pub struct Server {
    spec: ServerSpec,
    reachability: Reachability,
    incarnation: u32,
    /// When the server started, if that was during this run.
    started: Option<Micros>,
    /// The work done since the start, in microseconds.
    done: Micros,
    /// The speed relative to the specification.
    speed_factor: f64,
    /// Since when the server is stalled, if it is.
    stalled_since: Option<Micros>,
    running: Vec<Running>,
    waiting: VecDeque<(JobId, Micros)>,
    open: usize,
    /// The work that was sent within the tolerance while the server was cold.
    recent: VecDeque<SentWork>,
    recent_work: f64,
    reports: VecDeque<(Micros, [f64; 3])>,
    /// The number of overload crashes, and the number of incarnations in which senders that knew of the cold start exceeded
    /// the budget or caused the crash: at least two thirds of the work came from them.
    pub cold_crashes: (u32, u32),
    /// Whether an exceeded budget has been counted in this incarnation.
    excess_counted: bool,
    /// The largest number of connections open at once.
    pub max_open_connections: usize,
    /// The largest load while the server was cold, as a multiple of its capacity within the tolerance. With
    /// `allows_random_excess` it is scaled so that the budget and the random excess together correspond to the overload factor,
    /// at which the server crashes.
    pub worst_cold_load: f64,
}

const SECOND: f64 = 1e6;
/// Budgets of fewer requests than this allow for a larger random excess.
const SMALL_BUDGET: f64 = 30.0;

/// Returns the number of requests beyond a budget that are attributed to random variation.
fn random_excess(budget: f64) -> f64 {
    if budget < SMALL_BUDGET {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

impl Server {
    /// Creates a warm server.
    pub fn new(spec: ServerSpec) -> Self {
        Server {
            spec,
            reachability: Reachability::Up,
            incarnation: 0,
            started: None,
            done: 0,
            speed_factor: 1.0,
            stalled_since: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            open: 0,
            recent: VecDeque::new(),
            recent_work: 0.0,
            reports: VecDeque::new(),
            cold_crashes: (0, 0),
            excess_counted: false,
            max_open_connections: 0,
            worst_cold_load: 0.0,
        }
    }

    /// Returns the share of its full speed that the server has now: less than 1 while it warms up.
    pub fn speed_share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.spec.warm_up_time.max(1) as f64;
        let worked = self.spec.warm_up_work.map_or(0.0, |work| self.done as f64 / work.max(1) as f64);
        let age = age.max(worked);
        (self.spec.cold_share + (1.0 - self.spec.cold_share) * age).min(1.0)
    }

    /// Returns the capacity by specification, in seconds of work per second. It leaves out slowdowns such as a noisy neighbor,
    /// which agents cannot know of.
    fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores as f64 * self.spec.speed * self.speed_share(now)
    }

    /// Returns the number of requests that are executing or queued.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns how often the server was started or killed.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns whether the server can be reached.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Returns the load report that is current now, which is `report_delay` old: requests in flight, queued requests and the
    /// share of busy cores.
    pub fn load_report(&mut self, now: Micros) -> [f64; 3] {
        let busy = self.running.len() as f64 / self.spec.cores as f64;
        let current = [self.load() as f64, self.waiting.len() as f64, busy];
        self.reports.push_back((now, current));
        while self.reports.len() > 1 && self.reports[1].0 + self.spec.report_delay <= now {
            self.reports.pop_front();
        }
        // Bounds the queue however often reports are requested.
        if self.reports.len() > 1024 {
            self.reports.pop_back();
        }
        self.reports[0].1
    }

    /// Opens a connection; returns false if the maximum is reached. `knows_cold`: whether the sender knows of the cold start.
    pub fn connect(&mut self, now: Micros, knows_cold: bool) -> bool {
        if self.open >= self.spec.max_connections {
            return false;
        }
        self.open += 1;
        self.max_open_connections = self.max_open_connections.max(self.open);
        // Accepting a connection loads a cold server like a request does.
        let work = self.spec.connect_work;
        if work > 0 && self.speed_share(now) < 1.0 {
            self.record_work(now, work, knows_cold);
        }
        if let Some(first) = self.running.iter_mut().min_by_key(|running| running.ends) {
            first.ends += work;
        }
        true
    }

    /// Closes a connection that was opened in this incarnation.
    pub fn disconnect(&mut self, incarnation: u32) {
        if incarnation == self.incarnation {
            self.open = self.open.saturating_sub(1);
        }
    }

    fn record_work(&mut self, at: Micros, work: Micros, knows_cold: bool) {
        let work = work as f64 / SECOND;
        self.recent.push_back(SentWork { at, work, knows_cold });
        self.recent_work += work;
    }

    /// Handles the arrival of a request with this much work. `knows_cold`: whether the sender knows of the cold start.
    pub fn submit(&mut self, now: Micros, job: JobId, work: Micros, knows_cold: bool) -> Admission {
        match self.reachability {
            Reachability::Up => {}
            Reachability::Down => return Admission::Down,
            Reachability::Unresponsive => return Admission::Unresponsive,
        }
        if self.is_overloaded(now, work, knows_cold) {
            self.cold_crashes.0 += 1;
            self.cold_crashes.1 += u32::from(!self.excess_counted && self.caused_knowingly());
            self.kill();
            return Admission::Down;
        }
        if self.running.len() >= self.spec.cores && self.waiting.len() >= self.spec.queue_capacity {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.start_waiting(now);
        Admission::Accepted
    }

    fn start_waiting(&mut self, now: Micros) {
        while self.stalled_since.is_none() && self.running.len() < self.spec.cores {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            let fullness = self.waiting.len() as f64 / self.spec.queue_capacity.max(1) as f64;
            let speed = self.spec.speed * self.speed_factor * self.speed_share(now)
                / (1.0 + self.spec.queue_slowdown * fullness.min(1.0));
            let ends = now + (work as f64 / speed.max(1e-6)).ceil() as Micros;
            self.running.push(Running { job, work, ends });
        }
    }

    /// Returns when [`Server::advance`] next has something to do.
    pub fn next(&self) -> Option<Micros> {
        self.running.iter().map(|running| running.ends).min().filter(|_| self.stalled_since.is_none())
    }

    /// Finishes the requests that are done by now and starts queued ones. Returns the finished ones in order.
    pub fn advance(&mut self, now: Micros) -> Vec<JobId> {
        let mut done = Vec::new();
        while let Some(ends) = self.next().filter(|ends| *ends <= now) {
            let index = self.running.iter().position(|running| running.ends == ends).unwrap_or(0);
            let ended = self.running.remove(index);
            self.done += ended.work;
            done.push(ended.job);
            self.start_waiting(ends);
        }
        done
    }

    /// Cancels a request, if the server supports that.
    pub fn cancel(&mut self, now: Micros, job: JobId) {
        if !self.spec.drops_cancelled || self.reachability != Reachability::Up {
            return;
        }
        self.waiting.retain(|waiting| waiting.0 != job);
        self.running.retain(|running| running.job != job);
        self.start_waiting(now);
    }

    /// Returns whether at least two thirds of the work came from senders that knew of the cold start.
    fn caused_knowingly(&self) -> bool {
        let informed = self.recent.iter().filter(|sent| sent.knows_cold);
        informed.map(|sent| sent.work).sum::<f64>() >= self.recent_work * 2.0 / 3.0
    }

    /// Returns whether this request overloads the cold server so that it crashes.
    fn is_overloaded(&mut self, now: Micros, work: Micros, knows_cold: bool) -> bool {
        if self.speed_share(now) >= 1.0 {
            self.recent.clear();
            self.recent_work = 0.0;
            return false;
        }
        self.record_work(now, work, knows_cold);
        let from = now.saturating_sub(self.spec.overload_tolerance);
        while let Some(oldest) = self.recent.front().filter(|sent| sent.at < from).copied() {
            self.recent.pop_front();
            self.recent_work -= oldest.work;
        }
        let mean_work = self.spec.mean_work / SECOND;
        if self.spec.allows_random_excess {
            let window = self.spec.overload_tolerance as f64 / SECOND;
            let budget = self.spec.overload_factor * self.capacity(now) * window / mean_work;
            let max_work = (budget + random_excess(budget)) * mean_work;
            self.worst_cold_load =
                self.worst_cold_load.max(self.spec.overload_factor * self.recent_work / max_work.max(1e-9));
            return self.recent_work > max_work;
        }
        // The server crashes only after the whole tolerance, but a short burst before can already exceed its budget.
        let tolerance_passed =
            self.started.is_some_and(|started| now - started >= self.spec.overload_tolerance);
        // The server warms up linearly, so its mean capacity is the mean of the first and the last value.
        let mean_capacity = (self.capacity(from) + self.capacity(now)) / 2.0;
        let sustainable_work = mean_capacity * self.spec.overload_tolerance as f64 / SECOND;
        if tolerance_passed {
            self.worst_cold_load = self.worst_cold_load.max(self.recent_work / sustainable_work.max(1e-9));
        }
        let budget = self.spec.overload_factor * sustainable_work;
        let excess = random_excess(budget / mean_work) * mean_work;
        if !self.excess_counted && self.recent_work > budget + excess && self.caused_knowingly() {
            self.excess_counted = true;
            self.cold_crashes.1 += 1;
        }
        tolerance_passed && self.recent_work > budget
    }

    /// Kills the server; all its requests and connections are lost.
    pub fn kill(&mut self) {
        self.reachability = Reachability::Down;
        self.incarnation += 1;
        self.open = 0;
        self.done = 0;
        self.stalled_since = None;
        (self.recent_work, self.excess_counted) = (0.0, false);
        self.running.clear();
        self.waiting.clear();
        self.recent.clear();
        self.reports.clear();
    }

    /// Starts the server cold.
    pub fn start(&mut self, now: Micros) {
        self.kill();
        (self.reachability, self.started) = (Reachability::Up, Some(now));
    }

    /// Isolates the server or reconnects it. An isolated server goes on executing, but nobody gets its responses.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        self.reachability = if unresponsive { Reachability::Unresponsive } else { Reachability::Up };
    }

    /// Sets the speed as a multiple of the specification's speed.
    pub fn set_speed_factor(&mut self, speed_factor: f64) {
        self.speed_factor = speed_factor;
    }

    /// Stalls or resumes execution; a stalled server still accepts requests.
    pub fn set_stalled(&mut self, now: Micros, stalled: bool) {
        match (self.stalled_since, stalled) {
            (None, true) => self.stalled_since = Some(now),
            (Some(since), false) => {
                self.stalled_since = None;
                self.running.iter_mut().for_each(|running| running.ends += now - since);
                self.start_waiting(now);
            }
            _ => {}
        }
    }
}

/// The idempotency keys of requests that the servers of a building executed; a repeat within the window has no effect.
#[derive(Debug, Clone, Default)]
pub struct DeduplicationMemory {
    executed: HashMap<(u32, u64), Micros>,
    order: VecDeque<(Micros, u32, u64)>,
}

impl DeduplicationMemory {
    /// Returns whether a request with this key was executed in a building within the window.
    pub fn contains(&mut self, now: Micros, building: u32, key: u64, window: Micros) -> bool {
        while let Some((at, building, key)) = self.order.front().filter(|(at, ..)| at + window < now).copied()
        {
            self.order.pop_front();
            if self.executed.get(&(building, key)) == Some(&at) {
                self.executed.remove(&(building, key));
            }
        }
        self.executed.contains_key(&(building, key))
    }

    /// Records the execution of a request in a building; returns true if it has an effect.
    pub fn record(&mut self, now: Micros, building: u32, key: u64, window: Micros) -> bool {
        if self.contains(now, building, key, window) {
            return false;
        }
        self.executed.insert((building, key), now);
        self.order.push_back((now, building, key));
        true
    }
}

#[cfg(test)]
mod tests;
