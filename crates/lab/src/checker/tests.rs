use super::*;

fn valid_ledger() -> Ledger {
    let call = |n: Micros| Call {
        scheduled_at: n * 1000,
        class: (n % 2) as usize,
        tenant: 0,
        repeat_effect: if n % 2 == 1 { RepeatEffect::Duplicated } else { RepeatEffect::Harmless },
        effects: vec![(n * 1000 + 1000, 0, 0)],
    };
    let attempt = |n: Micros| ClientAttempt {
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
        client_attempts: (0..100).map(attempt).collect(),
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
const REQUIREMENTS: Requirements = Requirements {
    overall: Some(0.9),
    worst_window: None,
    worst_class: None,
    waits_kept: Some(0.9),
    connections: Some(10),
    memory_mb: Some(8.0),
    memory_growth: Some(0.1),
};

fn violations(change: impl Fn(&mut Ledger)) -> Vec<Rule> {
    let mut ledger = valid_ledger();
    change(&mut ledger);
    let result = check(&ledger, &CLASSES, 500_000, &REQUIREMENTS);
    assert!(result.missed.is_empty(), "{result:?}");
    result.violations.into_keys().collect()
}

/// A violation that no rule reports, or that another rule reports too, would make the check worthless or misleading.
#[test]
fn each_violation_is_reported_by_its_rule_only() {
    assert_eq!(violations(|_| {}), []);
    assert_eq!(
        violations(|ledger| ledger.client_attempts[7].responses.push((20_000, ClientResponse::Failed))),
        [Rule::OneFinalResponse]
    );
    assert_eq!(violations(|ledger| ledger.client_attempts[7].responses.clear()), [Rule::OneFinalResponse]);
    let excused =
        |l: &mut Ledger| (l.client_attempts[7].responses.clear(), l.client_attempts[7].excused = true).1;
    assert_eq!(violations(excused), [], "its agent was killed");
    assert_eq!(violations(|ledger| ledger.calls[7].effects.push((9000, 1, 0))), [Rule::NoDuplicateEffect]);
    assert_eq!(
        violations(|ledger| ledger.calls[7].effects.push((9000, 1, 1))),
        [],
        "the client retried at its own risk"
    );
    assert_eq!(
        violations(|ledger| ledger.calls[8].effects.push((9000, 1, 0))),
        [],
        "requests of this class are idempotent"
    );
    assert_eq!(violations(|ledger| ledger.sends.push((710_000, 1, 0))), [Rule::Drain]);
    assert_eq!(
        violations(|ledger| ledger.sends.push((710_000, 1, 1))),
        [],
        "this agent received the list later"
    );
    assert_eq!(violations(|ledger| ledger.sends.push((540_000, 1, 0))), [], "within the grace period");
    let used_again =
        |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.unavailable[0].until = Some(700_000)).1;
    assert_eq!(violations(used_again), [], "the server may be used again");
    let restarted = |l: &mut Ledger| (l.sends.push((710_000, 1, 0)), l.list_versions[0].push((700_000, 1))).1;
    assert_eq!(violations(restarted), [], "a restarted agent knows only its old list");
    assert_eq!(violations(|ledger| ledger.cold_crashes = 1), [Rule::ColdStart]);
    assert_eq!(violations(|ledger| ledger.crashed_agents = 1), [Rule::Crash]);
    assert_eq!(violations(|ledger| ledger.mistranslated = 1), [Rule::FaithfulTranslation]);
    assert_eq!(violations(|ledger| ledger.max_open_connections = 11), [Rule::Connections]);
    assert_eq!(violations(|ledger| ledger.memory_mb = Some(8.1)), [Rule::Memory]);
    let growing = |ledger: &mut Ledger| ledger.memory.iter_mut().for_each(|(n, held)| *held += 5 * *n as i64);
    assert_eq!(violations(growing), [Rule::Memory]);
    assert_eq!(violations(|ledger| ledger.memory.clear()), [Rule::Memory], "no samples were taken");
    assert_eq!(
        violations(|ledger| ledger.client_attempts[50].responses[0].1 = ClientResponse::Rejected(None)),
        [Rule::RetryAfter]
    );
    let early = |ledger: &mut Ledger| {
        ledger.client_attempts[50].responses[0].1 = ClientResponse::Rejected(None);
        ledger.client_attempts[50].advised_until = Some(60_000);
    };
    assert_eq!(violations(early), [], "the retry came before the end of the advised wait");
}

#[test]
fn a_run_with_late_timers_is_void() {
    let late = Ledger { timer_lateness: MAX_TIMER_LATENESS + 1, ..valid_ledger() };
    let result = check(&late, &CLASSES, 0, &REQUIREMENTS);
    assert!(!result.held() && result.summary().starts_with("VOID"));
}

#[test]
fn late_responses_count_half_in_the_service() {
    let mut ledger = valid_ledger();
    assert_eq!(check(&ledger, &CLASSES, 0, &REQUIREMENTS).service.overall, 1.0);
    for attempt in ledger.client_attempts.iter_mut().filter(|attempt| attempt.call % 2 == 1) {
        attempt.responses[0].0 = attempt.sent_at + 20_000;
    }
    let result = check(&ledger, &CLASSES, 0, &REQUIREMENTS);
    assert_eq!((result.service.overall, result.service.worst_class), (0.75, 0.5));
    assert_eq!((result.missed.len(), result.held()), (1, false));
}
