//! Events for people on call and for machines, through `tracing`: as text or JSON on standard error, with a level for
//! each target, and bounded: a flood of bad peers must not become a flood of lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::{FilterExt, LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{Layer, Registry};

/// Lines that may come at once, as so many seconds' worth.
const BURST_S: f64 = 10.0;
/// Lines a second, if nothing else is said.
pub const DEFAULT_LINES_PER_SECOND: f64 = 10.0;

/// How lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is asked of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogOptions {
    /// How lines look.
    pub format: Format,
    /// Targets and levels, as `info` or `info,heronhoist::attempt=debug`.
    pub levels: String,
    /// Lines a second.
    pub lines_per_second: f64,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { format: Format::Text, levels: "info".into(), lines_per_second: DEFAULT_LINES_PER_SECOND }
    }
}

struct Allowance {
    lines_per_second: f64,
    left: f64,
    counted_at: Instant,
    dropped: u64,
    /// How many were left out before the line that is being written.
    before: u64,
}

impl Allowance {
    fn new(now: Instant, lines_per_second: f64) -> Self {
        Allowance {
            lines_per_second,
            left: BURST_S * lines_per_second,
            counted_at: now,
            dropped: 0,
            before: 0,
        }
    }

    /// False if the line is over.
    fn take(&mut self, now: Instant) -> bool {
        let earned = now.saturating_duration_since(self.counted_at).as_secs_f64() * self.lines_per_second;
        self.counted_at = now;
        self.left = (self.left + earned).min(BURST_S * self.lines_per_second);
        if self.left < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.left -= 1.0;
        self.before += std::mem::take(&mut self.dropped);
        true
    }
}

/// Lets so many events through and counts the others.
#[derive(Clone)]
struct Bound(Arc<Mutex<Allowance>>);

impl<S: Subscriber> Filter<S> for Bound {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        // It knows no levels; said, so that those of the other filter cost nothing where they are off.
        Some(LevelFilter::TRACE)
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now())
    }
}

/// Writes lines, and before the first after a flood how many were left out; an agent whose log has been closed goes on
/// without one.
struct Lines<W> {
    bound: Bound,
    format: Format,
    to: W,
}

impl<'a, W: MakeWriter<'a>> MakeWriter<'a> for Lines<W> {
    type Writer = Line<W::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut to = self.to.make_writer();
        let before = std::mem::take(&mut self.bound.0.lock().unwrap_or_else(PoisonError::into_inner).before);
        let _ = match (before, self.format) {
            (0, _) => Ok(()),
            (n, Format::Text) => writeln!(to, "heronhoist: {n} lines left out"),
            (n, Format::Json) => writeln!(
                to,
                r#"{{"level":"WARN","target":"heronhoist::log","fields":{{"message":"lines left out","lines":{n}}}}}"#
            ),
        };
        Line(to)
    }
}

struct Line<W>(W);

impl<W: Write> Write for Line<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let _ = self.0.flush();
        Ok(())
    }
}

fn subscriber<W>(
    format: Format,
    levels: Targets,
    lines_per_second: f64,
    to: W,
) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let bound = Bound(Arc::new(Mutex::new(Allowance::new(Instant::now(), lines_per_second))));
    let lines = Lines { bound: bound.clone(), format, to };
    let filter = levels.and(bound);
    let layer =
        tracing_subscriber::fmt::layer().with_writer(lines).with_ansi(false).log_internal_errors(false);
    match format {
        Format::Text => Box::new(Registry::default().with(layer.with_filter(filter))),
        Format::Json => Box::new(Registry::default().with(layer.json().with_filter(filter))),
    }
}

/// From here on events are written to standard error.
pub fn init(format: Format, levels: Targets, lines_per_second: f64) {
    // It fails only if a subscriber was set before, which then stands.
    let _ = tracing::subscriber::set_global_default(subscriber(format, levels, lines_per_second, io::stderr));
}

#[cfg(test)]
mod tests;
