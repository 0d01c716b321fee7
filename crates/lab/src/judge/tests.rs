use super::*;

fn sound() -> Ledger {
    let call = |n: Micros| Call {
        at: n * 1000,
        class: (n % 2) as usize,
        tenant: 0,
        repeats: if n % 2 == 1 { Repeats::Doubled } else { Repeats::Harmless },
        effects: vec![(n * 1000 + 1000, 0, 0)],
    };
    let one = |n: Micros| Try {
        call: n as usize,
        agent: (n % 2) as usize,
        at: n * 1000,
        answers: vec![(n * 1000 + 5000, Answer::Served)],
        excused: false,
        risk: 0,
        advised: (n == 50).then_some(49_900),
    };
    Ledger {
        calls: (0..100).map(call).collect(),
        tries: (0..100).map(one).collect(),
        sends: (0..100).map(|n| (n * 1000, 0, 0)).collect(),
        told: vec![vec![(0, 1), (10_000, 2)], vec![(0, 1), (300_000, 2)]],
        off: vec![Off { server: 1, version: 2, until: None }],
        most_open: 10,
        memory_mb: Some(8.0),
        memory: (0..60).map(|n| (n, 1000)).collect(),
        ..Ledger::default()
    }
}

const CLASSES: [(Micros, Micros); 2] = [(10_000, 50_000); 2];
const HOLDS: Holds = Holds {
    whole: Some(0.9),
    worst_window: None,
    worst_class: None,
    waits_kept: Some(0.9),
    connections: Some(10),
    memory_mb: Some(8.0),
    memory_growth: Some(0.1),
};

fn broken(spoil: impl Fn(&mut Ledger)) -> Vec<Rule> {
    let mut ledger = sound();
    spoil(&mut ledger);
    let verdict = judge(&ledger, &CLASSES, 500_000, &HOLDS);
    assert!(verdict.missed.is_empty(), "{verdict:?}");
    verdict.breaches.into_keys().collect()
}

/// Each planted fault is caught by its rule and by no other.
#[test]
fn a_planted_fault_is_caught_by_its_rule_and_no_other() {
    assert_eq!(broken(|_| {}), []);
    assert_eq!(broken(|l| l.tries[7].answers.push((20_000, Answer::Failed))), [Rule::OneAnswer]);
    assert_eq!(broken(|l| l.tries[7].answers.clear()), [Rule::OneAnswer]);
    let excused = |l: &mut Ledger| (l.tries[7].answers.clear(), l.tries[7].excused = true).1;
    assert_eq!(broken(excused), [], "its agent was killed");
    assert_eq!(broken(|l| l.calls[7].effects.push((9000, 1, 0))), [Rule::NoDoubledEffect]);
    assert_eq!(broken(|l| l.calls[7].effects.push((9000, 1, 1))), [], "at its client's own risk");
    assert_eq!(broken(|l| l.calls[8].effects.push((9000, 1, 0))), [], "this class may run twice");
    assert_eq!(broken(|l| l.sends.push((710_000, 1, 0))), [Rule::Drain]);
    assert_eq!(broken(|l| l.sends.push((710_000, 1, 1))), [], "this agent was told later");
    assert_eq!(broken(|l| l.sends.push((540_000, 1, 0))), [], "within the grace");
    let back = |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.off[0].until = Some(700_000)).1;
    assert_eq!(broken(back), [], "it was to be used again");
    let reborn = |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.told[0].push((700_000, 1))).1;
    assert_eq!(broken(reborn), [], "a new life has only its old list");
    assert_eq!(broken(|l| l.falls = 1), [Rule::Cold]);
    assert_eq!(broken(|l| l.crashed = 1), [Rule::Crash]);
    assert_eq!(broken(|l| l.unfaithful = 1), [Rule::Faithful]);
    assert_eq!(broken(|l| l.most_open = 11), [Rule::Connections]);
    assert_eq!(broken(|l| l.memory_mb = Some(8.1)), [Rule::Memory]);
    let grows = |l: &mut Ledger| l.memory.iter_mut().for_each(|(n, held)| *held += 5 * *n as i64);
    assert_eq!(broken(grows), [Rule::Memory]);
    assert_eq!(broken(|l| l.memory.clear()), [Rule::Memory], "nobody looked");
    assert_eq!(broken(|l| l.tries[50].answers[0].1 = Answer::Refused(None)), [Rule::Waits]);
    let early = |l: &mut Ledger| {
        l.tries[50].answers[0].1 = Answer::Refused(None);
        l.tries[50].advised = Some(60_000);
    };
    assert_eq!(broken(early), [], "it came early, and the wait said so");
}

#[test]
fn a_run_that_was_late_itself_is_void() {
    let late = Ledger { late: MOST_LATE + 1, ..sound() };
    let verdict = judge(&late, &CLASSES, 0, &HOLDS);
    assert!(!verdict.held() && verdict.words().starts_with("VOID"));
}

#[test]
fn service_is_told_in_the_users_terms() {
    let mut ledger = sound();
    assert_eq!(judge(&ledger, &CLASSES, 0, &HOLDS).service.whole, 1.0);
    for t in ledger.tries.iter_mut().filter(|t| t.call % 2 == 1) {
        t.answers[0].0 = t.at + 20_000;
    }
    let verdict = judge(&ledger, &CLASSES, 0, &HOLDS);
    assert_eq!((verdict.service.whole, verdict.service.worst_class), (0.75, 0.5));
    assert_eq!((verdict.missed.len(), verdict.held()), (1, false));
}
