use super::*;

#[tokio::test(start_paused = true)]
async fn pauses_are_waited_for_as_long_as_answers_go_on_after_them() {
    let patience = Patience::default();
    patience.note(true);
    assert!(patience.more().is_some());
    (0..5).for_each(|_| patience.note(false));
    let waits = (0..80).filter(|_| patience.more().is_some()).count();
    assert_eq!(waits, 10, "now and then one is tried");
    (0..5).for_each(|_| patience.note(true));
    assert!((0..80).all(|_| patience.more().is_some()));
    // What was long ago weighs little.
    tokio::time::advance(Duration::from_secs(120)).await;
    (0..2).for_each(|_| patience.note(false));
    assert!(patience.more().is_none());
}
