//! Checks a run from outside, using a ledger of what clients requested, what servers executed and what clients received.
//! It relies on nothing that the program under test reports about itself.

use crate::memory::growth;
use crate::server_model::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The effect of executing a request a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatEffect {
    /// No further effect: the request is idempotent.
    Harmless,
    /// Servers suppress repeats of the request for a while: all servers, or those of one building.
    Deduplicated {
        /// All servers share the deduplication memory.
        everywhere: bool,
        /// How long repeats are suppressed.
        window: Micros,
    },
    /// The effect happens twice.
    Duplicated,
}

/// The final response to a client attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientResponse {
    /// A successful response of a server.
    Success,
    /// The request was rejected, perhaps with a time after which to retry.
    Rejected(Option<Micros>),
    /// Any other response.
    Failed,
}

/// A logical request of a client, which it may attempt several times.
#[derive(Debug, Clone)]
pub struct Call {
    /// When its first attempt was due.
    pub scheduled_at: Micros,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The effect of executing it again.
    pub repeat_effect: RepeatEffect,
    /// Each execution that had an effect: the time, the server, and the [risk level](ClientAttempt::risk) of its attempt.
    pub effects: Vec<(Micros, usize, u32)>,
}

/// One attempt of a client at a call.
#[derive(Debug, Clone)]
pub struct ClientAttempt {
    /// The index of the call.
    pub call: usize,
    /// The agent that it was sent to, and that sends it on to servers.
    pub agent: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// All responses that the client received.
    pub responses: Vec<(Micros, ClientResponse)>,
    /// Grows each time a client retries without knowing that the retry is harmless. Executions at different risk levels are
    /// not counted against the agent as duplicates.
    pub risk: u32,
    /// No response is required: the client cancelled, or the agent was killed or unreachable.
    pub excused: bool,
    /// The end of the Retry-After wait that the client honored before this attempt.
    pub advised_until: Option<Micros>,
}

/// A period in which no new request may be sent to a server.
#[derive(Debug, Clone)]
pub struct UnavailableServer {
    /// The index of the server.
    pub server: usize,
    /// The version of the endpoint list that announces it.
    pub version: i64,
    /// When the server could be used again; `None` if never.
    pub until: Option<Micros>,
}

/// Everything that the check needs to know about a run.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The calls, by index.
    pub calls: Vec<Call>,
    /// The client attempts, by index.
    pub client_attempts: Vec<ClientAttempt>,
    /// Attempts of agents at servers: when the first byte was sent, the server and the agent.
    pub sends: Vec<(Micros, usize, usize)>,
    /// By agent: when it received each version of the endpoint list, in order.
    pub list_versions: Vec<Vec<(Micros, i64)>>,
    /// Periods in which servers were draining or removed.
    pub unavailable: Vec<UnavailableServer>,
    /// How often agents that knew of a cold start crashed the cold server or exceeded its overload budget.
    pub cold_crashes: u32,
    /// Connections opened to all servers.
    pub connections_opened: u64,
    /// The largest number of connections open at one server at once.
    pub max_open_connections: usize,
    /// Health probes sent to servers.
    pub probes: u64,
    /// Entries of endpoint lists that the registry wrote.
    pub list_entries: u64,
    /// The peak memory of any agent, if it was measured.
    pub memory_mb: Option<f64>,
    /// Samples of the heap bytes that the process holds besides this ledger, if the scenario limits their growth.
    pub memory: Vec<(Micros, i64)>,
    /// Agents that exited without being asked to.
    pub crashed_agents: usize,
    /// Messages whose content was wrong when they reached a server or a client.
    pub mistranslated: usize,
    /// Requests that servers received from clients of the other dialect: old servers, new servers.
    pub translated: (u64, u64),
    /// The 99th percentile of the lateness of the emulator's own timers.
    pub timer_lateness: Micros,
}

/// A rule that every run must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each request has exactly one final response.
    #[serde(rename = "OneAnswer")]
    OneFinalResponse,
    /// A request with an effect is not executed twice.
    #[serde(rename = "NoDoubledEffect")]
    NoDuplicateEffect,
    /// No new request is sent to a draining server after the grace period.
    Drain,
    /// No cold server is overloaded until it crashes.
    #[serde(rename = "Cold")]
    ColdStart,
    /// No server has more open connections than the scenario allows.
    Connections,
    /// No agent uses more memory than the scenario allows.
    Memory,
    /// A client that retries after the advised wait is not rejected again.
    #[serde(rename = "Waits")]
    RetryAfter,
    /// Requests and responses keep their meaning when they are translated.
    #[serde(rename = "Faithful")]
    FaithfulTranslation,
    /// No agent exits without being asked to.
    Crash,
}

