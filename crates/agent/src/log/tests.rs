use super::*;
use std::time::Duration;

const BURST: usize = (BURST_S * DEFAULT_LINES_PER_SECOND) as usize;

#[derive(Clone, Default)]
struct Page(Arc<Mutex<Vec<u8>>>);

impl Write for Page {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn told(format: Format, levels: &str, tell: impl FnOnce()) -> String {
    let page = Page::default();
    let to = page.clone();
    let subscriber =
        subscriber(format, levels.parse().unwrap(), DEFAULT_LINES_PER_SECOND, move || to.clone());
    tracing::subscriber::with_default(subscriber, tell);
    let bytes = page.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn lines_over_the_allowance_are_counted_and_not_written() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start, DEFAULT_LINES_PER_SECOND);
    let written = (0..1000).filter(|_| allowance.take(start)).count();
    assert_eq!(written, BURST);
    assert!(allowance.take(start + Duration::from_secs(1)));
    assert_eq!(allowance.before, 1000 - written as u64);
}

#[test]
fn levels_hold_for_each_target_and_fields_have_types_in_json() {
    let page = told(Format::Json, "warn,heronhoist::request=debug", || {
        tracing::debug!(target: "heronhoist::request", attempt = 2_u32, class = "read", "attempt ended");
        tracing::info!(target: "heronhoist::engine", "left out by its level");
    });
    let line: serde_json::Value = serde_json::from_str(page.trim()).expect("one line of JSON");
    assert_eq!(line["fields"]["attempt"], 2);
    assert_eq!(line["fields"]["class"], "read");
    assert_eq!(line["target"], "heronhoist::request");
}

/// What a flood cost is said with the next line that passes.
#[test]
fn a_flood_is_cut_off() {
    let flood = || (0..1000).for_each(|n| tracing::info!(n, "bad peer"));
    assert_eq!(told(Format::Text, "info", flood).lines().count(), BURST);
    let page = Page::default();
    let bound = Bound(Arc::new(Mutex::new(Allowance::new(Instant::now(), DEFAULT_LINES_PER_SECOND))));
    bound.0.lock().unwrap().before = 7;
    let to = page.clone();
    let lines = Lines { bound, format: Format::Json, to: move || to.clone() };
    let _ = lines.make_writer().write(b"next\n");
    let text = String::from_utf8(page.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains(r#""lines":7"#) && text.ends_with("next\n"), "{text}");
}
