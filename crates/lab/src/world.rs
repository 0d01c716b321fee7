//! Record servers as they really are, without I/O and without a clock: cores that work one after the other, a waiting room,
//! a cold start, and the fall of a cold server that is sent more than it bears.

use std::collections::VecDeque;

/// A moment in microseconds since the start of the run.
pub type Micros = u64;

/// What a server is made of.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Requests that it works on at once.
    pub cores: usize,
    /// Work done in a second by each core, in seconds of work.
    pub speed: f64,
    /// Requests that may wait; what comes beyond is turned away unseen.
    pub room: usize,
    /// A server that has just started works at this share of its speed,
    pub cold_share: f64,
    /// and is warm after this.
    pub warm_after: Micros,
    /// A cold one that is sent this multiple of what it can do
    pub overload_factor: f64,
    /// for this long falls over.
    pub fall_after: Micros,
}

/// What becomes of a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It runs, and its answer leaves at this time if the server is still in this life then.
    Answers(Micros, u32),
    /// It was turned away unseen.
    Rejected,
    /// Nobody listens there.
    Down,
    /// Nobody says anything, ever.
    Silent,
}

/// How a server can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It answers.
    Up,
    /// Nobody listens: connections are refused.
    Down,
    /// It is cut off: nobody says anything.
    Silent,
}

/// One server.
#[derive(Debug, Clone)]
pub struct Server {
    kind: Kind,
    reach: Reach,
    life: u32,
    /// When it started, if that was in this run.
    started: Option<Micros>,
    /// 1 for a machine that is as fast as its kind.
    pace: f64,
    /// When each core is free.
    free_at: Vec<Micros>,
    /// When what waits will begin, in order.
    begins: VecDeque<Micros>,
    /// Work that was offered while it was cold, in seconds: when and how much.
    offered: VecDeque<(Micros, f64)>,
    /// How often it has fallen over.
    pub falls: u32,
}

const SECOND: f64 = 1e6;

impl Server {
    /// A warm one.
    pub fn new(kind: Kind) -> Self {
        let (free_at, begins, offered) = (vec![0; kind.cores], VecDeque::new(), VecDeque::new());
        Server {
            kind,
            reach: Reach::Up,
            life: 0,
            started: None,
            pace: 1.0,
            free_at,
            begins,
            offered,
            falls: 0,
        }
    }