impl Rule {
    /// Returns whether a slow machine can break the rule although the program is correct.
    pub fn depends_on_timing(self) -> bool {
        !matches!(
            self,
            Rule::OneFinalResponse | Rule::NoDuplicateEffect | Rule::FaithfulTranslation | Rule::Crash
        )
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneFinalResponse => "one final answer",
            Rule::NoDuplicateEffect => "no duplicate effect",
            Rule::Drain => "no request to a draining server",
            Rule::ColdStart => "no cold server pushed over",
            Rule::Connections => "bounded connections",
            Rule::Memory => "bounded memory",
            Rule::RetryAfter => "Retry-After waits are kept",
            Rule::FaithfulTranslation => "faithful translation",
            Rule::Crash => "no agent exits by itself",
        })
    }
}

/// What a scenario requires in addition to the rules.
#[derive(Debug, Clone, Copy, Default)]
pub struct Requirements {
    /// The minimum service over all calls.
    pub overall: Option<f64>,
    /// The minimum service in the worst 10 s.
    pub worst_window: Option<f64>,
    /// The minimum service of the worst class.
    pub worst_class: Option<f64>,
    /// The minimum share of Retry-After waits after which the retry is not rejected.
    pub waits_kept: Option<f64>,
    /// The maximum number of open connections at one server.
    pub connections: Option<usize>,
    /// The maximum memory of an agent, in megabytes.
    pub memory_mb: Option<f64>,
    /// The maximum growth of memory over a run, as a share of its mean in the first third.
    pub memory_growth: Option<f64>,
}

/// The quality of service for clients: 1 means that every call succeeded within its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Over all calls.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// In the worst 10 s.
    pub worst_window: f64,
    /// Of the class with the worst service.
    pub worst_class: f64,
    /// Of the tenant with the worst service.
    pub worst_tenant: f64,
}

/// The result of checking a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckResult {
    /// The number of violations of each rule.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, usize>,
    /// The requirements of the scenario that were not met, as text.
    pub missed: Vec<String>,
    /// The quality of service.
    pub service: Service,
    /// The share of Retry-After waits after which the retry was not rejected, if there were any.
    pub waits_kept: Option<f64>,
    /// The lateness of the emulator's own timers, if it was so large that the run proves nothing.
    pub void: Option<Micros>,
}

impl CheckResult {
    /// Returns whether the run kept all rules and met all requirements.
    pub fn held(&self) -> bool {
        self.violations.is_empty() && self.missed.is_empty() && self.void.is_none()
    }

    /// Describes the result in one line.
    pub fn summary(&self) -> String {
        if let Some(late) = self.void {
            return format!("VOID: the timers of the emulator were {} ms late", late / 1000);
        }
        let broken = self.violations.iter().map(|(rule, n)| format!("{rule}: broken {n} times"));
        let all: Vec<String> = broken.chain(self.missed.iter().cloned()).collect();
        if all.is_empty() {
            "held".into()
        } else {
            all.join(", ")
        }
    }
}

/// The weight of a response between latency objective and deadline.
const LATE_WEIGHT: f64 = 0.5;
/// The length of the windows of which the worst service is reported.
const SERVICE_WINDOW: Micros = 10_000_000;
/// A request to a draining or removed server is a violation only if it is sent more than this after the grace period.
const DRAIN_SLACK: Micros = 50_000;
/// A retry counts as a test of the advised wait if it is sent within this time after the wait.
const RETRY_WINDOW: Micros = 1_000_000;
/// The largest 99th percentile of the emulator's timer lateness with which a run is valid.
pub const MAX_TIMER_LATENESS: Micros = 25_000;

