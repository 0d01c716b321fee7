use super::*;

fn sound() -> Ledger {
    let call = |n: Micros| Call {
        scheduled_at: n * 1000,
        class: (n % 2) as usize,
        tenant: 0,
        repeat_effect: if n % 2 == 1 { RepeatEffect::Duplicated } else { RepeatEffect::Harmless },
        effects: vec![(n * 1000 + 1000, 0, 0)],
    };
    let one = |n: Micros| ClientAttempt {
        call: n as usize,
        agent: (n % 2) as usize,
        sent_at: n * 1000,
        responses: vec![(n * 1000 + 5000, ClientResponse::Success)],
        excused: false,
        risk: 0,
        advised_until: (n == 50).then_some(49_900),
    };
    Ledger {
        calls: (0..100).map(call).collect(),
        client_attempts: (0..100).map(one).collect(),
        sends: (0..100).map(|n| (n * 1000, 0, 0)).collect(),
        list_versions: vec![vec![(0, 1), (10_000, 2)], vec![(0, 1), (300_000, 2)]],
        unavailable: vec![UnavailableServer { server: 1, version: 2, until: None }],
        max_open_connections: 10,
        memory_mb: Some(8.0),
        memory: (0..60).map(|n| (n, 1000)).collect(),
        ..Ledger::default()
    }
}

const CLASSES: [(Micros, Micros); 2] = [(10_000, 50_000); 2];
const HOLDS: Requirements = Requirements {
    overall: Some(0.9),
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
    let verdict = check(&ledger, &CLASSES, 500_000, &HOLDS);
    assert!(verdict.missed.is_empty(), "{verdict:?}");
    verdict.violations.into_keys().collect()
}

/// Each planted fault is caught by its rule and by no other.
#[test]
fn a_planted_fault_is_caught_by_its_rule_and_no_other() {
    assert_eq!(broken(|_| {}), []);
    assert_eq!(
        broken(|l| l.client_attempts[7].responses.push((20_000, ClientResponse::Failed))),
        [Rule::OneFinalResponse]
    );
    assert_eq!(broken(|l| l.client_attempts[7].responses.clear()), [Rule::OneFinalResponse]);
    let excused =
        |l: &mut Ledger| (l.client_attempts[7].responses.clear(), l.client_attempts[7].excused = true).1;
    assert_eq!(broken(excused), [], "its agent was killed");
    assert_eq!(broken(|l| l.calls[7].effects.push((9000, 1, 0))), [Rule::NoDuplicateEffect]);
    assert_eq!(broken(|l| l.calls[7].effects.push((9000, 1, 1))), [], "at its client's own risk");
    assert_eq!(broken(|l| l.calls[8].effects.push((9000, 1, 0))), [], "this class may run twice");
    assert_eq!(broken(|l| l.sends.push((710_000, 1, 0))), [Rule::Drain]);
    assert_eq!(broken(|l| l.sends.push((710_000, 1, 1))), [], "this agent was told later");
    assert_eq!(broken(|l| l.sends.push((540_000, 1, 0))), [], "within the grace");
    let back = |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.unavailable[0].until = Some(700_000)).1;
    assert_eq!(broken(back), [], "it was to be used again");
    let reborn = |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.list_versions[0].push((700_000, 1))).1;
    assert_eq!(broken(reborn), [], "a new life has only its old list");
    assert_eq!(broken(|l| l.cold_crashes = 1), [Rule::ColdStart]);
    assert_eq!(broken(|l| l.crashed_agents = 1), [Rule::Crash]);
    assert_eq!(broken(|l| l.mistranslated = 1), [Rule::FaithfulTranslation]);
    assert_eq!(broken(|l| l.max_open_connections = 11), [Rule::Connections]);
    assert_eq!(broken(|l| l.memory_mb = Some(8.1)), [Rule::Memory]);
    let grows = |l: &mut Ledger| l.memory.iter_mut().for_each(|(n, held)| *held += 5 * *n as i64);
    assert_eq!(broken(grows), [Rule::Memory]);
    assert_eq!(broken(|l| l.memory.clear()), [Rule::Memory], "nobody looked");
    assert_eq!(
        broken(|l| l.client_attempts[50].responses[0].1 = ClientResponse::Rejected(None)),
        [Rule::RetryAfter]
    );
    let early = |l: &mut Ledger| {
        l.client_attempts[50].responses[0].1 = ClientResponse::Rejected(None);
        l.client_attempts[50].advised_until = Some(60_000);
    };
    assert_eq!(broken(early), [], "it came early, and the wait said so");
}

#[test]
fn a_run_that_was_late_itself_is_void() {
    let late = Ledger { timer_lateness: MAX_TIMER_LATENESS + 1, ..sound() };
    let verdict = check(&late, &CLASSES, 0, &HOLDS);
    assert!(!verdict.held() && verdict.summary().starts_with("VOID"));
}

#[test]
fn service_is_told_in_the_users_terms() {
    let mut ledger = sound();
    assert_eq!(check(&ledger, &CLASSES, 0, &HOLDS).service.overall, 1.0);
    for t in ledger.client_attempts.iter_mut().filter(|t| t.call % 2 == 1) {
        t.responses[0].0 = t.sent_at + 20_000;
    }
    let verdict = check(&ledger, &CLASSES, 0, &HOLDS);
    assert_eq!((verdict.service.overall, verdict.service.worst_class), (0.75, 0.5));
    assert_eq!((verdict.missed.len(), verdict.held()), (1, false));
}
