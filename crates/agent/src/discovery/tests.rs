//! Watches that become silent or fail, and changes of the discovery address, against a discovery that is scripted call by call.

use super::client::{HEAD_TIMEOUT, HOLD_TIMEOUT};
use super::watch::MAX_INITIAL_CALLS;
use heronhoist_decision::Discovery as DiscoveryMode;
use scripted::{in_both_modes, in_both_modes_with_new_source, in_modes, KnownList, Step};
use std::time::Duration;

mod local_errors;
mod scripted;
mod wire_form;

/// How long after a watch has become silent its changes may stay unknown.
const MAX_SILENCE: Duration = Duration::from_secs(6);
/// How long it may take until the list of a new source is known.
const MAX_INITIAL_DELAY: Duration = Duration::from_secs(4);

/// The connection stays open but delivers nothing. The watch must be reopened before its changes are assumed to be known.
#[test]
fn a_silent_watch_is_reopened_in_time() {
    in_both_modes(&[Step::Silence, Step::List], |run| {
        assert!(run.elapsed < MAX_SILENCE, "{:?}", run.elapsed);
        let calls = run.calls;
        assert!(calls[1].request_line.contains("from=1&"), "it continues from the known version: {calls:?}");
    });
}

/// The same holds for a watch that becomes silent after others that had nothing to report.
#[test]
fn a_watch_that_becomes_silent_later_is_reopened_in_time() {
    const STEPS: [Step; 5] =
        [Step::NothingNew, Step::NothingNew, Step::NothingNew, Step::Silence, Step::List];
    in_both_modes(&STEPS, |run| {
        let (silent, next) = (run.calls[3].at, run.calls[4].at);
        assert!(next - silent < MAX_SILENCE, "{:?}", next - silent);
        // At most 200 ms may pass between two watches: changes during that time are not reported.
        for pair in run.calls[..4].windows(2) {
            let interval = pair[1].at - pair[0].at;
            assert!(interval < HOLD_TIMEOUT + Duration::from_millis(200), "{interval:?}");
        }
    });
}

/// A response that stalls in the middle of the list must be treated like a silent watch.
#[test]
fn a_list_that_stalls_is_fetched_again_in_time() {
    in_both_modes(&[Step::Partial(0), Step::List], |run| {
        assert!(run.elapsed < MAX_SILENCE, "{:?}", run.elapsed);
    });
    in_both_modes(&[Step::Partial(30), Step::List], |run| {
        assert!(run.elapsed < MAX_SILENCE, "{:?}", run.elapsed);
    });
}

/// The agent must wait for a list that arrives slowly: a new call would only start it again.
#[test]
fn a_list_that_arrives_slowly_is_used() {
    in_both_modes(&[Step::Trickle(700)], |run| {
        assert!(run.elapsed > Duration::from_secs(4), "it must have arrived slowly: {:?}", run.elapsed);
        assert_eq!(run.calls.len(), 1, "{:?}", run.calls);
    });
}

/// However many calls have failed, the next one must be soon enough that changes are known in time once discovery is available
/// again.
#[test]
fn discovery_is_called_in_time_after_many_failures() {
    const STEPS: [Step; 14] = {
        let mut steps = [Step::Close; 14];
        steps[12] = Step::Silence;
        steps[13] = Step::List;
        steps
    };
    in_both_modes(&STEPS, |run| {
        // Discovery becomes available right after the second-to-last call, which it does not answer.
        let (lost, next) = (run.calls[12].at, run.calls[13].at);
        assert!(next - lost < MAX_SILENCE, "{:?}", next - lost);
    });
}

/// A new source may respond slowly because many agents call it at once. An agent that cancelled each call before its response
/// would never get a list.
#[test]
fn the_list_of_a_slow_new_source_is_known_in_time() {
    for steps in [&[Step::Late(1000)], &[Step::Late(2000)], &[Step::Late(3500)]] {
        in_both_modes_with_new_source(steps, |run| {
            assert!(run.elapsed < MAX_INITIAL_DELAY, "{:?}", run.elapsed);
            let calls = run.calls;
            assert!(calls.len() <= MAX_INITIAL_CALLS + 1, "no needless calls: {calls:?}");
        });
    }
}

