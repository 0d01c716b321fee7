//! Judges a run from outside, by a ledger of what was offered, what ran and what was answered. It asks nothing of the
//! program that it judges.

use crate::memory::growth;
use crate::server_model::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What a repeat of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatEffect {
    /// Nothing.
    Harmless,
    /// Servers drop it for so long: all of them, or those of one building.
    Deduplicated {
        /// All servers share the memory.
        everywhere: bool,
        /// For how long.
        window: Micros,
    },
    /// A second effect.
    Duplicated,
}

/// The final answer of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientResponse {
    /// A server's.
    Success,
    /// Told to come again, perhaps after so long.
    Rejected(Option<Micros>),
    /// Anything else.
    Failed,
}

/// What a client wants, however often it tries.
#[derive(Debug, Clone)]
pub struct Call {
    /// When it was meant to be sent.
    pub scheduled_at: Micros,
    /// Its class's place.
    pub class: usize,
    /// Its tenant's place.
    pub tenant: usize,
    /// What a repeat would do.
    pub repeat_effect: RepeatEffect,
    /// When and where it ran with an effect, and which risk that was.
    pub effects: Vec<(Micros, usize, u32)>,
}

/// A try of a call.
#[derive(Debug, Clone)]
pub struct ClientAttempt {
    /// The call's place.
    pub call: usize,
    /// Whom it was sent to: whose sends its attempts are.
    pub agent: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// All answers that its client got.
    pub responses: Vec<(Micros, ClientResponse)>,
    /// A client that was not told that a repeat is harmless repeats at its own risk: from there on this is greater.
    pub risk: u32,
    /// Nothing is owed to it: its client has left, or its agent was killed or could not be reached.
    pub excused: bool,
    /// It came no sooner than an advised wait had said, which had begun then.
    pub advised_until: Option<Micros>,
}

/// A server that nothing new may be sent to.
#[derive(Debug, Clone)]
pub struct UnavailableServer {
    /// Which one.
    pub server: usize,
    /// The version of the list that says so.
    pub version: i64,
    /// When it was to be used again, if it was.
    pub until: Option<Micros>,
}

/// All that happened.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// By number.
    pub calls: Vec<Call>,
    /// By number.
    pub client_attempts: Vec<ClientAttempt>,
    /// Sends: when the first byte went, to which server, by which agent.
    pub sends: Vec<(Micros, usize, usize)>,
    /// By agent: which version of the list it was told when, in order.
    pub list_versions: Vec<Vec<(Micros, i64)>>,
    /// Servers that drained or were gone.
    pub unavailable: Vec<UnavailableServer>,
    /// Cold servers that fell over, by those who had been told.
    pub cold_crashes: u32,
    /// Connections that servers opened in all, and the most that one held at once.
    pub connections_opened: u64,
    /// The most connections that one server held at once.
    pub max_open_connections: usize,
    /// Probes of servers.
    pub probes: u64,
    /// Lines of lists that discovery wrote.
    pub list_entries: u64,
    /// The most memory that an agent took, if that was measured.
    pub memory_mb: Option<f64>,
    /// What the process held beside this ledger, in bytes, now and then, where that is looked at.
    pub memory: Vec<(Micros, i64)>,
    /// Agents that ended by themselves.
    pub crashed_agents: usize,
    /// Messages that reached a server or a client other than they were meant.
    pub mistranslated: usize,
    /// Requests that servers of each dialect ran for clients of the other: at old servers, at new ones.
    pub translated: (u64, u64),
    /// How late the run itself was with what it had to do, at the worst hundredth.
    pub timer_lateness: Micros,
}

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each request has exactly one final answer.
    #[serde(rename = "OneAnswer")]
    OneFinalResponse,
    /// What must not run twice has not.
    #[serde(rename = "NoDoubledEffect")]
    NoDuplicateEffect,
    /// Nothing new goes to a server that drains, once the grace is over.
    Drain,
    /// No cold server falls over.
    #[serde(rename = "Cold")]
    ColdStart,
    /// No server holds more connections than the scenario allows.
    Connections,
    /// No agent takes more memory than the scenario allows.
    Memory,
    /// A client that waited as it was advised is not sent away again.
    #[serde(rename = "Waits")]
    RetryAfter,
    /// What reaches a server is what its client meant, and what reaches a client is what its server said.
    #[serde(rename = "Faithful")]
    FaithfulTranslation,
    /// No agent ends that was not asked to.
    Crash,
}

