//! Record servers as they really are, without I/O and without a clock: cores that work, a waiting room, a cold start, the
//! fall of a cold server that is sent more than it bears, connections that cost work, and a memory of what has run.

use std::collections::{HashMap, VecDeque};

/// A moment in microseconds since the start of the run.
pub type Micros = u64;

/// What a server is made of.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSpec {
    /// Requests that it works on at once.
    pub cores: usize,
    /// Work done in a second by each core, in seconds of work.
    pub speed: f64,
    /// Requests that may wait; what comes beyond is turned away unseen.
    pub queue_capacity: usize,
    /// How much slower it works with a full room than with an empty one: 0.5 means one and a half times as long.
    pub queue_slowdown: f64,
    /// Connections that it holds; beyond that it turns new ones away.
    pub max_connections: usize,
    /// Work that a new connection costs it.
    pub connect_work: Micros,
    /// It stops working on what nobody waits for any more.
    pub drops_cancelled: bool,
    /// Load reports show what was true so long ago.
    pub report_delay: Micros,
    /// A server that has just started works at this share of its speed,
    pub cold_share: f64,
    /// and is warm after this,
    pub warm_up_time: Micros,
    /// or after so much work done, in microseconds, whichever comes first.
    pub warm_up_work: Option<Micros>,
    /// A cold one that is sent this multiple of what it can do
    pub overload_factor: f64,
    /// for this long falls over.
    pub overload_tolerance: Micros,
    /// The mean work of a request, in microseconds: so many of them as it may be sent within that time are a budget, and of
    /// what comes beyond it some is [chance](chance_beyond) before the time has passed.
    pub mean_work: f64,
    /// It goes by the operators' formula and nothing else: it bears what may be chance once the time has passed, too, and
    /// falls as soon as it is sent more than that within the time, be it in one burst at its start.
    pub allows_chance: bool,
}

/// What becomes of a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It will run: [`Server::advance`] tells when it has.
    Accepted,
    /// It was turned away unseen.
    Rejected,
    /// Nobody listens there; or this request was what pushed it over.
    Down,
    /// Nobody says anything, ever.
    Unresponsive,
}

/// How a server can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answers.
    Up,
    /// Nobody listens: connections are refused.
    Down,
    /// It is cut off: nobody says anything.
    Unresponsive,
}

/// Names a request at a server.
pub type JobId = u64;

/// Work that was offered to a cold server, in seconds.
#[derive(Debug, Clone, Copy)]
struct Offered {
    at: Micros,
    work: f64,
    /// By somebody who had been told that it has just started.
    told: bool,
}

#[derive(Debug, Clone)]
struct Running {
    job: JobId,
    work: Micros,
    ends: Micros,
}

/// One server.
#[derive(Debug, Clone)]
pub struct Server {
    spec: ServerSpec,
    reach: Reachability,
    life: u32,
    /// When it started, if that was in this run.
    started: Option<Micros>,
    /// Work done in this life, in microseconds.
    done: Micros,
    /// 1 for a machine that is as fast as its kind.
    pace: f64,
    /// Its work stands still since then.
    choked: Option<Micros>,
    running: Vec<Running>,
    waiting: VecDeque<(JobId, Micros)>,
    open: usize,
    /// What was offered while it was cold.
    offered: VecDeque<Offered>,
    sent: f64,
    reports: VecDeque<(Micros, [f64; 3])>,
    /// How often it has fallen over, and in how many of its lives those who knew that it was cold have spent its budget, or
    /// made it fall: two thirds of what it was sent came from them.
    pub cold_crashes: (u32, u32),
    /// That has been counted in this life.
    burst: bool,
    /// The most connections that it held at once.
    pub max_open_connections: usize,
    /// The greatest multiple of what it bears in such a window that it was sent while it was cold, or of an even part of its
    /// budget and its chance where it bears that; it falls at the overload factor.
    pub worst_cold_load: f64,
}

const SECOND: f64 = 1e6;
/// Budgets of fewer requests than this are small ones, of which more may be chance.
const SMALL_BUDGET: f64 = 30.0;

