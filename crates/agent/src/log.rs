//! The log: `tracing` events as text or JSON on standard error, with a level for each target. The rate of lines is limited, so
//! that many faulty peers cannot flood the log.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::{FilterExt, LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{Layer, Registry};

/// The size of a burst that is written completely: as many lines as the limit allows in this many seconds.
const BURST_S: f64 = 10.0;
/// The default limit, in lines per second.
pub const DEFAULT_LINES_PER_SECOND: f64 = 10.0;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogOptions {
    /// The format of log lines.
    pub format: Format,
    /// The levels for each target, such as `info` or `info,heronhoist::attempt=debug`.
    pub levels: String,
    /// The maximum number of lines per second.
    pub lines_per_second: f64,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { format: Format::Text, levels: "info".into(), lines_per_second: DEFAULT_LINES_PER_SECOND }
    }
}

/// A token bucket that limits the rate of lines.
struct TokenBucket {
    lines_per_second: f64,
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
    /// The number of lines that were dropped before the line that is being written.
    dropped_before: u64,
}

impl TokenBucket {
    fn new(now: Instant, lines_per_second: f64) -> Self {
        TokenBucket {
            lines_per_second,
            tokens: BURST_S * lines_per_second,
            refilled_at: now,
            dropped: 0,
            dropped_before: 0,
        }
    }

    /// Takes a token for a line; false if there is none and the line is dropped.
    fn take(&mut self, now: Instant) -> bool {
        let earned = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.lines_per_second;
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min(BURST_S * self.lines_per_second);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.dropped_before += std::mem::take(&mut self.dropped);
        true
    }
}

/// Limits the rate of events, and counts those that it drops.
#[derive(Clone)]
struct RateLimit(Arc<Mutex<TokenBucket>>);

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        // This filter ignores levels. Without the hint, `tracing` could not skip the levels that the other filter disables.
        Some(LevelFilter::TRACE)
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now())
    }
}

/// Writes lines, and after a flood first the number of dropped lines. Write errors are ignored, so that an agent whose log has
/// been closed keeps running.
struct LogWriter<W> {
    rate_limit: RateLimit,
    format: Format,
    output: W,
}

impl<'a, W: MakeWriter<'a>> MakeWriter<'a> for LogWriter<W> {
    type Writer = LineWriter<W::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut output = self.output.make_writer();
        let dropped = std::mem::take(
            &mut self.rate_limit.0.lock().unwrap_or_else(PoisonError::into_inner).dropped_before,
        );
        let _ = match (dropped, self.format) {
            (0, _) => Ok(()),
            (n, Format::Text) => writeln!(output, "heronhoist: {n} lines left out"),
            (n, Format::Json) => writeln!(
                output,
                r#"{{"level":"WARN","target":"heronhoist::log","fields":{{"message":"lines left out","lines":{n}}}}}"#
            ),
        };
        LineWriter(output)
    }
}

/// Writes one line and ignores errors.
struct LineWriter<W>(W);

impl<W: Write> Write for LineWriter<W> {
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
    output: W,
) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let rate_limit = RateLimit(Arc::new(Mutex::new(TokenBucket::new(Instant::now(), lines_per_second))));
    let writer = LogWriter { rate_limit: rate_limit.clone(), format, output };
    let filter = levels.and(rate_limit);
    let layer =
        tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false).log_internal_errors(false);
    match format {
        Format::Text => Box::new(Registry::default().with(layer.with_filter(filter))),
        Format::Json => Box::new(Registry::default().with(layer.json().with_filter(filter))),
    }
}

/// Installs the log: from now on events are written to standard error.
pub fn init(format: Format, levels: Targets, lines_per_second: f64) {
    // This fails only if a subscriber is already installed, which then stays.
    let _ = tracing::subscriber::set_global_default(subscriber(format, levels, lines_per_second, io::stderr));
}

#[cfg(test)]
mod tests;
