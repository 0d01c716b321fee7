use super::*;

fn broken_if(broken: bool) -> ConnectionEnd {
    if broken {
        ConnectionEnd::Broken
    } else {
        ConnectionEnd::Responded
    }
}

#[tokio::test(start_paused = true)]
async fn idle_time_after_which_connections_break_is_avoided_until_decay() {
    let idle_timeout = IdleTimeout::new(Duration::from_secs(8));
    let ms = Duration::from_millis;
    for n in 0..100 {
        idle_timeout.record(Some(ms(5)), broken_if(n % 10 == 0));
        idle_timeout.record(Some(ms(90)), broken_if(n % 10 == 0));
    }
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "breaks after any idle time lower no limit");
    for n in 0..8 {
        idle_timeout.record(Some(ms(300)), broken_if(n % 2 == 0));
    }
    assert_eq!(idle_timeout.limit(), ms(256));
    tokio::time::advance(Duration::from_secs(120)).await;
    idle_timeout.record(Some(ms(5)), ConnectionEnd::Responded);
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "the idle time is tried again");
}

/// Slow servers leave some requests without a response on connections of any age, which is no reason to open new ones.
/// Servers that forget connections leave all requests on long-idle connections without a response, and none of the others.
#[tokio::test(start_paused = true)]
async fn timeouts_lower_the_limit_only_on_long_idle_connections() {
    let ms = Duration::from_millis;
    let max = Duration::from_secs(8);
    let timed_out_if =
        |timed_out: bool| if timed_out { ConnectionEnd::TimedOut } else { ConnectionEnd::Responded };
    let slow = IdleTimeout::new(max);
    for n in 0..100 {
        slow.record(Some(ms(300)), timed_out_if(n % 4 == 0));
        assert_eq!(slow.limit(), max, "after {n}: one in four times out");
    }
    let hung = IdleTimeout::new(max);
    for _ in 0..20 {
        hung.record(None, ConnectionEnd::TimedOut);
        hung.record(Some(ms(300)), ConnectionEnd::TimedOut);
    }
    assert_eq!(hung.limit(), max, "new connections time out as often");
    let forgetful = IdleTimeout::new(max);
    for _ in 0..4 {
        forgetful.record(None, ConnectionEnd::Responded);
        forgetful.record(Some(ms(300)), ConnectionEnd::TimedOut);
    }
    assert_eq!(forgetful.limit(), ms(256));
}