/// How many requests beyond a budget of so many may be chance.
fn chance_beyond(budget: f64) -> f64 {
    if budget < SMALL_BUDGET {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

impl Server {
    /// A warm one.
    pub fn new(spec: ServerSpec) -> Self {
        Server {
            spec,
            reach: Reachability::Up,
            life: 0,
            started: None,
            done: 0,
            pace: 1.0,
            choked: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            open: 0,
            offered: VecDeque::new(),
            sent: 0.0,
            reports: VecDeque::new(),
            cold_crashes: (0, 0),
            burst: false,
            max_open_connections: 0,
            worst_cold_load: 0.0,
        }
    }

    /// The share of its full speed that it has now.
    pub fn speed_share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.spec.warm_up_time.max(1) as f64;
        let worked = self.spec.warm_up_work.map_or(0.0, |work| self.done as f64 / work.max(1) as f64);
        let age = age.max(worked);
        (self.spec.cold_share + (1.0 - self.spec.cold_share) * age).min(1.0)
    }

    /// What one of its kind can do in a second now, in seconds of work. Agents can know its kind, and not that it has a
    /// noisy neighbour.
    fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores as f64 * self.spec.speed * self.speed_share(now)
    }

    /// Requests that it holds: at work and waiting.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Which of its lives this is.
    pub fn incarnation(&self) -> u32 {
        self.life
    }

    /// How it can be reached.
    pub fn reach(&self) -> Reachability {
        self.reach
    }

    /// Requests held, waiting, and the share of its cores at work, as they were when a report now was made.
    pub fn load_report(&mut self, now: Micros) -> [f64; 3] {
        let busy = self.running.len() as f64 / self.spec.cores as f64;
        let is = [self.load() as f64, self.waiting.len() as f64, busy];
        self.reports.push_back((now, is));
        while self.reports.len() > 1 && self.reports[1].0 + self.spec.report_delay <= now {
            self.reports.pop_front();
        }
        // Bounded however often it is asked.
        if self.reports.len() > 1024 {
            self.reports.pop_back();
        }
        self.reports[0].1
    }

    /// A connection comes up, of somebody who has been `told` of its start; false if it holds as many as it may.
    pub fn connect(&mut self, now: Micros, told: bool) -> bool {
        if self.open >= self.spec.max_connections {
            return false;
        }
        self.open += 1;
        self.max_open_connections = self.max_open_connections.max(self.open);
        // Like anything else that it is sent, it pushes a cold one.
        let work = self.spec.connect_work;
        if work > 0 && self.speed_share(now) < 1.0 {
            self.push(now, work, told);
        }
        if let Some(first) = self.running.iter_mut().min_by_key(|running| running.ends) {
            first.ends += work;
        }
        true
    }

    /// A connection of this life has ended.
    pub fn disconnect(&mut self, life: u32) {
        if life == self.life {
            self.open = self.open.saturating_sub(1);
        }
    }

    fn push(&mut self, at: Micros, work: Micros, told: bool) {
        let work = work as f64 / SECOND;
        self.offered.push_back(Offered { at, work, told });
        self.sent += work;
    }

    /// A request with so many microseconds of work arrives, from somebody who has been `told` of the server's start.
    pub fn submit(&mut self, now: Micros, job: JobId, work: Micros, told: bool) -> Admission {
        match self.reach {
            Reachability::Up => {}
            Reachability::Down => return Admission::Down,
            Reachability::Unresponsive => return Admission::Unresponsive,
        }
        if self.falls_over(now, work, told) {
            self.cold_crashes.0 += 1;
            self.cold_crashes.1 += u32::from(!self.burst && self.was_known());
            self.kill();
            return Admission::Down;
        }
        if self.running.len() >= self.spec.cores && self.waiting.len() >= self.spec.queue_capacity {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.begin(now);
        Admission::Accepted
    }

    fn begin(&mut self, now: Micros) {
        while self.choked.is_none() && self.running.len() < self.spec.cores {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            let full = self.waiting.len() as f64 / self.spec.queue_capacity.max(1) as f64;
            let speed = self.spec.speed * self.pace * self.speed_share(now)
                / (1.0 + self.spec.queue_slowdown * full.min(1.0));
            let ends = now + (work as f64 / speed.max(1e-6)).ceil() as Micros;
            self.running.push(Running { job, work, ends });
        }
    }

    /// When [`Server::advance`] next has something to do.
    pub fn next(&self) -> Option<Micros> {
        self.running.iter().map(|running| running.ends).min().filter(|_| self.choked.is_none())
    }

    /// Ends what is done by now, in the order in which it ended, and begins what waited for that.
    pub fn advance(&mut self, now: Micros) -> Vec<JobId> {
        let mut done = Vec::new();
        while let Some(ends) = self.next().filter(|ends| *ends <= now) {
            let at = self.running.iter().position(|running| running.ends == ends).unwrap_or(0);
            let ended = self.running.remove(at);
            self.done += ended.work;
            done.push(ended.job);
            self.begin(ends);
        }
        done
    }

    /// Nobody waits for this any more.
    pub fn cancel(&mut self, now: Micros, job: JobId) {
        if !self.spec.drops_cancelled || self.reach != Reachability::Up {
            return;
        }
        self.waiting.retain(|waiting| waiting.0 != job);
        self.running.retain(|running| running.job != job);
        self.begin(now);
    }

    /// Whether two thirds of what it was sent came from those who knew that it was cold.
    fn was_known(&self) -> bool {
        let told = self.offered.iter().filter(|offered| offered.told);
        told.map(|offered| offered.work).sum::<f64>() >= self.sent * 2.0 / 3.0
    }

    /// Whether this request is what a cold server can't bear any more.
    fn falls_over(&mut self, now: Micros, work: Micros, told: bool) -> bool {
        if self.speed_share(now) >= 1.0 {
            self.offered.clear();
            self.sent = 0.0;
            return false;
        }
        self.push(now, work, told);
        let from = now.saturating_sub(self.spec.overload_tolerance);
        while let Some(old) = self.offered.front().filter(|offered| offered.at < from).copied() {
            self.offered.pop_front();
            self.sent -= old.work;
        }
        let mean_work = self.spec.mean_work / SECOND;
        if self.spec.allows_chance {
            let window = self.spec.overload_tolerance as f64 / SECOND;
            let budget = self.spec.overload_factor * self.capacity(now) * window / mean_work;
            let most = (budget + chance_beyond(budget)) * mean_work;
            self.worst_cold_load =
                self.worst_cold_load.max(self.spec.overload_factor * self.sent / most.max(1e-9));
            return self.sent > most;
        }
        // It falls if it is pushed for the whole time; one short burst before may have spent its budget all the same.
        let long = self.started.is_some_and(|started| now - started >= self.spec.overload_tolerance);
        // It warms evenly, so what it could do meanwhile is the mean of the beginning and the end.
        let mean = (self.capacity(from) + self.capacity(now)) / 2.0;
        let bears = mean * self.spec.overload_tolerance as f64 / SECOND;
        if long {
            self.worst_cold_load = self.worst_cold_load.max(self.sent / bears.max(1e-9));
        }
        let budget = self.spec.overload_factor * bears;
        let chance = chance_beyond(budget / mean_work) * mean_work;
        if !self.burst && self.sent > budget + chance && self.was_known() {
            self.burst = true;
            self.cold_crashes.1 += 1;
        }
        long && self.sent > budget
    }

    /// Dies with all that it holds.
    pub fn kill(&mut self) {
        self.reach = Reachability::Down;
        self.life += 1;
        self.open = 0;
        self.done = 0;
        self.choked = None;
        (self.sent, self.burst) = (0.0, false);
        self.running.clear();
        self.waiting.clear();
        self.offered.clear();
        self.reports.clear();
    }

    /// Starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.kill();
        (self.reach, self.started) = (Reachability::Up, Some(now));
    }

    /// Is cut off: nothing is said, and what it holds goes on in vain.
    pub fn set_unresponsive(&mut self, cut: bool) {
        self.reach = if cut { Reachability::Unresponsive } else { Reachability::Up };
    }

    /// Works at this multiple of its kind's speed from now on.
    pub fn set_speed_factor(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Stands still, though it takes requests; or goes on.
    pub fn set_stalled(&mut self, now: Micros, choked: bool) {
        match (self.choked, choked) {
            (None, true) => self.choked = Some(now),
            (Some(since), false) => {
                self.choked = None;
                self.running.iter_mut().for_each(|running| running.ends += now - since);
                self.begin(now);
            }
            _ => {}
        }
    }
}

/// What the servers of a building remember of keyed requests that ran in it: a repeat within the window has no effect.
#[derive(Debug, Clone, Default)]
pub struct DeduplicationMemory {
    ran: HashMap<(u32, u64), Micros>,
    order: VecDeque<(Micros, u32, u64)>,
}

impl DeduplicationMemory {
    /// Whether a request with this key has run in a building within the window.
    pub fn contains(&mut self, now: Micros, building: u32, key: u64, window: Micros) -> bool {
        while let Some((at, building, key)) = self.order.front().filter(|(at, ..)| at + window < now).copied()
        {
            self.order.pop_front();
            if self.ran.get(&(building, key)) == Some(&at) {
                self.ran.remove(&(building, key));
            }
        }
        self.ran.contains_key(&(building, key))
    }

    /// A request with this key runs in a building; true if that has an effect.
    pub fn record(&mut self, now: Micros, building: u32, key: u64, window: Micros) -> bool {
        if self.contains(now, building, key, window) {
            return false;
        }
        self.ran.insert((building, key), now);
        self.order.push_back((now, building, key));
        true
    }
}

#[cfg(test)]
mod tests;