impl Rule {
    /// A slow machine can break it though the program is sound.
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
            Rule::NoDuplicateEffect => "no doubled effect",
            Rule::Drain => "nothing to a draining server",
            Rule::ColdStart => "no cold server pushed over",
            Rule::Connections => "bounded connections",
            Rule::Memory => "bounded memory",
            Rule::RetryAfter => "advised waits prove true",
            Rule::FaithfulTranslation => "faithful translation",
            Rule::Crash => "no agent ends by itself",
        })
    }
}

/// What must hold beside the rules that always do.
#[derive(Debug, Clone, Copy, Default)]
pub struct Requirements {
    /// The least service of all requests together.
    pub overall: Option<f64>,
    /// Of the worst 10 s.
    pub worst_window: Option<f64>,
    /// Of the worst class.
    pub worst_class: Option<f64>,
    /// The least share of advised waits that must prove true.
    pub waits_kept: Option<f64>,
    /// The most connections that one server may hold at once.
    pub connections: Option<usize>,
    /// The most memory that an agent may take.
    pub memory_mb: Option<f64>,
    /// By how much memory may grow over a run, as a share of what it is in the first third.
    pub memory_growth: Option<f64>,
}

/// How the users were served: 1 is all requests within their aim.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// All requests together.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The class that was served worst.
    pub worst_class: f64,
    /// The tenant that was served worst.
    pub worst_tenant: f64,
}

/// What was found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckResult {
    /// How often each rule was broken.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, usize>,
    /// What the scenario wants beside the rules and did not get, in words.
    pub missed: Vec<String>,
    /// How the users were served.
    pub service: Service,
    /// The share of advised waits that proved true, if there were any.
    pub waits_kept: Option<f64>,
    /// The run itself was late, so that it says nothing: by so many microseconds.
    pub void: Option<Micros>,
}

impl CheckResult {
    /// All that must hold held.
    pub fn held(&self) -> bool {
        self.violations.is_empty() && self.missed.is_empty() && self.void.is_none()
    }

