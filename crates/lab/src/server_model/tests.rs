use super::*;

fn kind() -> ServerSpec {
    ServerSpec {
        cores: 2,
        speed: 1.0,
        queue_capacity: 3,
        queue_slowdown: 0.0,
        max_connections: 2,
        connect_work: 0,
        drops_cancelled: true,
        report_delay: 1000,
        cold_share: 0.2,
        warm_up_time: 20_000_000,
        warm_up_work: None,
        overload_factor: 3.0,
        overload_tolerance: 3_000_000,
        mean_work: 10_000.0,
        allows_chance: false,
    }
}

#[test]
fn cores_work_one_after_the_other_and_the_room_is_bounded() {
    let mut server = Server::new(kind());
    let fates: Vec<Admission> = (0..6).map(|job| server.submit(0, job, 1000, true)).collect();
    assert_eq!(fates, [[Admission::Accepted; 5].as_slice(), &[Admission::Rejected]].concat());
    assert_eq!((server.load(), server.next()), (5, Some(1000)));
    assert_eq!(server.load_report(0), [5.0, 3.0, 1.0]);
    assert_eq!((server.advance(999), server.advance(1500)), (vec![], vec![0, 1]));
    assert_eq!(server.load_report(1500), [5.0, 3.0, 1.0], "reports come late");
    server.cancel(1500, 2);
    assert_eq!((server.load(), server.next()), (2, Some(2000)));
    server.set_stalled(1600, true);
    assert_eq!((server.advance(9000), server.submit(9000, 9, 1000, true)), (vec![], Admission::Accepted));
    server.set_stalled(2600, false);
    assert_eq!(server.advance(3000), [3], "what was cancelled left its core to the next");
    server.kill();
    assert_eq!((server.submit(3600, 7, 1, true), server.load()), (Admission::Down, 0));
}

#[test]
fn connections_are_capped_and_die_with_a_life() {
    let mut server = Server::new(kind());
    assert_eq!([0; 3].map(|now| server.connect(now, true)), [true, true, false]);
    server.start(1);
    assert_eq!((server.open, server.connect(2, true)), (0, true));
    server.disconnect(0);
    assert_eq!((server.open, server.max_open_connections), (1, 2), "an end from an earlier life");
}

/// At 2.5 times what it can do it stands; at 3.5 times it falls, after so long and not before.
#[test]
fn a_cold_server_falls_when_it_is_pushed_too_far_for_too_long() {
    let fall = |factor: f64, told: fn(u64) -> bool| {
        let mut server = Server::new(kind());
        server.start(0);
        (0..600).find_map(|n| {
            let now = n * 10_000;
            let work = server.capacity(now) * factor * 10_000.0;
            server.advance(now);
            let falls = server.submit(now, n, work as Micros, told(n)) == Admission::Down;
            falls.then_some((now, server.cold_crashes))
        })
    };
    assert_eq!(fall(2.5, |_| true), None);
    assert_eq!(fall(3.5, |n| n % 2 == 0).map(|(_, falls)| falls), Some((1, 0)), "half of them did not know");
    let (at, falls) = fall(3.5, |n| n % 10 > 2).expect("it falls");
    assert_eq!(falls, (1, 1));
    assert!((3_000_000..3_200_000).contains(&at), "{at}");
    let mut warm = Server::new(kind());
    assert!(
        (0..600).all(|n| warm.submit(n * 10_000, n, 1_000_000, true) != Admission::Down),
        "a warm one turns away"
    );
}

/// A burst right after its start spends the budget of the whole time: 3 times 0.4 cores for 3 s are 360 requests of
/// 10 ms, and 39 more are chance.
#[test]
fn a_burst_at_the_start_is_counted_against_the_budget() {
    let counted = |count: u64, told: bool| {
        let mut server = Server::new(kind());
        server.start(0);
        for n in 0..count {
            server.submit(0, n, 10_000, told);
        }
        server.cold_crashes
    };
    assert_eq!([counted(399, true), counted(400, true), counted(900, true)], [(0, 0), (0, 1), (0, 1)]);
    assert_eq!(counted(900, false), (0, 0), "nobody knew");
}

