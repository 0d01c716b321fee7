//! What has run, what was answered, and when the processes were disturbed.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A response later than this after its time counts as lost.
pub const LOST_AFTER: Duration = Duration::from_millis(500);
/// For so long after SIGTERM a request that arrives must be answered before the kill.
const ARRIVAL_AFTER_SIGTERM: Duration = Duration::from_millis(700);

/// A time in which requests may get no response.
#[derive(Clone, Copy)]
struct Interruption {
    shutdown_at: Option<Instant>,
    killed_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A whole response came, or its first byte if it is long.
    Answered(u16, Instant),
    /// A response began and was cut off.
    CutOff(usize),
    /// The connection ended, or nothing came.
    Nothing,
}

/// A request of a client that stays.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    /// The class, the size and the mode of the response.
    pub kind: String,
    /// Its server writes the head of a long response at once, well before the time of the client is up.
    pub begins_in_time: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub budget: Duration,
    pub ending: Ending,
}

#[derive(Default)]
struct Records {
    /// How often each id of a request that must not be repeated has run.
    runs: HashMap<String, Vec<Instant>>,
    interruptions: Vec<Interruption>,
    violations: Vec<String>,
    requests: Vec<Request>,
}

/// The records of one seed.
#[derive(Default)]
pub struct Ledger(Mutex<Records>);

impl Ledger {
    /// Records that a server has received a request completely.
    pub fn record_run(&self, id: &str) {
        self.0.lock().unwrap().runs.entry(id.into()).or_default().push(Instant::now());
    }

    pub fn violation(&self, text: String) {
        self.0.lock().unwrap().violations.push(text);
    }

    pub fn record_request(&self, request: Request) {
        self.0.lock().unwrap().requests.push(request);
    }

    /// SIGTERM is about to be sent.
    pub fn begin_shutdown(&self) {
        let shutdown_at = Some(Instant::now());
        let interruption = Interruption { shutdown_at, killed_at: None, resumed_at: None };
        self.0.lock().unwrap().interruptions.push(interruption);
    }

    /// SIGKILL is about to be sent.
    pub fn interrupt(&self) {
        let (now, mut records) = (Instant::now(), self.0.lock().unwrap());
        match records.interruptions.last_mut() {
            Some(last) if last.killed_at.is_none() => last.killed_at = Some(now),
            _ => records.interruptions.push(Interruption {
                shutdown_at: None,
                killed_at: Some(now),
                resumed_at: None,
            }),
        }
    }

    /// A process serves again.
    pub fn resume(&self) {
        if let Some(last) = self.0.lock().unwrap().interruptions.last_mut() {
            last.resumed_at = Some(Instant::now());
        }
    }

    /// Returns all violations.
    pub fn finish(&self) -> Vec<String> {
        let records = self.0.lock().unwrap();
        let mut violations = records.violations.clone();
        let twice = records.runs.iter().filter(|(_, runs)| records.has_run_twice(runs));
        violations.extend(twice.map(|(id, runs)| format!("{id} ran {} times", runs.len())));
        for request in &records.requests {
            violations.extend(records.loss_of(request));
        }
        violations
    }
}

impl Records {
    /// Whether a request has run twice without a kill in between: a process that was killed leaves nothing behind.
    fn has_run_twice(&self, runs: &[Instant]) -> bool {
        let kills = || self.interruptions.iter().filter_map(|interruption| interruption.killed_at);
        runs.windows(2).any(|pair| !kills().any(|at| pair[0] <= at && at <= pair[1]))
    }

    /// Why a request counts as lost.
    fn loss_of(&self, request: &Request) -> Option<String> {
        let due = request.sent_at + request.budget + LOST_AFTER;
        let waited = request.ended_at - request.sent_at;
        let has_run = self.runs.contains_key(&request.id);
        let text = match &request.ending {
            Ending::Answered(status, _) if *status >= 500 && has_run && request.begins_in_time => {
                format!("{} ran, its response had begun, and it got {status}", request.id)
            }
            Ending::Answered(_, at) if *at <= due => return None,
            Ending::Answered(status, at) => {
                format!(
                    "{} got {status} after {:?} of {:?}",
                    request.id,
                    *at - request.sent_at,
                    request.budget
                )
            }
            Ending::CutOff(bytes) => format!("{} was cut off after {bytes} bytes and {waited:?}", request.id),
            Ending::Nothing => format!("{} got nothing after {waited:?}", request.id),
        };
        (!self.is_excused(request)).then(|| format!("{text} ({})", request.kind))
    }

    /// Whether a process was killed within the request, or was shutting down and need not have served it.
    fn is_excused(&self, request: &Request) -> bool {
        self.interruptions.iter().any(|interruption| {
            let Some(killed_at) = interruption.killed_at else { return false };
            let end = interruption.resumed_at.unwrap_or(request.ended_at);
            let was_open_at_kill = request.sent_at <= end && request.ended_at >= killed_at;
            if matches!(request.ending, Ending::CutOff(_)) {
                return was_open_at_kill;
            }
            let is_late_arrival = interruption
                .shutdown_at
                .is_some_and(|at| request.sent_at >= at + ARRIVAL_AFTER_SIGTERM && request.sent_at <= end);
            let is_refused = matches!(request.ending, Ending::Nothing)
                && interruption
                    .shutdown_at
                    .is_some_and(|at| request.ended_at >= at && request.sent_at <= end)
                && !self.runs.contains_key(&request.id);
            // What was to be answered by then must have been answered before the kill.
            let was_due = request.sent_at + request.budget + LOST_AFTER < killed_at;
            let arrived_in_time =
                interruption.shutdown_at.is_none_or(|at| request.sent_at < at + ARRIVAL_AFTER_SIGTERM);
            let is_owed_at_kill = interruption.shutdown_at.is_some() && arrived_in_time;
            (was_open_at_kill && !was_due && !is_owed_at_kill) || is_late_arrival || is_refused
        })
    }
}