    /// In words.
    pub fn summary(&self) -> String {
        if let Some(late) = self.void {
            return format!("VOID: the run itself was {} ms late", late / 1000);
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

/// What an answer between aim and deadline is worth.
const LATE_WEIGHT: f64 = 0.5;
const WINDOW: Micros = 10_000_000;
/// The bounds of the rules are longer by this.
const SLACK: Micros = 50_000;
/// An advised wait is kept if the client comes within this after it.
const ON_TIME: Micros = 1_000_000;
/// A run whose own timers are later than this, at the worst hundredth, is void.
pub const MAX_TIMER_LATENESS: Micros = 25_000;

/// Judges by the aims and deadlines of the classes, and by the grace of a drain.
pub fn check(
    ledger: &Ledger,
    classes: &[(Micros, Micros)],
    grace: Micros,
    requirements: &Requirements,
) -> CheckResult {
    let mut breaches = BTreeMap::new();
    let mut count = |rule, n: usize| {
        if n > 0 {
            breaches.insert(rule, n);
        }
    };
    let wrong = |t: &&ClientAttempt| t.responses.len() > 1 || (t.responses.is_empty() && !t.excused);
    count(Rule::OneFinalResponse, ledger.client_attempts.iter().filter(wrong).count());
    let doubled = |call: &&Call| {
        let mut risks: Vec<u32> = call.effects.iter().map(|(.., risk)| *risk).collect();
        risks.sort_unstable();
        call.repeat_effect != RepeatEffect::Harmless && risks.windows(2).any(|pair| pair[0] == pair[1])
    };
    count(Rule::NoDuplicateEffect, ledger.calls.iter().filter(doubled).count());
    count(Rule::Drain, late_sends(ledger, grace + SLACK));
    count(Rule::ColdStart, ledger.cold_crashes as usize);
    count(Rule::Crash, ledger.crashed_agents);
    count(Rule::FaithfulTranslation, ledger.mistranslated);
    if requirements.connections.is_some_and(|most| ledger.max_open_connections > most) {
        count(Rule::Connections, 1);
    }
    if requirements.memory_mb.zip(ledger.memory_mb).is_some_and(|(most, took)| took > most) {
        count(Rule::Memory, 1);
    }
    // A run that was to be looked at and was not has not held either.
    if requirements.memory_growth.is_some_and(|most| growth(&ledger.memory).is_none_or(|grew| grew > most)) {
        count(Rule::Memory, 1);
    }
    let came = |t: &&ClientAttempt| {
        t.advised_until.is_some_and(|due| t.sent_at >= due && t.sent_at <= due + ON_TIME)
    };
    let on_time: Vec<&ClientAttempt> =
        ledger.client_attempts.iter().filter(came).filter(|t| !t.excused).collect();
    let sent_away = on_time
        .iter()
        .filter(|t| matches!(t.responses.first(), Some((_, ClientResponse::Rejected(_)))))
        .count();
    let waits_kept = (!on_time.is_empty()).then(|| 1.0 - sent_away as f64 / on_time.len() as f64);
    if requirements.waits_kept.zip(waits_kept).is_some_and(|(least, kept)| kept < least) {
        count(Rule::RetryAfter, sent_away);
    }
    let service = service(ledger, classes);
    let wants = [
        ("service", requirements.overall, service.overall),
        ("service in the worst 10 s", requirements.worst_window, service.worst_window),
        ("service of the worst class", requirements.worst_class, service.worst_class),
    ];
    let missed = wants.iter().filter_map(|(what, least, got)| {
        least.filter(|least| got < least).map(|least| format!("{what} is {got:.3}, below {least}"))
    });
    let void = (ledger.timer_lateness > MAX_TIMER_LATENESS).then_some(ledger.timer_lateness);
    CheckResult { violations: breaches, missed: missed.collect(), service, waits_kept, void }
}

/// Sends to a server that the sender had been told to leave alone for longer than this.
fn late_sends(ledger: &Ledger, bound: Micros) -> usize {
    let mut by_server: BTreeMap<usize, Vec<&UnavailableServer>> = BTreeMap::new();
    for off in &ledger.unavailable {
        by_server.entry(off.server).or_default().push(off);
    }
    let late = |(at, server, agent): &&(Micros, usize, usize)| {
        by_server.get(server).is_some_and(|offs| {
            offs.iter().any(|off| {
                if off.until.is_some_and(|until| *at >= until) {
                    return false;
                }
                let told = ledger.list_versions.get(*agent).map_or(&[][..], Vec::as_slice);
                // A lower version is that of a new life, which knows only its old list.
                let mut since = None;
                for (told, version) in told.iter().take_while(|(told, _)| told <= at) {
                    since = (*version >= off.version).then(|| since.unwrap_or(*told));
                }
                since.is_some_and(|told| *at > told + bound)
            })
        })
    };
    ledger.sends.iter().filter(late).count()
}

/// When each call was served, if it was: by the first of its tries that was.
pub fn first_successes(ledger: &Ledger) -> Vec<Option<Micros>> {
    let mut served: Vec<Option<Micros>> = vec![None; ledger.calls.len()];
    for t in &ledger.client_attempts {
        if let Some((at, ClientResponse::Success)) = t.responses.first() {
            let first = &mut served[t.call];
            *first = Some(first.map_or(*at, |first| first.min(*at)));
        }
    }
    served
}

/// What an answer at this time is worth.
pub fn service_weight(call: &Call, served: Option<Micros>, (aim, deadline): (Micros, Micros)) -> f64 {
    match served {
        Some(at) if at - call.scheduled_at <= aim => 1.0,
        Some(at) if at - call.scheduled_at <= deadline => LATE_WEIGHT,
        _ => 0.0,
    }
}

fn service(ledger: &Ledger, classes: &[(Micros, Micros)]) -> Service {
    let mut whole = (0.0, 0.0);
    let mut windows: BTreeMap<Micros, (f64, f64)> = BTreeMap::new();
    let mut by_class: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut by_tenant: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (call, served) in ledger.calls.iter().zip(first_successes(ledger)) {
        let worth = service_weight(call, served, classes[call.class]);
        let sums = [
            &mut whole,
            windows.entry(call.scheduled_at / WINDOW).or_default(),
            by_class.entry(call.class).or_default(),
            by_tenant.entry(call.tenant).or_default(),
        ];
        for sum in sums {
            (sum.0, sum.1) = (sum.0 + worth, sum.1 + 1.0);
        }
    }
    let share = |(got, of): (f64, f64)| if of > 0.0 { got / of } else { 1.0 };
    let worst = |sums: Vec<(f64, f64)>| sums.into_iter().map(share).fold(1.0, f64::min);
    Service {
        overall: share(whole),
        worst_window: worst(windows.into_values().collect()),
        worst_class: worst(by_class.into_values().collect()),
        worst_tenant: worst(by_tenant.into_values().collect()),
    }
}

#[cfg(test)]
mod tests;
