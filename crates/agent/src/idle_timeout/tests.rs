use super::*;

#[tokio::test(start_paused = true)]
async fn an_age_that_breaks_is_avoided_for_a_while_and_chance_is_not() {
    let idle_timeout = IdleTimeout::new(Duration::from_secs(8));
    let ms = Duration::from_millis;
    for n in 0..100 {
        idle_timeout.note(ms(5), n % 10 == 0);
        idle_timeout.note(ms(90), n % 10 == 0);
    }
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "breaks at any age say nothing of the age");
    for n in 0..8 {
        idle_timeout.note(ms(300), n % 2 == 0);
    }
    assert_eq!(idle_timeout.limit(), ms(256));
    tokio::time::advance(Duration::from_secs(120)).await;
    idle_timeout.note(ms(5), false);
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "and it is tried again");
}
