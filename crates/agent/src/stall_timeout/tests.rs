use super::*;

#[tokio::test(start_paused = true)]
async fn pauses_are_waited_for_as_long_as_answers_go_on_after_them() {
    let stall_timeout = StallTimeout::default();
    stall_timeout.record(true);
    assert!(stall_timeout.extension().is_some());
    (0..5).for_each(|_| stall_timeout.record(false));
    let waits = (0..80).filter(|_| stall_timeout.extension().is_some()).count();
    assert_eq!(waits, 10, "now and then one is tried");
    (0..5).for_each(|_| stall_timeout.record(true));
    assert!((0..80).all(|_| stall_timeout.extension().is_some()));
    // What was long ago weighs little.
    tokio::time::advance(Duration::from_secs(120)).await;
    (0..2).for_each(|_| stall_timeout.record(false));
    assert!(stall_timeout.extension().is_none());
}