/// Where chance is borne, 3 times 0.4 cores for 3 s are 360 requests of 10 ms as before, and 39 more are none too many;
/// one more is, also in one burst before the time has passed. Where it is not, the same comes evenly, and the time has passed.
#[test]
fn what_may_be_chance_is_borne_only_where_the_world_says_so() {
    let falls_at = |allows_chance: bool, from: Micros, count: u64| {
        let flat = ServerSpec { warm_up_time: u64::MAX / 4, allows_chance, ..kind() };
        let mut server = Server::new(flat);
        server.start(0);
        (0..count).any(|n| server.submit(from + n, n, 10_000, true) == Admission::Down)
    };
    assert_eq!([falls_at(false, 3_000_000, 360), falls_at(false, 3_000_000, 361)], [false, true]);
    for from in [0, 1_000_000, 3_000_000] {
        assert_eq!([falls_at(true, from, 399), falls_at(true, from, 400)], [false, true], "from {from}");
    }
    assert!(!falls_at(false, 0, 900), "a burst of which chance is no part is only counted");
}

/// The operators' formula, by what a server of one core can do: N and twice its root and two from 30 requests on, three times
/// its root and three below. What it has warmed up to by then counts, and whoever was not told of its start counts for a
/// fall of which nobody is guilty.
#[test]
fn small_budgets_have_more_chance_and_present_capacity_counts() {
    // A cold share of 0.0111 for 3 s at 3 times is a budget of 9.99 requests of 10 ms, and so on.
    let most = |budget: f64| {
        let cold_share = budget * 0.01 / 9.0;
        let flat =
            ServerSpec { cores: 1, cold_share, warm_up_time: u64::MAX / 4, allows_chance: true, ..kind() };
        let mut server = Server::new(flat);
        server.start(0);
        (0..1000).find(|n| server.submit(*n, *n, 10_000, true) == Admission::Down).expect("it falls")
    };
    // 1 + 3 + 3 is 7; 9 + 9 + 3; 29.9 + 16.4 + 3; 30.1 + 10.9 + 2; 100 + 20 + 2, each with a little on top.
    assert_eq!([1.01, 9.01, 29.9, 30.1, 100.01].map(most), [7, 21, 49, 43, 122]);
    let warming = |at: Micros| {
        let mut server = Server::new(ServerSpec { allows_chance: true, warm_up_time: 9_000_000, ..kind() });
        server.start(0);
        (0..3000).find(|n| server.submit(at, *n, 10_000, true) == Admission::Down).expect("it falls")
    };
    // Of two cores 0.2 are there at first, 0.6 half of the way: 360 and 1080 requests, 39 and 67 more for chance.
    assert_eq!([warming(0), warming(4_500_000)], [399, 1147]);
    let mut server = Server::new(ServerSpec { allows_chance: true, ..kind() });
    server.start(0);
    let fell = (0..1000).any(|n| server.submit(0, n, 10_000, n % 2 == 0) == Admission::Down);
    assert_eq!((fell, server.cold_crashes), (true, (1, 0)), "half of them did not know");
}

#[test]
fn a_cold_server_warms() {
    let mut server = Server::new(kind());
    server.start(1_000_000);
    server.submit(1_000_000, 1, 1000, true);
    assert_eq!((server.next(), server.incarnation()), (Some(1_005_000), 1));
    assert!((server.speed_share(11_000_000) - 0.6).abs() < 1e-9);
    assert_eq!(server.speed_share(30_000_000), 1.0);
    let mut server = Server::new(ServerSpec { warm_up_work: Some(2000), ..kind() });
    server.start(0);
    server.submit(0, 1, 1000, true);
    server.advance(5000);
    assert!((server.speed_share(5000) - 0.6).abs() < 1e-9, "half of the work that warms it");
}

#[test]
fn a_building_remembers_for_the_window() {
    let mut memory = DeduplicationMemory::default();
    assert!(memory.record(0, 1, 7, 600));
    assert!(!memory.record(600, 1, 7, 600));
    assert!(memory.record(600, 2, 7, 600), "another building has not seen it");
    assert!(memory.record(601, 1, 7, 600));
    assert!(!memory.record(1200, 1, 7, 600), "by the time of what had the effect");
    assert_eq!(memory.ran.len(), 2);
}
