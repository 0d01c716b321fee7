use super::*;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn all_responses_are_given_before_the_earliest_kill() {
    let start = Instant::now();
    for (longest_deadline, earliest_kill) in [(0.2, 0.9), (1.5, 2.2), (3.0, 3.7), (10.0, 3.7)] {
        let schedule = ShutdownSchedule::new(start, seconds(longest_deadline));
        assert_eq!(schedule.respond_by + KILL_MARGIN, start + seconds(earliest_kill));
        assert!(schedule.accept_until < schedule.exit_by);
    }
}

/// Guards against cutting off a response that needs longer than the deadlines, and against waiting for it without an end.
#[test]
fn the_largest_response_has_time_at_the_lowest_rate() {
    let start = Instant::now();
    let schedule = ShutdownSchedule::new(start, seconds(1.5));
    let largest = seconds(MAX_BODY_BYTES as f64 / 64_000.0);
    assert!(schedule.abandon_responses_at > start + largest);
    assert!(schedule.abandon_responses_at < start + seconds(3600.0));
}
