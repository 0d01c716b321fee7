//! The clients' side: takes requests in and gives each exactly one answer.

use crate::accept::{accept, Listener, ACCEPT_RETRY_DELAY};
use crate::backend::{ResponseBody, UpstreamRequest, UpstreamResponse};
use crate::client_connections::{Close, Seat, Seats};
use crate::config::Front;
use crate::dialect::{self, OLD};
use crate::download::Download;
use crate::gauge::{Gauge, GaugeGuard};
use crate::intake::{check_end, fault_of, Catalogue, Checked, Fault};
use crate::legacy::{self, Asked, Translated};
use crate::metered_stream::{lingering_close, MeteredStream};
use crate::metrics::{ClassCounters, LatencyHistograms, Metrics, Outcome};
use crate::ops::StatusSource;
use crate::pools::{HttpPool, Pools};
use crate::socket_error::AcceptError;
use crate::upload::{UploadError, UploadState};
use bytes::Bytes;
use heronhoist_config::Protocol;
use heronhoist_decision::Span;
use heronhoist_engine::timing::{catch_up, heartbeat, timeout, HEARTBEAT_INTERVAL};
use heronhoist_engine::{FinalResponse, NewRequest, Rejection, Reservation};
use heronhoist_routing::{Attributes, Table};
use heronhoist_translate::wire::trouble::{Told, Trouble};
use heronhoist_translate::{Mapping, Mappings, Notice, Side};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// How long a connection that has been asked to close may take to pass on an answer.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// What a client goes on sending behind its last answer is read up to so many bytes.
const LINGER_MOST: usize = 256 * 1024;
/// The largest head of a request, and its lines: hyper's own bounds would let a few hundred half heads fill the memory.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;

/// How many connections clients may hold.
#[derive(Clone, Copy)]
pub struct ClientLimits {
    /// At most.
    pub max_open: usize,
    /// Beyond so many, those that rest are closed.
    pub idle_close_threshold: usize,
    /// Beyond so many, all are closed after their answer.
    pub keep_alive_threshold: usize,
}

/// What requests are checked against, and where they go.
pub struct ActivePlan {
    /// Their classes and tenants.
    pub catalogue: Catalogue,
    /// Which pool they go to, by its place.
    pub routes: Table,
    /// The pools.
    pub pools: Vec<Rc<HttpPool>>,
    /// How requests of the old dialects are translated.
    pub mappings: Rc<Mappings>,
}

impl ActivePlan {
    /// The pool of a request.
    fn pool(&self, front: &str, checked: &Checked) -> Option<Rc<HttpPool>> {
        let labels = |name: &str| checked.header(name);
        self.pool_of(|| checked.attributes(front, &labels))
    }

    /// The pool of a request of an old dialect, whose headers nobody asks for.
    fn legacy_pool(&self, front: &str, asked: &Asked) -> Option<Rc<HttpPool>> {
        let (class, path) = (asked.class.name.as_str(), asked.head.uri.path());
        self.pool_of(|| Attributes { front, class, tenant: None, path, labels: None })
    }

    fn pool_of<'a>(&self, attributes: impl FnOnce() -> Attributes<'a>) -> Option<Rc<HttpPool>> {
        let place = match self.routes.rules() {
            // Nothing is looked up that no rule asks for.
            [] => self.routes.default_pool()?,
            _ => self.routes.route(&attributes())?,
        };
        self.pools.get(place).map(Rc::clone)
    }
}

/// The clients' side of the agent.
pub struct Server {
    serving: RefCell<Rc<ActivePlan>>,
    pools: Rc<Pools>,
    metrics: Rc<Metrics>,
    listening: Cell<bool>,
    longest: Cell<Duration>,
    seats: Seats,
    open: Gauge,
    limits: Cell<ClientLimits>,
    stopping: Cell<bool>,
    /// At a stop, all that has come has its answer by then.
    answer_by: Cell<Option<Instant>>,
    /// The end of a stop: what is owed is answered at once, and connections that have not been used go too.
    finished: Cell<bool>,
    finishing: Notify,
}

