use super::name_numbers::MAX_NUMBERED_NAMES;
use super::*;

/// Servers that are replaced under ever new names must not be kept, and the one that takes the address of one
/// that has gone is another: nothing of the old one is its own.
#[tokio::test(start_paused = true)]
async fn servers_that_have_left_are_forgotten() {
    let mut servers = Servers::new(&ServerNames::default());
    let mut numbers = HashSet::new();
    for n in 0..50 {
        let members = vec![EndpointInfo::serving(&format!("s{n}"), 80)];
        let lines = servers.take(EndpointList { version: n, whole: true, members }, |_| {});
        tokio::time::advance(Duration::from_secs(1)).await;
        servers.forget(Duration::from_secs(2));
        assert!(servers.servers.len() <= 4, "{} are kept", servers.servers.len());
        assert_eq!(servers.ids.len(), servers.servers.len());
        assert!(numbers.insert(lines[0].server), "a number is given twice");
    }
}

/// Changes that name ever new servers and never end one fill no memory; what is known is still heard of.
#[tokio::test(start_paused = true)]
async fn a_pool_knows_so_many_servers_and_no_more() {
    let mut servers = Servers::new(&ServerNames::default());
    for n in 0..3 {
        let members = (0..3000).map(|i| EndpointInfo::serving(&format!("s{n}-{i}"), 80)).collect();
        servers.take(EndpointList { version: n, whole: false, members }, |_| {});
    }
    assert_eq!((servers.servers.len(), servers.ids.len()), (MAX_SERVERS, MAX_SERVERS));
    let drained = EndpointInfo { state: EndpointState::Draining, ..EndpointInfo::serving("s0-7", 80) };
    let lines = servers.take(EndpointList { version: 3, whole: false, members: vec![drained] }, |_| {});
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].status, Status::Draining);
    // Those that leave make room, once their grace is over.
    let last = vec![EndpointInfo::serving("last", 80)];
    assert_eq!(
        servers.take(EndpointList { version: 4, whole: true, members: last.clone() }, |_| {}).len(),
        0
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    servers.forget(Duration::from_secs(1));
    assert_eq!(servers.take(EndpointList { version: 5, whole: true, members: last }, |_| {}).len(), 1);
}

/// What drains is cut off before its grace is over, and one that something is out to stays known.
#[tokio::test(start_paused = true)]
async fn a_drain_closes_the_gate_in_time_and_a_restart_is_a_new_life() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, state, started| {
        let member = EndpointInfo { state, started, ..EndpointInfo::serving("s", 80) };
        EndpointList { version, whole: true, members: vec![member] }
    };
    let mut cut = Vec::new();
    let id = servers.take(list(1, EndpointState::Serving, None), |id| cut.push(id))[0].server;
    let grace = Duration::from_millis(500);
    assert!(servers.may_send(id, grace) && servers.is_current(id, 0) && cut.is_empty());
    let place = servers.enter(id).expect("known");
    servers.take(list(2, EndpointState::Draining, None), |id| cut.push(id));
    assert_eq!(cut, [id]);
    assert!(servers.may_send(id, grace) && !servers.any_serving());
    tokio::time::advance(Duration::from_millis(299)).await;
    // A drain that is told again does not begin anew.
    servers.take(list(3, EndpointState::Draining, None), |_| {});
    assert!(servers.may_send(id, grace));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!servers.may_send(id, grace), "0.15 s of being held up and the way there are left of its grace");
    servers.take(list(4, EndpointState::Serving, Some(Time(7))), |_| {});
    assert!(servers.may_send(id, grace) && servers.is_current(id, place.life + 1));
    servers.take(EndpointList { version: 5, whole: true, members: vec![] }, |_| {});
    servers.forget(Duration::ZERO);
    assert!(servers.enter(id).is_some(), "something is out to it");
    (0..2).for_each(|_| servers.leave(id, Outcome::Cancelled));
    servers.forget(Duration::ZERO);
    assert!(servers.enter(id).is_none() && !servers.may_send(id, grace));
}

/// Quiet is who has nothing out and is past the grace; what a server lacks is told by its silence, its drain and its start.
#[tokio::test(start_paused = true)]
async fn who_is_quiet_and_what_servers_lack() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, state| {
        let members =
            vec![EndpointInfo { state, ..EndpointInfo::serving("s", 80) }, EndpointInfo::serving("t", 81)];
        EndpointList { version, whole: true, members }
    };
    let id = servers.take(list(1, EndpointState::Serving), |_| {})[0].server;
    let (grace, warm) = (Duration::from_millis(500), |_| 0.25);
    assert!(servers.is_quiet("unknown", grace) && !servers.is_quiet("s", grace));
    for (outcome, lacks) in [
        (Outcome::TimedOut, 0),
        (Outcome::ConnectFailed, 0),
        (Outcome::Cancelled, 0),
        (Outcome::ConnectionReset, 1),
        (Outcome::Rejected, 0),
    ] {
        servers.enter(id);
        servers.leave(id, outcome);
        assert_eq!(servers.lacks(warm).len(), lacks, "{outcome:?}");
    }
    servers.enter(id);
    servers.take(list(2, EndpointState::Draining), |_| {});
    tokio::time::advance(grace).await;
    assert!(!servers.is_quiet("s", grace), "something is out");
    servers.leave(id, Outcome::Success);
    assert!(servers.is_quiet("s", grace));
    assert_eq!(servers.lacks(warm), [("s".to_string(), 1.0)]);
    let started = EndpointInfo { started: Some(Time(7)), ..EndpointInfo::serving("s", 80) };
    servers.take(EndpointList { version: 3, whole: false, members: vec![started] }, |_| {});
    assert_eq!(servers.lacks(warm), [("s".to_string(), 0.75)]);
}

#[test]
fn names_past_the_bound_share_a_number() {
    let mut numbers = NameNumbers::new(&["a".into(), "b".into()]);
    assert_eq!((numbers.of("b"), numbers.of("c"), numbers.of("c")), (1, 2, 2));
    (0..5000).for_each(|n| {
        numbers.of(&format!("z{n}"));
    });
    assert_eq!(numbers.0.len() as u32, MAX_NUMBERED_NAMES + 1);
    assert_eq!(numbers.of("another"), MAX_NUMBERED_NAMES + 1);
}
