//! Judges a run from outside, by a ledger of what was offered, what ran and what was answered. It asks nothing of the
//! program that it judges.

use crate::world::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// What a repeat of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    /// Nothing.
    Harmless,
    /// A second effect.
    Doubled,
}

/// The final answer of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A server's.
    Served,
    /// Told to come again.
    Refused,
    /// Anything else.
    Failed,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Offered {
    /// When its client sent it.
    pub at: Micros,
    /// Its class's place.
    pub class: usize,
    /// What a repeat would do.
    pub repeats: Repeats,
    /// All answers that its client got.
    pub answers: Vec<(Micros, Answer)>,
    /// Where and when it ran.
    pub runs: Vec<(Micros, usize)>,
}

/// All that happened.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// By number.
    pub requests: Vec<Offered>,
    /// Sends: when the first byte went, and to which server.
    pub sends: Vec<(Micros, usize)>,
    /// Times at which all agents had been told that a server drains or is gone, and when that ended, if it did.
    pub off: Vec<(usize, Micros, Option<Micros>)>,
    /// Cold servers that fell over.
    pub falls: u32,
}

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has exactly one final answer.
    OneAnswer,
    /// What must not run twice has not.
    NoDoubledEffect,
    /// Nothing new goes to a server that drains, once the grace is over.
    Drain,
    /// No cold server falls over.
    Cold,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer",
            Rule::NoDoubledEffect => "no doubled effect",
            Rule::Drain => "nothing to a draining server",
            Rule::Cold => "no cold server pushed over",
        })
    }
}

/// How the users were served: 1 is all requests within their aim.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// All requests together.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The class that was served worst.
    pub worst_class: f64,
}

/// What was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// How often each rule was broken.
    pub breaches: BTreeMap<Rule, usize>,
    /// How the users were served.
    pub service: Service,
}

/// What an answer between aim and deadline is worth.
const LATE_WORTH: f64 = 0.5;
const WINDOW: Micros = 10_000_000;
/// The bounds of the rules are longer by this.
const SLACK: Micros = 50_000;

/// Judges by the aims and deadlines of the classes, and by the grace of a drain.
pub fn judge(ledger: &Ledger, classes: &[(Micros, Micros)], grace: Micros) -> Verdict {
    let mut breaches = BTreeMap::new();
    let mut count = |rule, n: usize| {
        if n > 0 {
            breaches.insert(rule, n);
        }
    };
    count(Rule::OneAnswer, ledger.requests.iter().filter(|r| r.answers.len() != 1).count());
    let doubled = |r: &&Offered| r.repeats == Repeats::Doubled && r.runs.len() > 1;
    count(Rule::NoDoubledEffect, ledger.requests.iter().filter(doubled).count());
    let late = |(at, server): &&(Micros, usize)| {
        ledger.off.iter().any(|(off, from, until)| {
            off == server && *at > from + grace + SLACK && until.is_none_or(|until| *at < until)
        })
    };
    count(Rule::Drain, ledger.sends.iter().filter(late).count());
    count(Rule::Cold, ledger.falls as usize);
    Verdict { breaches, service: service(ledger, classes) }
}

fn service(ledger: &Ledger, classes: &[(Micros, Micros)]) -> Service {
    let worth = |request: &Offered| {
        let (aim, deadline) = classes[request.class];
        match request.answers.first() {
            Some((at, Answer::Served)) if at - request.at <= aim => 1.0,
            Some((at, Answer::Served)) if at - request.at <= deadline => LATE_WORTH,
            _ => 0.0,
        }
    };
    let mut whole = (0.0, 0.0);
    let mut windows: BTreeMap<Micros, (f64, f64)> = BTreeMap::new();
    let mut by_class = vec![(0.0, 0.0); classes.len()];
    for request in &ledger.requests {
        let worth = worth(request);
        let window = windows.entry(request.at / WINDOW).or_default();
        for sum in [&mut whole, window, &mut by_class[request.class]] {
            (sum.0, sum.1) = (sum.0 + worth, sum.1 + 1.0);
        }
    }
    let share = |(got, of): (f64, f64)| if of > 0.0 { got / of } else { 1.0 };
    let worst = |sums: Vec<(f64, f64)>| sums.into_iter().map(share).fold(1.0, f64::min);
    Service {
        whole: share(whole),
        worst_window: worst(windows.into_values().collect()),
        worst_class: worst(by_class),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> Ledger {
        let request = |n: Micros, class| Offered {
            at: n * 1000,
            class,
            repeats: if class == 1 { Repeats::Doubled } else { Repeats::Harmless },
            answers: vec![(n * 1000 + 5000, Answer::Served)],
            runs: vec![(n * 1000 + 1000, 0)],
        };
        Ledger {
            requests: (0..100).map(|n| request(n, (n % 2) as usize)).collect(),
            sends: (0..100).map(|n| (n * 1000, 0)).collect(),
            off: vec![(1, 10_000, None)],
            falls: 0,
        }
    }

    const CLASSES: [(Micros, Micros); 2] = [(10_000, 50_000); 2];

    fn broken(spoil: impl Fn(&mut Ledger)) -> Vec<Rule> {
        let mut ledger = sound();
        spoil(&mut ledger);
        judge(&ledger, &CLASSES, 500_000).breaches.into_keys().collect()
    }

    /// Each planted fault is caught by its rule and by no other.
    #[test]
    fn a_planted_fault_is_caught_by_its_rule_and_no_other() {
        assert_eq!(broken(|_| {}), []);
        assert_eq!(broken(|l| l.requests[7].answers.push((20_000, Answer::Failed))), [Rule::OneAnswer]);
        assert_eq!(broken(|l| l.requests[7].answers.clear()), [Rule::OneAnswer]);
        assert_eq!(broken(|l| l.requests[7].runs.push((9000, 1))), [Rule::NoDoubledEffect]);
        assert_eq!(broken(|l| l.requests[8].runs.push((9000, 1))), [], "this class may run twice");
        assert_eq!(broken(|l| l.sends.push((710_000, 1))), [Rule::Drain]);
        assert_eq!(broken(|l| l.sends.push((540_000, 1))), [], "within the grace");
        assert_eq!(broken(|l| l.off[0].2 = Some(700_000)), []);
        assert_eq!(broken(|l| l.falls = 1), [Rule::Cold]);
    }

    #[test]
    fn service_is_told_in_the_users_terms() {
        let mut ledger = sound();
        assert_eq!(judge(&ledger, &CLASSES, 0).service.whole, 1.0);
        for request in ledger.requests.iter_mut().filter(|r| r.class == 1) {
            request.answers[0].0 = request.at + 20_000;
        }
        let service = judge(&ledger, &CLASSES, 0).service;
        assert_eq!((service.whole, service.worst_class), (0.75, 0.5));
    }
}
