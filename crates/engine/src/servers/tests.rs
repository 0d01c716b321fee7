use super::name_interner::MAX_INTERNED_NAMES;
use super::*;
use heronhoist_decision::Status;

fn receives_nothing(_: ServerId) -> bool {
    false
}

fn receives_from_all(_: ServerId) -> bool {
    true
}

/// Servers that are continually replaced under new names must not be kept. A server that takes the address of a
/// removed one is a different server, so its id must be new.
#[tokio::test(start_paused = true)]
async fn removed_servers_are_deleted() {
    let mut servers = Servers::new(&ServerNames::default());
    let mut ids = HashSet::new();
    for version in 0..50 {
        let endpoints = vec![EndpointInfo::serving(&format!("s{version}"), 80)];
        let listed = servers.apply(EndpointList { version, is_complete: true, endpoints }, |_| {});
        tokio::time::advance(Duration::from_secs(1)).await;
        servers.remove_expired(Duration::from_secs(2), receives_nothing);
        assert!(servers.servers.len() <= 4, "{} servers are kept", servers.servers.len());
        assert_eq!(servers.ids.len(), servers.servers.len());
        assert!(ids.insert(listed[0].server), "an id is used twice");
    }
}

/// A removed server that is still sending a long response must be kept: an unknown server counts as drained, and its
/// drain would be acknowledged.
#[tokio::test(start_paused = true)]
async fn a_removed_server_is_kept_while_a_response_is_received_from_it() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, endpoints| EndpointList { version, is_complete: true, endpoints };
    servers.apply(list(1, vec![EndpointInfo::serving("s", 80)]), |_| {});
    servers.apply(list(2, Vec::new()), |_| {});
    let grace = Duration::from_secs(1);
    tokio::time::advance(2 * grace).await;
    servers.remove_expired(grace, receives_from_all);
    assert!(!servers.is_drained("s", grace, receives_from_all));
    servers.remove_expired(grace, receives_nothing);
    assert!(servers.servers.is_empty() && servers.is_drained("s", grace, receives_nothing));
}

/// Changes that add more and more servers and never remove one must not exhaust memory. Tracked servers must still be
/// updated.
#[tokio::test(start_paused = true)]
async fn no_more_than_max_servers_are_tracked() {
    let mut servers = Servers::new(&ServerNames::default());
    for version in 0..3 {
        let server = |index| EndpointInfo::serving(&format!("s{version}-{index}"), version * 3000 + index);
        let endpoints = (0..3000).map(server).collect();
        servers.apply(EndpointList { version, is_complete: false, endpoints }, |_| {});
    }
    assert_eq!((servers.servers.len(), servers.ids.len()), (MAX_SERVERS, MAX_SERVERS));
    let draining = EndpointInfo { state: EndpointState::Draining, ..EndpointInfo::serving("s0-7", 7) };
    let listed =
        servers.apply(EndpointList { version: 3, is_complete: false, endpoints: vec![draining] }, |_| {});
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].status, Status::Draining);
    // New servers are accepted again once removed servers have been deleted after their retention.
    let last = vec![EndpointInfo::serving("last", -1)];
    assert_eq!(
        servers.apply(EndpointList { version: 4, is_complete: true, endpoints: last.clone() }, |_| {}).len(),
        0
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    servers.remove_expired(Duration::from_secs(1), receives_nothing);
    assert_eq!(
        servers.apply(EndpointList { version: 5, is_complete: true, endpoints: last }, |_| {}).len(),
        1
    );
}

/// Nothing may be sent to a draining server in the last part of its grace period, and a server with something in
/// flight must not be deleted.
#[tokio::test(start_paused = true)]
async fn a_drain_stops_sending_in_time_and_a_restart_is_a_new_incarnation() {
    let mut servers = Servers::new(&ServerNames::default());
    let list = |version, state, started_at| {
        let endpoint = EndpointInfo { state, started_at, ..EndpointInfo::serving("s", 80) };
        EndpointList { version, is_complete: true, endpoints: vec![endpoint] }
    };
    let mut closed_idle = Vec::new();
    let id = servers.apply(list(1, EndpointState::Serving, None), |id| closed_idle.push(id))[0].server;
    let grace = Duration::from_millis(500);
    assert!(
        servers.may_send(id, Incarnation(0), grace)
            && servers.is_current(id, Incarnation(0))
            && closed_idle.is_empty()
    );
    let endpoint = servers.begin_use(id).expect("known");
    servers.apply(list(2, EndpointState::Draining, None), |id| closed_idle.push(id));
    assert_eq!(closed_idle, [id]);
    assert!(servers.may_send(id, Incarnation(0), grace) && !servers.has_serving());
    tokio::time::advance(Duration::from_millis(299)).await;
    // Listing the drain again does not restart its grace period.
    servers.apply(list(3, EndpointState::Draining, None), |_| {});
    assert!(servers.may_send(id, Incarnation(0), grace));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(
        !servers.may_send(id, Incarnation(0), grace),
        "the margin of 0.2 s for a stall of 0.15 s and the transmission is left of the grace period"
    );
    servers.apply(list(4, EndpointState::Serving, Some(Time(7))), |_| {});
    assert!(
        servers.may_send(id, endpoint.incarnation.next(), grace)
            && servers.is_current(id, endpoint.incarnation.next())
    );
    servers.apply(EndpointList { version: 5, is_complete: true, endpoints: vec![] }, |_| {});
    servers.remove_expired(Duration::ZERO, receives_nothing);
    assert!(servers.begin_use(id).is_some(), "something is in flight to it");
    (0..2).for_each(|_| servers.end_use(id, Outcome::Cancelled));
    servers.remove_expired(Duration::ZERO, receives_nothing);
    assert!(servers.begin_use(id).is_none() && !servers.may_send(id, endpoint.incarnation.next(), grace));
}

