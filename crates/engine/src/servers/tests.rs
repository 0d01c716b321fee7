use super::name_numbers::MAX_NUMBERED_NAMES;
use super::*;
use heronhoist_decision::Status;

/// Servers that are replaced under ever new names must not be kept, and the one that takes the address of a removed one is
/// another: it inherits nothing.
#[tokio::test(start_paused = true)]
async fn removed_servers_are_forgotten() {
    let mut servers = Servers::new(&ServerNames::default());
    let mut ids = HashSet::new();
    for n in 0..50 {
        let endpoints = vec![EndpointInfo::serving(&format!("s{n}"), 80)];
        let lines = servers.apply(EndpointList { version: n, is_complete: true, endpoints }, |_| {});
        tokio::time::advance(Duration::from_secs(1)).await;
        servers.remove_expired(Duration::from_secs(2));
        assert!(servers.servers.len() <= 4, "{} are kept", servers.servers.len());
        assert_eq!(servers.ids.len(), servers.servers.len());
        assert!(ids.insert(lines[0].server), "a number is given twice");
    }
}

/// Changes that name ever new servers and never remove one fill no memory; what is known is still updated.
#[tokio::test(start_paused = true)]
async fn no_more_than_max_servers_are_known() {
    let mut servers = Servers::new(&ServerNames::default());
    for n in 0..3 {
        let endpoints = (0..3000).map(|i| EndpointInfo::serving(&format!("s{n}-{i}"), 80)).collect();
        servers.apply(EndpointList { version: n, is_complete: false, endpoints }, |_| {});
    }
    assert_eq!((servers.servers.len(), servers.ids.len()), (MAX_SERVERS, MAX_SERVERS));
    let drained = EndpointInfo { state: EndpointState::Draining, ..EndpointInfo::serving("s0-7", 80) };
    let lines =
        servers.apply(EndpointList { version: 3, is_complete: false, endpoints: vec![drained] }, |_| {});
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].status, Status::Draining);
    // Removed servers make room, once their grace is over.
    let last = vec![EndpointInfo::serving("last", 80)];
    assert_eq!(
        servers.apply(EndpointList { version: 4, is_complete: true, endpoints: last.clone() }, |_| {}).len(),
        0
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    servers.remove_expired(Duration::from_secs(1));
    assert_eq!(
        servers.apply(EndpointList { version: 5, is_complete: true, endpoints: last }, |_| {}).len(),
        1
    );
}

/// A draining server is cut off before its grace is over, and one with something in flight stays known.
#[tokio::test(start_paused = true)]
async fn a_drain_closes_the_gate_in_time_and_a_restart_is_a_new_incarnation() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, state, started| {
        let endpoint = EndpointInfo { state, started_at: started, ..EndpointInfo::serving("s", 80) };
        EndpointList { version, is_complete: true, endpoints: vec![endpoint] }
    };
    let mut closed = Vec::new();
    let id = servers.apply(list(1, EndpointState::Serving, None), |id| closed.push(id))[0].server;
    let grace = Duration::from_millis(500);
    assert!(servers.may_send(id, grace) && servers.is_current(id, Incarnation(0)) && closed.is_empty());
    let endpoint = servers.begin_use(id).expect("known");
    servers.apply(list(2, EndpointState::Draining, None), |id| closed.push(id));
    assert_eq!(closed, [id]);
    assert!(servers.may_send(id, grace) && !servers.has_serving());
    tokio::time::advance(Duration::from_millis(299)).await;
    // A drain that is listed again does not begin anew.
    servers.apply(list(3, EndpointState::Draining, None), |_| {});
    assert!(servers.may_send(id, grace));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!servers.may_send(id, grace), "0.15 s of being held up and the way there are left of its grace");
    servers.apply(list(4, EndpointState::Serving, Some(Time(7))), |_| {});
    assert!(servers.may_send(id, grace) && servers.is_current(id, endpoint.incarnation.next()));
    servers.apply(EndpointList { version: 5, is_complete: true, endpoints: vec![] }, |_| {});
    servers.remove_expired(Duration::ZERO);
    assert!(servers.begin_use(id).is_some(), "something is in flight to it");
    (0..2).for_each(|_| servers.end_use(id, Outcome::Cancelled));
    servers.remove_expired(Duration::ZERO);
    assert!(servers.begin_use(id).is_none() && !servers.may_send(id, grace));
}

fn lacking(server: &str, share: f64) -> MissingCapacity {
    MissingCapacity { server: server.to_string(), share }
}

/// A server is drained that has nothing in flight and is past its grace; what it lacks follows from attempts without an
/// answer, its drain and its start.
#[tokio::test(start_paused = true)]
async fn drained_servers_and_missing_capacity() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, state| {
        let endpoints =
            vec![EndpointInfo { state, ..EndpointInfo::serving("s", 80) }, EndpointInfo::serving("t", 81)];
        EndpointList { version, is_complete: true, endpoints }
    };
    let id = servers.apply(list(1, EndpointState::Serving), |_| {})[0].server;
    let (grace, capacity_share) = (Duration::from_millis(500), |_| 0.25);
    assert!(servers.is_drained("unknown", grace) && !servers.is_drained("s", grace));
    for (outcome, lacking_count) in [
        (Outcome::TimedOut, 0),
        (Outcome::ConnectFailed, 0),
        (Outcome::Cancelled, 0),
        (Outcome::ConnectionReset, 1),
        (Outcome::Rejected, 0),
    ] {
        servers.begin_use(id);
        servers.end_use(id, outcome);
        assert_eq!(servers.missing_capacity(capacity_share).len(), lacking_count, "{outcome:?}");
    }
    servers.begin_use(id);
    servers.apply(list(2, EndpointState::Draining), |_| {});
    tokio::time::advance(grace).await;
    assert!(!servers.is_drained("s", grace), "something is in flight");
    servers.end_use(id, Outcome::Success);
    assert!(servers.is_drained("s", grace));
    assert_eq!(servers.missing_capacity(capacity_share), [lacking("s", 1.0)]);
    let started = EndpointInfo { started_at: Some(Time(7)), ..EndpointInfo::serving("s", 80) };
    servers.apply(EndpointList { version: 3, is_complete: false, endpoints: vec![started] }, |_| {});
    assert_eq!(servers.missing_capacity(capacity_share), [lacking("s", 0.75)]);
}

#[test]
fn names_past_the_bound_share_a_number() {
    let mut ids = NameNumbers::new(&["a".into(), "b".into()]);
    assert_eq!((ids.number_of("b"), ids.number_of("c"), ids.number_of("c")), (1, 2, 2));
    (0..5000).for_each(|n| {
        ids.number_of(&format!("z{n}"));
    });
    assert_eq!(ids.0.len() as u32, MAX_NUMBERED_NAMES + 1);
    assert_eq!(ids.number_of("another"), MAX_NUMBERED_NAMES + 1);
}
