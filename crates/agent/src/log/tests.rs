use super::*;
use std::time::Duration;

const BURST: usize = (BURST_S * DEFAULT_LINES_PER_SECOND) as usize;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns what the log writes of the events that `log_events` creates.
fn log_output(format: Format, levels: &str, log_events: impl FnOnce()) -> String {
    let output = Output::default();
    let writer = output.clone();
    let subscriber =
        subscriber(format, levels.parse().unwrap(), DEFAULT_LINES_PER_SECOND, move || writer.clone());
    tracing::subscriber::with_default(subscriber, log_events);
    let bytes = output.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn lines_over_the_limit_are_counted_and_not_written() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start, DEFAULT_LINES_PER_SECOND);
    let written = (0..1000).filter(|_| bucket.take(start)).count();
    assert_eq!(written, BURST);
    assert!(bucket.take(start + Duration::from_secs(1)));
    assert_eq!(bucket.dropped_before, 1000 - written as u64);
}

#[test]
fn levels_apply_to_each_target_and_fields_have_types_in_json() {
    let output = log_output(Format::Json, "warn,heronhoist::request=debug", || {
        tracing::debug!(target: "heronhoist::request", attempt = 2_u32, class = "read", "attempt ended");
        tracing::info!(target: "heronhoist::engine", "disabled by its level");
    });
    let line: serde_json::Value = serde_json::from_str(output.trim()).expect("one line of JSON");
    assert_eq!(line["fields"]["attempt"], 2);
    assert_eq!(line["fields"]["class"], "read");
    assert_eq!(line["target"], "heronhoist::request");
}

/// A flood of events must not become a flood of lines, and the next line that is written reports how many were dropped.
#[test]
fn a_flood_is_limited_and_reported() {
    let flood = || (0..1000).for_each(|n| tracing::info!(n, "bad peer"));
    assert_eq!(log_output(Format::Text, "info", flood).lines().count(), BURST);
    let output = Output::default();
    let rate_limit =
        RateLimit(Arc::new(Mutex::new(TokenBucket::new(Instant::now(), DEFAULT_LINES_PER_SECOND))));
    rate_limit.0.lock().unwrap().dropped_before = 7;
    let output_clone = output.clone();
    let writer = LogWriter { rate_limit, format: Format::Json, output: move || output_clone.clone() };
    let _ = writer.make_writer().write(b"next\n");
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains(r#""lines":7"#) && text.ends_with("next\n"), "{text}");
}
