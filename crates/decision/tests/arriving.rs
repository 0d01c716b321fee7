//! Guards requests that are sent on while they still come: no time runs for them, they are no load, and what is not
//! held any more is not sent again.
mod common;
use common::*;
use heronhoist_decision::*;

fn rig(effect: Effect) -> Rig {
    let mut rig = Rig::new(Settings { classes: vec![class(effect)], ..Settings::default() }, 5);
    rig.list(fleet(4, 1, 1));
    rig
}

fn ask_arriving(rig: &mut Rig, id: u64) -> Option<ServerId> {
    let request =
        Request { is_streaming_in: true, ..Request::new(RequestId(id), ClassId(0), Span::from_ms(1000.0)) };
    rig.tell(Event::Request(request));
    rig.sent_to(RequestId(id))
}

fn end(rig: &mut Rig, id: u64, outcome: Outcome, spent: bool) {
    rig.tell(Event::AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNumber(0),
        outcome,
        elapsed: Span::from_ms(5.0),
        report: None,
        is_request_finished: outcome == Outcome::Success,
        is_body_consumed: spent,
    });
}

#[test]
fn a_request_that_takes_long_to_arrive_is_neither_late_nor_its_server_silent() {
    let mut rig = rig(Effect::Idempotent);
    assert!(ask_arriving(&mut rig, 900).is_some());
    let actions = rig.wait(Span::from_ms(30_000.0));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Fail { .. } | Action::Reject { .. })));
    assert_eq!(rig.balancer.excluded_endpoints(rig.now), 0);
    // From its last part on it is like any other.
    rig.tell(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    let actions = rig.wait(Span::from_ms(900.0));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Log { text } if text.contains("silent"))),
        "{actions:?}"
    );
}

/// However many are arriving, there is room for those that are there.
#[test]
fn a_request_that_arrives_is_no_load() {
    let mut rig = rig(Effect::Idempotent);
    for id in 900..1000 {
        assert!(ask_arriving(&mut rig, id).is_some(), "{id}");
    }
    assert!(rig.ask(0).1.is_some());
    // And once they are there, they are load.
    for id in 900..1000 {
        rig.tell(Event::RequestComplete { request: RequestId(id), time_left: Span::from_ms(1000.0) });
    }
    assert!(rig.ask(0).1.is_none());
}

#[test]
fn what_is_not_held_any_more_is_not_sent_again() {
    for (spent, effect) in
        [(false, Effect::Idempotent), (true, Effect::Idempotent), (true, Effect::AtMostOnce)]
    {
        let mut rig = rig(effect);
        ask_arriving(&mut rig, 900);
        end(&mut rig, 900, Outcome::ConnectFailed, spent);
        assert_eq!(rig.sent_to(RequestId(900)).is_none(), spent, "{effect:?}");
        assert_eq!(refused(&rig.actions.clone(), RequestId(900)), spent, "nothing has run");
    }
    let mut rig = rig(Effect::AtMostOnce);
    ask_arriving(&mut rig, 900);
    rig.tell(Event::RequestComplete { request: RequestId(900), time_left: Span::from_ms(1000.0) });
    end(&mut rig, 900, Outcome::ConnectionReset, true);
    assert!(failed(&rig.actions.clone(), RequestId(900)), "it may have run");
}
