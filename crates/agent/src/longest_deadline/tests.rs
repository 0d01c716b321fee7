use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a shutdown that counts on a deadline which a reload has removed, and is killed before it has responded.
#[test]
fn a_removed_deadline_no_longer_counts() {
    let start = Instant::now();
    let mut longest = LongestDeadline::new(ms(3000));
    assert_eq!(longest.at(start), ms(3000));
    longest.replace(start, ms(1500));
    assert_eq!(longest.at(start), ms(1500));
    assert_eq!(longest.at(start + ms(10_000)), ms(1500));
}

/// The same in the other direction: the kill may go by the former settings until the new classes are in use.
#[test]
fn an_added_deadline_counts_once_its_class_is_in_use() {
    let start = Instant::now();
    let mut longest = LongestDeadline::new(ms(1500));
    longest.replace(start, ms(3000));
    assert_eq!(longest.at(start + ms(1199)), ms(1500));
    assert_eq!(longest.at(start + ms(1200)), ms(3000));
}

#[test]
fn reloads_in_quick_succession_count_the_shortest() {
    let start = Instant::now();
    let mut longest = LongestDeadline::new(ms(2000));
    longest.replace(start, ms(500));
    longest.replace(start + ms(1000), ms(3000));
    assert_eq!(longest.at(start + ms(2100)), ms(500));
    assert_eq!(longest.at(start + ms(2200)), ms(3000));
}