    /// The share of its full speed that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.kind.warm_after.max(1) as f64;
        (self.kind.cold_share + (1.0 - self.kind.cold_share) * age).min(1.0)
    }

    /// What it can do in a second now, in seconds of work.
    fn capacity(&self, now: Micros) -> f64 {
        self.kind.cores as f64 * self.kind.speed * self.pace * self.warmth(now)
    }

    /// Requests that it holds: at work and waiting.
    pub fn load(&self, now: Micros) -> usize {
        let waiting = self.begins.iter().filter(|at| **at > now).count();
        waiting + self.free_at.iter().filter(|at| **at > now).count()
    }

    /// Which of its lives this is.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// How it can be reached.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// A request with so many microseconds of work arrives.
    pub fn offer(&mut self, now: Micros, work: Micros) -> Fate {
        match self.reach {
            Reach::Up => {}
            Reach::Down => return Fate::Down,
            Reach::Silent => return Fate::Silent,
        }
        while self.begins.front().is_some_and(|at| *at <= now) {
            self.begins.pop_front();
        }
        if self.falls_over(now, work) {
            self.falls += 1;
            self.kill();
            return Fate::Down;
        }
        if self.begins.len() >= self.kind.room {
            return Fate::Rejected;
        }
        let speed = self.kind.speed * self.pace * self.warmth(now);
        let core = self.free_at.iter_mut().min().expect("a server has a core");
        let begin = (*core).max(now);
        let end = begin + (work as f64 / speed.max(1e-6)).ceil() as Micros;
        *core = end;
        if begin > now {
            self.begins.push_back(begin);
        }
        Fate::Answers(end, self.life)
    }

    /// Whether this request is what a cold server can't bear any more.
    fn falls_over(&mut self, now: Micros, work: Micros) -> bool {
        if self.warmth(now) >= 1.0 {
            self.offered.clear();
            return false;
        }
        self.offered.push_back((now, work as f64 / SECOND));
        let from = now.saturating_sub(self.kind.fall_after);
        while self.offered.front().is_some_and(|(at, _)| *at < from) {
            self.offered.pop_front();
        }
        // It is pushed for the whole time or not at all.
        let long = self.started.is_some_and(|started| now - started >= self.kind.fall_after);
        let sent: f64 = self.offered.iter().map(|(_, work)| work).sum();
        // It warms evenly, so what it could do meanwhile is the mean of the beginning and the end.
        let mean = (self.capacity(from) + self.capacity(now)) / 2.0;
        let bears = mean * self.kind.fall_after as f64 / SECOND;
        long && sent > self.kind.overload_factor * bears
    }

    /// Dies with all that it holds.
    pub fn kill(&mut self) {
        self.reach = Reach::Down;
        self.life += 1;
        self.free_at.fill(0);
        self.begins.clear();
        self.offered.clear();
    }

    /// Starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.kill();
        (self.reach, self.started) = (Reach::Up, Some(now));
    }

    /// Is cut off: nothing is said, and what it holds goes on in vain.
    pub fn cut(&mut self, cut: bool) {
        self.reach = if cut { Reach::Silent } else { Reach::Up };
    }

    /// Works at this multiple of its kind's speed from now on.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind() -> Kind {
        Kind {
            cores: 2,
            speed: 1.0,
            room: 3,
            cold_share: 0.2,
            warm_after: 20_000_000,
            overload_factor: 3.0,
            fall_after: 3_000_000,
        }
    }

    #[test]
    fn cores_work_one_after_the_other_and_the_room_is_bounded() {
        let mut server = Server::new(kind());
        let fates: Vec<Fate> = (0..6).map(|_| server.offer(0, 1000)).collect();
        let answers = [1000, 1000, 2000, 2000, 3000].map(|at| Fate::Answers(at, 0));
        assert_eq!(fates[..5], answers);
        assert_eq!(fates[5], Fate::Rejected);
        assert_eq!((server.load(0), server.load(1500)), (5, 3));
        assert_eq!(server.offer(1500, 1000), Fate::Answers(3000, 0));
        server.kill();
        assert_eq!((server.offer(1600, 1), server.load(1600)), (Fate::Down, 0));
    }

    /// At 2.5 times what it can do it stands; at 3.5 times it falls, after so long and not before.
    #[test]
    fn a_cold_server_falls_when_it_is_pushed_too_far_for_too_long() {
        let fall = |factor: f64| {
            let mut server = Server::new(kind());
            server.start(0);
            (0..600).find_map(|n| {
                let now = n * 10_000;
                let work = server.capacity(now) * factor * 10_000.0;
                (server.offer(now, work as Micros) == Fate::Down).then_some(now)
            })
        };
        assert_eq!(fall(2.5), None);
        let at = fall(3.5).expect("it falls");
        assert!((3_000_000..3_200_000).contains(&at), "{at}");
        let mut warm = Server::new(kind());
        assert!((0..600).all(|n| warm.offer(n * 10_000, 1_000_000) != Fate::Down), "a warm one turns away");
    }

    #[test]
    fn a_cold_server_warms() {
        let mut server = Server::new(kind());
        server.start(1_000_000);
        assert_eq!(server.offer(1_000_000, 1000), Fate::Answers(1_005_000, 1));
        assert!((server.warmth(11_000_000) - 0.6).abs() < 1e-9);
        assert_eq!(server.warmth(30_000_000), 1.0);
    }
}