/// Checks a run, given the latency objective and deadline of each class and the drain grace period.
pub fn check(
    ledger: &Ledger,
    classes: &[(Micros, Micros)],
    grace: Micros,
    requirements: &Requirements,
) -> CheckResult {
    let mut violations = BTreeMap::new();
    let mut count = |rule, n: usize| {
        if n > 0 {
            violations.insert(rule, n);
        }
    };
    let has_wrong_count = |attempt: &&ClientAttempt| {
        attempt.responses.len() > 1 || (attempt.responses.is_empty() && !attempt.excused)
    };
    count(Rule::OneFinalResponse, ledger.client_attempts.iter().filter(has_wrong_count).count());
    let is_duplicated = |call: &&Call| {
        let mut risks: Vec<u32> = call.effects.iter().map(|(.., risk)| *risk).collect();
        risks.sort_unstable();
        call.repeat_effect != RepeatEffect::Harmless && risks.windows(2).any(|pair| pair[0] == pair[1])
    };
    count(Rule::NoDuplicateEffect, ledger.calls.iter().filter(is_duplicated).count());
    count(Rule::Drain, sends_to_unavailable(ledger, grace + DRAIN_SLACK));
    count(Rule::ColdStart, ledger.cold_crashes as usize);
    count(Rule::Crash, ledger.crashed_agents);
    count(Rule::FaithfulTranslation, ledger.mistranslated);
    if requirements.connections.is_some_and(|max| ledger.max_open_connections > max) {
        count(Rule::Connections, 1);
    }
    if requirements.memory_mb.zip(ledger.memory_mb).is_some_and(|(max, used)| used > max) {
        count(Rule::Memory, 1);
    }
    // A run whose memory should have been sampled but was not fails too.
    if requirements.memory_growth.is_some_and(|max| growth(&ledger.memory).is_none_or(|grown| grown > max)) {
        count(Rule::Memory, 1);
    }
    let is_after_wait = |attempt: &&ClientAttempt| {
        attempt
            .advised_until
            .is_some_and(|due| attempt.sent_at >= due && attempt.sent_at <= due + RETRY_WINDOW)
    };
    let waited: Vec<&ClientAttempt> =
        ledger.client_attempts.iter().filter(is_after_wait).filter(|attempt| !attempt.excused).collect();
    let rejected = waited
        .iter()
        .filter(|attempt| matches!(attempt.responses.first(), Some((_, ClientResponse::Rejected(_)))))
        .count();
    let waits_kept = (!waited.is_empty()).then(|| 1.0 - rejected as f64 / waited.len() as f64);
    if requirements.waits_kept.zip(waits_kept).is_some_and(|(minimum, kept)| kept < minimum) {
        count(Rule::RetryAfter, rejected);
    }
    let service = service(ledger, classes);
    let minimums = [
        ("service", requirements.overall, service.overall),
        ("service in the worst 10 s", requirements.worst_window, service.worst_window),
        ("service of the worst class", requirements.worst_class, service.worst_class),
    ];
    let missed = minimums.iter().filter_map(|(name, minimum, value)| {
        minimum
            .filter(|minimum| value < minimum)
            .map(|minimum| format!("{name} is {value:.3}, below {minimum}"))
    });
    let void = (ledger.timer_lateness > MAX_TIMER_LATENESS).then_some(ledger.timer_lateness);
    CheckResult { violations, missed: missed.collect(), service, waits_kept, void }
}

/// Counts requests sent to an unavailable server more than `bound` after the sending agent had received the list version that
/// announces it.
fn sends_to_unavailable(ledger: &Ledger, bound: Micros) -> usize {
    let mut by_server: BTreeMap<usize, Vec<&UnavailableServer>> = BTreeMap::new();
    for period in &ledger.unavailable {
        by_server.entry(period.server).or_default().push(period);
    }
    let is_violation = |(at, server, agent): &&(Micros, usize, usize)| {
        by_server.get(server).is_some_and(|periods| {
            periods.iter().any(|period| {
                if period.until.is_some_and(|until| *at >= until) {
                    return false;
                }
                let versions = ledger.list_versions.get(*agent).map_or(&[][..], Vec::as_slice);
                // A lower version belongs to a restarted agent, which knows only its old list.
                let mut since = None;
                for (received, version) in versions.iter().take_while(|(received, _)| received <= at) {
                    since = (*version >= period.version).then(|| since.unwrap_or(*received));
                }
                since.is_some_and(|received| *at > received + bound)
            })
        })
    };
    ledger.sends.iter().filter(is_violation).count()
}

/// Returns for each call when its first successful attempt got its response, if there was one.
pub fn first_successes(ledger: &Ledger) -> Vec<Option<Micros>> {
    let mut successes: Vec<Option<Micros>> = vec![None; ledger.calls.len()];
    for attempt in &ledger.client_attempts {
        if let Some((at, ClientResponse::Success)) = attempt.responses.first() {
            let first = &mut successes[attempt.call];
            *first = Some(first.map_or(*at, |first| first.min(*at)));
        }
    }
    successes
}

/// Returns the weight in the service of a call that succeeded at this time.
pub fn service_weight(call: &Call, served: Option<Micros>, (objective, deadline): (Micros, Micros)) -> f64 {
    match served {
        Some(at) if at - call.scheduled_at <= objective => 1.0,
        Some(at) if at - call.scheduled_at <= deadline => LATE_WEIGHT,
        _ => 0.0,
    }
}

fn service(ledger: &Ledger, classes: &[(Micros, Micros)]) -> Service {
    let mut overall = (0.0, 0.0);
    let mut windows: BTreeMap<Micros, (f64, f64)> = BTreeMap::new();
    let mut by_class: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut by_tenant: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (call, served) in ledger.calls.iter().zip(first_successes(ledger)) {
        let weight = service_weight(call, served, classes[call.class]);
        let sums = [
            &mut overall,
            windows.entry(call.scheduled_at / SERVICE_WINDOW).or_default(),
            by_class.entry(call.class).or_default(),
            by_tenant.entry(call.tenant).or_default(),
        ];
        for sum in sums {
            (sum.0, sum.1) = (sum.0 + weight, sum.1 + 1.0);
        }
    }
    let share = |(sum, count): (f64, f64)| if count > 0.0 { sum / count } else { 1.0 };
    let worst = |sums: Vec<(f64, f64)>| sums.into_iter().map(share).fold(1.0, f64::min);
    Service {
        overall: share(overall),
        worst_window: worst(windows.into_values().collect()),
        worst_class: worst(by_class.into_values().collect()),
        worst_tenant: worst(by_tenant.into_values().collect()),
    }
}

#[cfg(test)]
mod tests;