/// One unanswered call to a new source must not delay the list, and neither must several failed ones.
#[test]
fn a_new_source_that_is_silent_once_is_called_again_in_time() {
    in_both_modes_with_new_source(&[Step::Silence, Step::List], |run| {
        assert!(run.elapsed < MAX_INITIAL_DELAY, "{:?}", run.elapsed);
    });
    in_both_modes_with_new_source(&[Step::Silence, Step::Silence, Step::List], |run| {
        assert!(run.elapsed < MAX_INITIAL_DELAY, "{:?}", run.elapsed);
    });
    in_both_modes_with_new_source(&[Step::Close, Step::Partial(0), Step::Close, Step::List], |run| {
        assert!(run.elapsed < MAX_INITIAL_DELAY, "{:?}", run.elapsed);
    });
}

/// A new source stays silent for minutes. Only few calls may be in flight at any time, and its list must be used as soon as it
/// arrives.
#[test]
fn a_new_source_that_is_silent_for_long_is_not_flooded() {
    const STEPS: [Step; 61] = {
        let mut steps = [Step::Silence; 61];
        steps[60] = Step::List;
        steps
    };
    // Only pushed mode is tested: where lists are polled, the decision module's own calls are made as well.
    in_modes(&[DiscoveryMode::Pushed], &STEPS, KnownList::OtherSource, |run| {
        let interval = run.calls[60].at - run.calls[59].at;
        assert!(interval < MAX_INITIAL_DELAY, "{interval:?}");
        for calls in run.calls[..60].windows(1 + MAX_INITIAL_CALLS) {
            let duration = calls[MAX_INITIAL_CALLS].at - calls[0].at;
            assert!(duration >= HOLD_TIMEOUT + HEAD_TIMEOUT, "{duration:?}");
        }
    });
}

/// After many minutes without changes the watch becomes silent, is closed or stalls in the middle of a list. That must be noticed
/// as quickly as in the first seconds.
#[test]
fn a_fault_after_a_long_quiet_time_is_noticed_in_time() {
    const QUIET_CALLS: usize = 300;
    const fn quiet_then(fault: Step) -> [Step; QUIET_CALLS + 2] {
        let mut steps = [Step::NothingNew; QUIET_CALLS + 2];
        steps[QUIET_CALLS] = fault;
        steps[QUIET_CALLS + 1] = Step::List;
        steps
    }
    const SILENCE: [Step; QUIET_CALLS + 2] = quiet_then(Step::Silence);
    const CLOSE: [Step; QUIET_CALLS + 2] = quiet_then(Step::Close);
    const PARTIAL: [Step; QUIET_CALLS + 2] = quiet_then(Step::Partial(30));
    for steps in [&SILENCE, &CLOSE, &PARTIAL] {
        in_both_modes(steps, |run| {
            assert!(
                run.elapsed > HOLD_TIMEOUT * QUIET_CALLS as u32,
                "the quiet time was too short: {:?}",
                run.elapsed
            );
            let interval = run.calls[QUIET_CALLS + 1].at - run.calls[QUIET_CALLS].at;
            assert!(interval < MAX_SILENCE, "{interval:?}");
        });
    }
}

/// After an outage of several minutes, first with closed connections and then with silence, discovery's changes must be known at
/// once. During the outage it must be called neither too often nor too rarely.
#[test]
fn a_list_after_a_long_outage_is_known_at_once() {
    const CLOSED_CALLS: usize = 400;
    const FAILED_CALLS: usize = CLOSED_CALLS + 100;
    const STEPS: [Step; FAILED_CALLS + 1] = {
        let mut steps = [Step::Silence; FAILED_CALLS + 1];
        let mut call = 0;
        while call < CLOSED_CALLS {
            steps[call] = Step::Close;
            call += 1;
        }
        steps[FAILED_CALLS] = Step::List;
        steps
    };
    in_both_modes(&STEPS, |run| {
        assert!(run.elapsed > HOLD_TIMEOUT * 100, "the outage was too short: {:?}", run.elapsed);
        assert_eq!(run.calls.len().min(FAILED_CALLS + 1), FAILED_CALLS + 1);
        for pair in run.calls.windows(2) {
            assert!(pair[1].at - pair[0].at < MAX_SILENCE, "{:?}", pair[1].at - pair[0].at);
        }
        let start = run.calls[0].at;
        let first_minute = run.calls[..CLOSED_CALLS].iter().filter(|call| call.at - start < MAX_SILENCE * 10);
        assert!(first_minute.count() < 500, "too many calls in the first minute");
    });
}