impl Server {
    /// Serves nobody yet.
    pub fn new(
        serving: ActivePlan,
        pools: Rc<Pools>,
        metrics: Rc<Metrics>,
        limits: ClientLimits,
    ) -> Rc<Self> {
        let (seats, open, stopping, listening, answer_by) = Default::default();
        let (finished, finishing) = Default::default();
        let longest = Cell::new(serving.catalogue.longest_deadline());
        let (serving, limits) = (RefCell::new(Rc::new(serving)), Cell::new(limits));
        Rc::new(Server {
            serving,
            pools,
            metrics,
            listening,
            longest,
            seats,
            open,
            limits,
            stopping,
            answer_by,
            finished,
            finishing,
        })
    }

    /// Holds so many connections from now on.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// How long a request may take at most.
    pub fn longest_deadline(&self) -> Duration {
        self.longest.get()
    }

    /// Requests whose head comes from now on are checked against this.
    pub fn replace_plan(&self, serving: ActivePlan) {
        // A request that came before may still be under way: the longest of all stands.
        self.longest.set(self.longest.get().max(serving.catalogue.longest_deadline()));
        *self.serving.borrow_mut() = Rc::new(serving);
    }

    /// Accepts connections to a front until dropped.
    pub async fn accept(self: &Rc<Self>, front: &Rc<Front>, listener: &impl Listener<Stream = TcpStream>) {
        self.listening.set(true);
        loop {
            // A connection that waits in the backlog has been accepted as far as its client can tell, so room
            // is made before it is needed.
            while self.open.count() >= self.limits.get().max_open {
                self.seats.make_room();
                let _ = timeout(ACCEPT_RETRY_DELAY, self.seats.left()).await;
            }
            let stream = accept(listener, |error, kind| {
                tracing::warn!(%error, "cannot accept");
                if kind == AcceptError::ResourceExhausted {
                    self.seats.make_room();
                }
            })
            .await;
            let (server, front, ticket) = (Rc::clone(self), Rc::clone(front), self.open.increment());
            let (wire, monitor) = MeteredStream::for_client(stream);
            tokio::task::spawn_local(async move {
                let (taken, stream) = (server.seats.enter(monitor), wire.stream());
                let ended = server.converse(&front, &taken.seat, wire).await;
                if ended == Close::Graceful && taken.seat.leave() {
                    tokio::select! {
                        () = lingering_close(&stream, LINGER_MOST) => {}
                        () = taken.seat.closed_immediately() => {}
                    }
                }
                drop((stream, ticket));
            });
        }
    }

    /// Ends connections of which nothing comes, for as long as the agent lives.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            // What clients have said while the process was held up is no silence.
            heartbeat().await;
            self.seats.sweep(self.limits.get().idle_close_threshold);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// From now on every answer ends its connection, and comes by then, whatever its client would wait.
    pub fn begin_shutdown(&self, answer_by: Instant) {
        self.stopping.set(true);
        self.answer_by.set(Some(answer_by));
    }

    /// Closes the connections that are idle, and the others after their answer; those that have not been used yet are kept
    /// for one more.
    pub fn close_all(&self) {
        self.seats.close_all();
    }

    /// Answers what is owed now, and closes the connections that have not been used too.
    pub fn finish_pending(&self) {
        self.finished.set(true);
        self.finishing.notify_waiters();
    }

    /// Comes back when what is owed is to be answered now.
    async fn finished(&self) {
        if !self.finished.get() {
            self.finishing.notified().await;
        }
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.count()
    }

    /// How many of them owe an answer or may do so soon.
    pub fn pending_requests(&self) -> usize {
        self.seats.owed()
    }
}

/// The client has gone before it had its answer: its connection ends, and nothing is sent on for it.
#[derive(Debug)]
struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the client has gone")
    }
}

impl std::error::Error for Gone {}

impl StatusSource for Server {
    fn is_ready(&self) -> bool {
        self.listening.get() && !self.stopping.get() && self.pools.has_serving_server()
    }

    fn metrics_page(&self) -> String {
        self.metrics.render(&self.pools.stats())
    }
}

