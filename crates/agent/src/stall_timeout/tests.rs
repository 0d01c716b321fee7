use super::*;

#[tokio::test(start_paused = true)]
async fn stall_timeout_is_extended_while_responses_resume() {
    let stall_timeout = StallTimeout::default();
    stall_timeout.record(true);
    assert!(stall_timeout.extension().is_some());
    (0..5).for_each(|_| stall_timeout.record(false));
    let extended = (0..80).filter(|_| stall_timeout.extension().is_some()).count();
    assert_eq!(extended, 10, "one in eight is sampled");
    (0..5).for_each(|_| stall_timeout.record(true));
    assert!((0..80).all(|_| stall_timeout.extension().is_some()));
    // Old observations count little.
    tokio::time::advance(Duration::from_secs(120)).await;
    (0..2).for_each(|_| stall_timeout.record(false));
    assert!(stall_timeout.extension().is_none());
}