fn missing(server: &str, share: f64) -> MissingCapacity {
    MissingCapacity { server: server.to_string(), share }
}

/// A server is drained if it has nothing in flight and its grace period is over. Its missing capacity depends on
/// attempts without a response, its drain and its start time.
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
    assert!(
        servers.is_drained("unknown", grace, receives_nothing)
            && !servers.is_drained("s", grace, receives_nothing)
    );
    for (outcome, missing_count) in [
        (Outcome::TimedOut, 0),
        (Outcome::ConnectFailed, 0),
        (Outcome::Cancelled, 0),
        (Outcome::ConnectionReset, 1),
        (Outcome::Rejected, 0),
    ] {
        servers.begin_use(id);
        servers.end_use(id, outcome);
        assert_eq!(servers.missing_capacity(capacity_share).len(), missing_count, "{outcome:?}");
    }
    servers.begin_use(id);
    servers.apply(list(2, EndpointState::Draining), |_| {});
    tokio::time::advance(grace).await;
    assert!(!servers.is_drained("s", grace, receives_nothing), "something is in flight");
    servers.end_use(id, Outcome::Success);
    assert!(!servers.is_drained("s", grace, receives_from_all), "a response is still being received");
    assert!(servers.is_drained("s", grace, receives_nothing));
    assert_eq!(servers.missing_capacity(capacity_share), [missing("s", 1.0)]);
    let restarted = EndpointInfo { started_at: Some(Time(7)), ..EndpointInfo::serving("s", 80) };
    servers.apply(EndpointList { version: 3, is_complete: false, endpoints: vec![restarted] }, |_| {});
    assert_eq!(servers.missing_capacity(capacity_share), [missing("s", 0.75)]);
}

#[test]
fn names_beyond_the_limit_share_an_id() {
    let mut interner = NameInterner::new(&["a".into(), "b".into()]);
    assert_eq!((interner.intern("b"), interner.intern("c"), interner.intern("c")), (1, 2, 2));
    (0..5000).for_each(|index| {
        interner.intern(&format!("z{index}"));
    });
    assert_eq!(interner.0.len() as u32, MAX_INTERNED_NAMES + 1);
    assert_eq!(interner.intern("another"), MAX_INTERNED_NAMES + 1);
}

/// A server that appears at the address of another one is the one that listens there, whether or not the list still names the other.
#[tokio::test(start_paused = true)]
async fn a_server_whose_address_another_one_has_taken_gets_no_more_requests() {
    let grace = Duration::from_secs(9);
    let list = |version, is_complete, endpoints| EndpointList { version, is_complete, endpoints };
    let old = || EndpointInfo::serving("old", 80);
    let new = || EndpointInfo::serving("new", 80);
    for (is_complete, both) in [(true, vec![old(), new()]), (true, vec![new(), old()]), (false, vec![new()])]
    {
        let mut servers = Servers::new(&ServerNames::default());
        let old_id = servers.apply(list(1, true, vec![old()]), |_| {})[0].server;
        assert!(servers.may_send(old_id, Incarnation(0), grace));
        let listed = servers.apply(list(2, is_complete, both.clone()), |_| {});
        let status = |id| listed.iter().find(|endpoint| endpoint.server == id).map(|found| found.status);
        let new_id = servers.ids["new"];
        assert_eq!((status(old_id), status(new_id)), (Some(Status::Removed), Some(Status::Serving)));
        assert!(!servers.may_send(old_id, Incarnation(0), grace));
        assert!(servers.may_send(new_id, Incarnation(0), grace));
        assert!(!servers.is_current(old_id, Incarnation(0)) && servers.is_current(new_id, Incarnation(0)));
        let missing = servers.missing_capacity(|_| 1.0);
        let names: Vec<&str> = missing.iter().map(|missing| &*missing.server).collect();
        assert_eq!(names, ["old"], "it counts as unavailable");
        // A list that repeats both changes nothing.
        servers.apply(list(3, true, vec![new(), old()]), |_| {});
        assert!(!servers.may_send(old_id, Incarnation(0), grace));
        // The old one is back: at another address, or because the new one has gone.
        let moved = EndpointInfo::serving("old", 81);
        servers.apply(list(4, true, vec![moved, new()]), |_| {});
        assert!(servers.may_send(old_id, Incarnation(1), grace));
        assert!(!servers.may_send(old_id, Incarnation(0), grace), "not at its former address");
        servers.apply(list(5, true, vec![old()]), |_| {});
        assert!(servers.may_send(old_id, Incarnation(2), grace));
        assert!(!servers.may_send(new_id, Incarnation(0), Duration::ZERO));
    }
}

/// Servers that appear at one address in the same list are all used: nothing tells which one listens there.
#[tokio::test(start_paused = true)]
async fn servers_that_share_an_address_from_the_start_are_used() {
    let mut servers = Servers::new(&ServerNames::default());
    let endpoints = || vec![EndpointInfo::serving("a", 80), EndpointInfo::serving("b", 80)];
    for version in 1..4 {
        let listed =
            servers.apply(EndpointList { version, is_complete: true, endpoints: endpoints() }, |_| {});
        assert!(listed.iter().all(|endpoint| endpoint.status == Status::Serving));
        assert!(servers.may_send(listed[0].server, Incarnation(0), Duration::from_secs(9)));
    }
}