impl Server {
    /// Serves a connection to its end; tells whether what it has been given last may still reach its client.
    async fn converse(self: &Rc<Self>, front: &Rc<Front>, seat: &Rc<Seat>, wire: MeteredStream) -> Close {
        let service = service_fn(|request| {
            let (server, front, seat) = (Rc::clone(self), Rc::clone(front), Rc::clone(seat));
            async move {
                seat.begin();
                let mut answer = tokio::select! {
                    biased;
                    answer = answered(server.handle(&front, &seat, request)) => answer,
                    () = seat.monitor().closed_by_peer() => return Err(Gone),
                };
                // Clients that ask once and stay would leave the others none of the connections that all may hold.
                let is_crowded = server.open.count() > server.limits.get().keep_alive_threshold;
                if is_crowded || server.stopping.get() || seat.is_ending() {
                    answer = closing(answer);
                }
                // What has been read behind the request is owed an answer too.
                if seat.has_next() {
                    answer.headers_mut().remove(CONNECTION);
                }
                seat.answer(answer.headers().contains_key(CONNECTION));
                Ok(answer)
            }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // The sweep ends half a request; a timer for each head would cost more.
        builder.header_read_timeout(None).max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
        let mut connection = pin!(builder.serve_connection(wire, service));
        tokio::select! {
            biased;
            _ = connection.as_mut() => return Close::Graceful,
            end = seat.ended() => if end == Close::Immediate { return end },
        }
        let graceful = async {
            loop {
                // A request that is on its way, or has come and was not read yet, must not be cut off by the close.
                loop {
                    // The answer that is owed ends the connection, or is followed by those to what stands behind it.
                    let wait = match () {
                        () if seat.is_busy() || seat.is_unsent() => CLOSE_WAIT,
                        () if seat.is_coming() => Duration::from_millis(1),
                        () => break,
                    };
                    if timeout(wait, connection.as_mut()).await.is_ok() {
                        return;
                    }
                }
                // hyper would close one that has had no request yet. At a stop its client has just come and is about to
                // ask, with no listener left to turn to: it keeps its connection for that one answer.
                if seat.is_used() || !self.stopping.get() || self.finished.get() {
                    break;
                }
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    () = self.finished() => {}
                }
            }
            connection.as_mut().graceful_shutdown();
            // What is left is to pass on an answer that is owed or has been given; a client that does not read, or
            // has begun a request and says no more, must not keep its seat.
            while timeout(CLOSE_WAIT, connection.as_mut()).await.is_err()
                && (seat.is_busy() || seat.is_unsent() || self.stopping.get())
            {}
        };
        tokio::select! {
            biased;
            () = graceful => Close::Graceful,
            () = seat.closed_immediately() => Close::Immediate,
        }
    }

    /// One request, one answer.
    async fn handle(&self, front: &Front, seat: &Rc<Seat>, request: Request<Incoming>) -> Response<Reply> {
        if request.uri().path() == "/health/ready" && request.method() == Method::GET {
            let ready = self.pools.has_serving_server();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let serving = Rc::clone(&self.serving.borrow());
        if front.protocol == Protocol::Legacy {
            return self.handle_legacy(&front.name, seat, &serving, request).await;
        }
        let checked = match serving.catalogue.check(seat, request) {
            Ok(checked) => checked,
            Err(fault) => return turned_away(fault, None),
        };
        let counters = Rc::clone(&checked.class.counters);
        let pool = serving.pool(&front.name, &checked);
        let answer = match &pool {
            Some(pool) => self.read_and_pass_on(seat, &serving, pool, checked).await,
            None => {
                checked.discard();
                Err((StatusCode::NOT_FOUND, "no route leads from here"))
            }
        };
        let mut answer =
            answer.unwrap_or_else(|fault| turned_away(fault, pool.and_then(|pool| pool.body_retry_after())));
        match answer.body_mut() {
            // It is served once the client has all of it.
            Reply::Passing(passing) => passing.counters = Some(counters),
            Reply::Held(..) => counters.record(outcome_of(answer.status())),
        }
        answer
    }

    async fn read_and_pass_on(
        &self,
        seat: &Rc<Seat>,
        serving: &ActivePlan,
        pool: &HttpPool,
        checked: Checked,
    ) -> Result<Response<Reply>, Fault> {
        let class = Rc::clone(&checked.class);
        let times = pool.latency(&self.metrics, &class.name);
        let mut new_request = serving.catalogue.read(seat, &pool.bodies, checked).await?;
        dialect::add_legacy_form(&serving.mappings, &mut new_request, pool.engine_pool.serving_dialects());
        let upload = new_request.request.body.upload().map(Rc::clone);
        let answer = self.pass_on(seat, pool, (&class.name, &times), new_request).await;
        if let Some(rest) = upload.and_then(|upload| upload.abandon()) {
            seat.discard(true);
            let seat = Rc::clone(seat);
            tokio::task::spawn_local(async move {
                rest.discard().await;
                seat.discard(false);
            });
        }
        check_end(seat).and(answer)
    }

    /// The same for a client of an old dialect, which gets every answer in its own form.
    async fn handle_legacy(
        &self,
        front: &str,
        seat: &Rc<Seat>,
        serving: &ActivePlan,
        request: Request<Incoming>,
    ) -> Response<Reply> {
        let asked = match legacy::ask(&serving.mappings, &serving.catalogue, seat, request) {
            Ok(asked) => asked,
            Err(told) => return closing(in_form(told)),
        };
        let mapping = Rc::clone(&asked.mapping);
        let word = |trouble: &Trouble| in_form(legacy::in_form(&mapping, trouble));
        let asked_class = Rc::clone(&asked.class);
        let Some(pool) = serving.legacy_pool(front, &asked) else {
            asked.discard();
            asked_class.counters.record(Outcome::Failed);
            return closing(word(&Trouble::Failed("No route leads from here.".into())));
        };
        let translated = match legacy::translate(&serving.catalogue, seat, &pool, asked).await {
            Ok(translated) => translated,
            Err(trouble) => {
                if !matches!(trouble, Trouble::Refused(_)) {
                    self.metrics.record_untranslated(&mapping.name);
                }
                let answer = word(&trouble);
                asked_class.counters.record(outcome_of(answer.status()));
                return closing(answer);
            }
        };
        let Translated { new_request, class, mut notices } = translated;
        let times = pool.latency(&self.metrics, &class.name);
        let carried = self.carry(seat, &pool, (&class.name, &times), new_request).await;
        let answer = match carried {
            Err(declined) => Err(Trouble::Refused(pool.retry_after(declined).map(Into::into))),
            // An old server's answer is the client's own.
            Ok((FinalResponse::Success(served), in_flight)) if served.dialect == OLD => {
                Ok((reply(seat, served, in_flight), Vec::new()))
            }
            Ok((FinalResponse::Success(served), _)) => {
                self.translated(&mapping, Side::New, served).map_err(Trouble::Failed)
            }
            Ok((FinalResponse::Rejected(after), _)) => Err(Trouble::Refused(after.map(Into::into))),
            Ok((FinalResponse::DeadlineExceeded, _)) => Err(Trouble::Failed("Its time is up.".into())),
            Ok((FinalResponse::Failed | FinalResponse::IncompleteRequest, _)) => {
                Err(Trouble::Failed(String::new()))
            }
        };
        let mut answer = match answer {
            Ok((answer, more)) => {
                notices.extend(more);
                answer
            }
            Err(trouble) => word(&trouble),
        };
        self.tell_losses(&mapping, &notices, &mut answer);
        match answer.body_mut() {
            Reply::Passing(passing) => passing.counters = Some(Rc::clone(&class.counters)),
            Reply::Held(..) => class.counters.record(outcome_of(answer.status())),
        }
        answer
    }

    /// The answer of a server of one side in the form of the other, with what was lost.
    fn translated(
        &self,
        mapping: &Mapping,
        from: Side,
        served: UpstreamResponse,
    ) -> Result<(Response<Reply>, Vec<Notice>), String> {
        let done = dialect::translate_response(mapping, from, served);
        let done = done.inspect_err(|_| self.metrics.record_untranslated(&mapping.name));
        let (body, reservation, notices) =
            done.map_err(|why| format!("Its answer has no counterpart: {why}"))?;
        let mut answer = Response::new(Reply::Held(Full::new(body), Some(reservation)));
        let to = mapping.dialect(from.other());
        let kind = HeaderValue::try_from(to.answers.content_type(to.charset));
        answer.headers_mut().extend(kind.ok().map(|kind| (CONTENT_TYPE, kind)));
        Ok((answer, notices))
    }

    fn tell_losses(&self, mapping: &Mapping, notices: &[Notice], answer: &mut Response<Reply>) {
        self.metrics.record_losses(&mapping.name, notices.len());
        if let Some(notice) = legacy::notice(notices) {
            answer.headers_mut().insert(legacy::NOTICE, notice);
        }
    }

    /// Hands a request to its pool, and waits for the final answer; what counts it as under way comes with it.
    async fn carry(
        &self,
        seat: &Rc<Seat>,
        pool: &HttpPool,
        (class, times): (&str, &LatencyHistograms),
        new_request: NewRequest<UpstreamRequest>,
    ) -> Result<(FinalResponse<UpstreamResponse>, Option<GaugeGuard>), Rejection> {
        let mut in_flight = None;
        let since = Cell::new(None);
        let whole = |deadline: Instant| {
            seat.take();
            since.set(Some(Instant::now()));
            in_flight = Some(self.metrics.track_request());
            // The module has the client's whole time: a server that answers sooner serves it.
            self.answer_by.get().map_or(deadline, |by| deadline.min(by))
        };
        // Nothing is decided before what was told while the process was held up is known.
        catch_up().await;
        // What was taken before the stop has its time, but no more than there is.
        let finished = async {
            self.finished().await;
            FinalResponse::DeadlineExceeded
        };
        // Dropped by hyper with this future when the client closes its connection.
        let pending = pool.engine_pool.submit(new_request)?;
        let id = pending.id();
        let answer = tokio::select! {
            biased;
            answer = pending.wait(whole) => answer,
            answer = finished => answer,
        };
        if let Some(since) = since.get() {
            let outcome = match &answer {
                FinalResponse::Success(_) => Outcome::Served,
                FinalResponse::Rejected(_) => Outcome::Refused,
                FinalResponse::Failed
                | FinalResponse::DeadlineExceeded
                | FinalResponse::IncompleteRequest => Outcome::Failed,
            };
            let took = since.elapsed();
            times.record(outcome, took);
            tracing::debug!(
                target: "heronhoist::request",
                pool = pool.engine_pool.name(),
                request = id,
                class,
                outcome = ?outcome,
                elapsed_us = took.as_micros() as u64,
                "request ended"
            );
        }
        Ok((answer, in_flight))
    }

    async fn pass_on(
        &self,
        seat: &Rc<Seat>,
        pool: &HttpPool,
        of: (&str, &LatencyHistograms),
        new_request: NewRequest<UpstreamRequest>,
    ) -> Result<Response<Reply>, Fault> {
        let upload = new_request.request.body.upload().map(Rc::clone);
        // Only what could go to an old server can come back from one.
        let mapping = new_request.request.legacy.as_ref().and_then(|old| old.mapping.clone());
        let (answer, in_flight) = match self.carry(seat, pool, of, new_request).await {
            Ok(carried) => carried,
            Err(Rejection::CorrelationIdInUse) => return Err((StatusCode::CONFLICT, "X-Call-Id is in use")),
            Err(declined) => return Ok(refused(pool.retry_after(declined))),
        };
        Ok(match answer {
            FinalResponse::Success(served) if served.dialect == OLD => {
                let done = mapping.ok_or_else(String::new).and_then(|mapping| {
                    let (mut answer, notices) = self.translated(&mapping, Side::Old, served)?;
                    self.tell_losses(&mapping, &notices, &mut answer);
                    Ok(answer)
                });
                done.unwrap_or_else(|_| plain(StatusCode::BAD_GATEWAY, "its answer has no counterpart"))
            }
            FinalResponse::Success(served) => reply(seat, served, in_flight),
            FinalResponse::Rejected(retry_after) => refused(retry_after),
            FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
            FinalResponse::DeadlineExceeded => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
            FinalResponse::IncompleteRequest => match upload.map(|upload| upload.state()) {
                Some(UploadState::Failed(broken)) => return Err(fault_of(broken)),
                _ => return Err(fault_of(UploadError::Unreadable)),
            },
        })
    }
}

/// A panic costs its request and no other: it is answered all the same, and its connection ends with that.
async fn answered(handled: impl Future<Output = Response<Reply>>) -> Response<Reply> {
    let mut handled = pin!(handled);
    poll_fn(|cx| {
        catch_unwind(AssertUnwindSafe(|| handled.as_mut().poll(cx))).unwrap_or_else(|_| {
            tracing::error!("the handling of a request has panicked; going on");
            Poll::Ready(closing(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed")))
        })
    })
    .await
}

/// A server's answer as it came.
fn reply(seat: &Rc<Seat>, served: UpstreamResponse, in_flight: Option<GaugeGuard>) -> Response<Reply> {
    let body = match served.body {
        ResponseBody::Buffered(bytes, reservation) => Reply::Held(Full::new(bytes), Some(reservation)),
        ResponseBody::Streaming(download) => {
            let (seat, counters) = (Rc::clone(seat), None);
            seat.pass_on();
            Reply::Passing(Passing { download, seat, counters, whole: false, _in_flight: in_flight })
        }
    };
    let mut answer = Response::new(body);
    if let Some(kind) = served.content_type {
        answer.headers_mut().insert(CONTENT_TYPE, kind);
    }
    answer
}

/// The body of an answer.
enum Reply {
    /// All of it, and the memory that it holds.
    Held(
        Full<Bytes>,
        #[expect(dead_code, reason = "held until the client has the bytes")] Option<Reservation>,
    ),
    Passing(Passing),
}

/// An answer that is passed on as it comes.
struct Passing {
    download: Box<Download>,
    seat: Rc<Seat>,
    counters: Option<Rc<ClassCounters>>,
    whole: bool,
    _in_flight: Option<GaugeGuard>,
}

impl Drop for Passing {
    fn drop(&mut self) {
        if let Some(counters) = &self.counters {
            counters.record(if self.whole { Outcome::Served } else { Outcome::Failed });
        }
        self.seat.passed_on();
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            Reply::Held(body, _) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Reply::Passing(passing) => {
                let frame = ready!(Pin::new(&mut passing.download).poll_frame(cx));
                passing.whole = passing.download.is_end_stream() || frame.is_none();
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Held(body, _) => body.is_end_stream(),
            Reply::Passing(passing) => passing.download.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Held(body, _) => body.size_hint(),
            Reply::Passing(passing) => passing.download.size_hint(),
        }
    }
}

/// How a request ended, as the protocol words it.
fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Reply> {
    let mut answer = Response::new(Reply::Held(Full::new(Bytes::from_static(text.as_bytes())), None));
    *answer.status_mut() = status;
    answer
}

/// A refusal, with the time to come back after.
fn refused(retry_after: Option<Span>) -> Response<Reply> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Some(Ok(value)) = retry_after.map(|s| HeaderValue::try_from(format!("{:.3}", s.as_ms() / 1e3))) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// An answer in an old client's form.
fn in_form(told: Told) -> Response<Reply> {
    let mut answer = Response::new(Reply::Held(Full::new(told.body.into()), None));
    *answer.status_mut() = StatusCode::from_u16(told.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(told.content_type));
    answer.headers_mut().extend(told.retry_after.map(|seconds| (RETRY_AFTER, HeaderValue::from(seconds))));
    answer
}

/// Whatever else may come on its connection is not waited for.
fn closing(mut answer: Response<Reply>) -> Response<Reply> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer to what can't be used; whatever else may come on its connection is not waited for.
fn turned_away((status, why): Fault, retry_after: Option<Span>) -> Response<Reply> {
    closing(match status {
        StatusCode::SERVICE_UNAVAILABLE => refused(retry_after),
        status => plain(status, why),
    })
}

#[cfg(test)]
mod tests;
