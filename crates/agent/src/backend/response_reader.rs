//! Reads the responses of servers: when a response is whole, and from when on a part of it is forwarded.

use super::messages::body_length;
use super::{AttemptResult, ExchangeError, Inner, ResponseBody, UpstreamResponse};
use crate::body_buffer::BodyBuffer;
use crate::dialect::OLD;
use crate::download::{BodyLength, Download};
use crate::metered_stream::StreamMonitor;
use crate::upload::MAX_BUFFERED_BYTES;
use heronhoist_decision::{DialectId, Outcome};
use heronhoist_engine::{Gate, Reservation, ResponseProgress};
use heronhoist_translate::wire::error_response::is_rejection;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A response of unknown length is forwarded as a stream once more bytes than this have arrived, ...
const MIN_STREAMING_BYTES: usize = 4 * 1024;
/// ... and this much time has passed.
const STREAMING_DELAY: Duration = Duration::from_millis(50);
/// What has arrived of a response of unknown length is held back for at most this long: a client may count a longer time as a loss.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);
/// The memory that is reserved for a response before its request is sent: once that has run, its response is owed. A response that
/// is forwarded as it arrives takes as much, in the buffers of two connections.
pub(super) const RESPONSE_MEMORY_BYTES: usize = MAX_BUFFERED_BYTES;
/// The largest valid value in a load report.
const MAX_REPORT_VALUE: f64 = 1e5;

/// What decides on a response while it arrives.
pub(super) struct ResponseArrival<'a> {
    gate: &'a Gate<'a>,
    /// It is too long to be buffered by its head, or probably so by what has arrived: it is forwarded when it pauses.
    is_long: Cell<bool>,
    /// Whether its beginning has been reported.
    has_begun: Cell<bool>,
    /// Notified when a long response pauses.
    paused: Notify,
    /// The memory for it, until its head has come.
    reservation: Cell<Option<Reservation>>,
}

impl<'a> ResponseArrival<'a> {
    /// The arrival of a response of which nothing has come, with [`RESPONSE_MEMORY_BYTES`] reserved for it.
    pub(super) fn new(gate: &'a Gate<'a>, reservation: Reservation) -> Self {
        let (is_long, has_begun, reservation) =
            (Cell::new(false), Cell::new(false), Cell::new(Some(reservation)));
        ResponseArrival { gate, is_long, has_begun, paused: Notify::new(), reservation }
    }

    /// Reports that no more of the response has arrived for a while.
    pub(super) fn report_stall(&self) {
        self.gate.report(ResponseProgress::Stalled);
    }

    /// Handles a pause: what has arrived of a long response is forwarded. Returns false for any other.
    pub(super) fn forward_if_long(&self) -> bool {
        if self.is_long.get() {
            self.paused.notify_one();
        }
        self.is_long.get()
    }

    /// Reports that the response has begun, and waits until what has arrived must be forwarded: the client waits for its first
    /// bytes, and there may be no more in time. Never returns if only the whole response can be forwarded.
    async fn must_forward(&self, can_forward_part: bool, hold_until: Instant) {
        if !self.has_begun.replace(true) {
            self.gate.report(ResponseProgress::Begun);
        }
        if !can_forward_part {
            return std::future::pending().await;
        }
        tokio::select! {
            () = self.paused.notified() => {}
            () = self.gate.time_up() => {}
            () = sleep_until(hold_until) => {}
        }
    }
}

impl Inner {
    /// Reads a response. A short one is read to its end, so that an invalid one is not forwarded; a long one only until it is
    /// known to be long. One whose length is not known counts as long when the time of the attempt is up, or when it has been held
    /// back for long, unless it is translated for its client.
    pub(super) async fn read(
        &self,
        response: Response<Incoming>,
        monitor: &StreamMonitor,
        (dialect, is_translated): (DialectId, bool),
        arrival: &ResponseArrival<'_>,
    ) -> Result<AttemptResult, ExchangeError> {
        let (head, mut body) = response.into_parts();
        let framing = body_length(head.status, &head.headers).ok_or(ExchangeError::InvalidResponse)?;
        let length = framing.bytes();
        let mut reservation = arrival.reservation.take().ok_or(ExchangeError::InvalidResponse)?;
        let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
        if let Some(length) = length.filter(|_| !is_long) {
            reservation.shrink(length as usize);
        }
        let can_forward_part =
            head.status == StatusCode::OK && !is_translated && (is_long || length.is_none());
        let mut buffered = BodyBuffer::default();
        let (mut is_complete, mut start) = (false, None);
        while buffered.len() <= MAX_BUFFERED_BYTES && (buffered.is_empty() || !is_long) {
            // A body that keeps arriving slowly may be long too; one that has stalled is not forwarded.
            let start = *start.get_or_insert_with(Instant::now);
            let is_probably_long = can_forward_part && (is_long || buffered.len() > MIN_STREAMING_BYTES);
            if is_probably_long && length.is_none() && start.elapsed() > STREAMING_DELAY {
                break;
            }
            arrival.is_long.set(is_probably_long);
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = arrival.must_forward(can_forward_part, start + MAX_HOLD_TIME) => break,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buffered.push(data);
                    }
                }
                Some(Err(_)) => return Err(ExchangeError::InvalidResponse),
                None => {
                    is_complete = true;
                    break;
                }
            }
        }
        if is_complete && framing == BodyLength::CloseDelimited && !monitor.has_ended_cleanly() {
            return Err(ExchangeError::InvalidResponse);
        }
        let load_report =
            head.headers.get("x-load-report").and_then(|value| self.parse_report(value.as_bytes()));
        let is_rejection = match dialect {
            OLD if head.status != StatusCode::OK => {
                is_complete && is_rejection(head.status.as_u16(), buffered.as_slice())
            }
            _ => head.headers.get("x-rejected").is_some_and(|value| value == "1"),
        };
        let outcome = match head.status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejection => {
                Outcome::Rejected
            }
            _ => Outcome::ServerError,
        };
        if outcome != Outcome::Success {
            // The body is not forwarded. The connection is not kept if the body is long.
            return if is_complete {
                Ok(AttemptResult { outcome, load_report, response: None })
            } else {
                Err(ExchangeError::InvalidResponse)
            };
        }
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let body = if is_complete {
            ResponseBody::Buffered(buffered.into_bytes(), reservation)
        } else {
            monitor.lift_read_limit();
            ResponseBody::Streaming(Box::new(Download::new(
                buffered.into_bytes(),
                body,
                framing,
                reservation,
            )))
        };
        Ok(AttemptResult {
            outcome,
            load_report,
            response: Some(UpstreamResponse { body, content_type, dialect }),
        })
    }

    /// Parses a load report. Returns its values in the order of the settings; `None` if it is malformed, lacks a field or has a
    /// value out of range.
    pub(super) fn parse_report(&self, text: &[u8]) -> Option<Vec<f64>> {
        if !self.has_reports.get() {
            return None;
        }
        let text = std::str::from_utf8(text).ok()?;
        let text = text.trim();
        let pairs: Option<HashMap<&str, f64>> = text.split(',').map(parse_pair).collect();
        let pairs = pairs?;
        self.report_names.borrow().iter().map(|name| pairs.get(name.as_str()).copied()).collect()
    }
}

fn parse_pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (0.0..=MAX_REPORT_VALUE).contains(&value).then_some((name.trim(), value))
}
