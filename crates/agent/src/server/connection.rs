//! One connection of a client: its requests one after the other, and how it is closed.

use super::Server;
use crate::client_connections::{ClientConnection, Close};
use crate::config::Front;
use crate::metered_stream::MeteredStream;
use crate::responses::{text_response, with_close, ClientBody};
use heronhoist_engine::timing::{sleep_until_caught_up, timeout};
use hyper::header::CONNECTION;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How long a connection that is being closed may wait for its pending responses at a time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest head of a request, in bytes, and the maximum number of its headers. With hyper's defaults, a few hundred incomplete heads would fill the
/// memory.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// The error of a request whose client has closed the connection before the response. It ends the connection and the work on the
/// request.
#[derive(Debug)]
struct ClientClosed;

impl std::fmt::Display for ClientClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the client has closed its connection")
    }
}

impl std::error::Error for ClientClosed {}

impl Server {
    /// Serves a connection until it ends, and returns how it was closed. After a graceful close the last response may still be in transit.
    pub(super) async fn serve_connection(
        self: &Rc<Self>,
        front: &Rc<Front>,
        connection: &Rc<ClientConnection>,
        stream: MeteredStream,
    ) -> Close {
        let service = service_fn(|request| {
            let (server, front, connection) = (Rc::clone(self), Rc::clone(front), Rc::clone(connection));
            async move {
                connection.begin_request();
                // hyper would handle up to 16 requests that have been read before any other connection gets its turn.
                if connection.monitor().has_next_request() {
                    yield_now().await;
                }
                let mut response = tokio::select! {
                    biased;
                    response = catch_panic(server.handle(&front, &connection, request)) => response,
                    () = connection.monitor().closed_by_peer() => return Err(ClientClosed),
                };
                // Clients that stay connected after one request would leave no connections for the others.
                let is_over_threshold =
                    server.open_connections.count() > server.limits.get().keep_alive_threshold;
                if is_over_threshold || server.is_shutting_down.get() || connection.is_close_requested() {
                    response = with_close(response);
                }
                // Another request that has been read behind this one needs a response too.
                if connection.has_pipelined_request() {
                    response.headers_mut().remove(CONNECTION);
                }
                connection.finish_response(response.headers().contains_key(CONNECTION));
                Ok(response)
            }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // The sweep closes connections with incomplete requests; a timer for each head would cost more.
        builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let mut http_connection = pin!(builder.serve_connection(stream, service));
        tokio::select! {
            biased;
            _ = http_connection.as_mut() => return Close::Graceful,
            close = connection.close_requested() => if close == Close::Immediate { return close },
        }
        let graceful = async {
            loop {
                // A request that is arriving, or has arrived and was not read yet, must not be cut off by the close.
                loop {
                    // The pending response ends the connection, or is followed by those to the requests behind it.
                    let wait = match () {
                        () if connection.is_response_pending() || connection.has_unsent_bytes() => {
                            CLOSE_TIMEOUT
                        }
                        () if connection.is_request_arriving() => Duration::from_millis(1),
                        () => break,
                    };
                    // A streamed response may end long after the close was requested: its connection is closed at once then, so
                    // that the next request of its client does not destroy what is still in transit.
                    tokio::select! {
                        biased;
                        _ = http_connection.as_mut() => return,
                        () = connection.response_finished() => {}
                        () = sleep_until_caught_up(Instant::now() + wait) => {}
                    }
                }
                // hyper would close a connection without a request. During a shutdown its client has just connected and is about to
                // send one, and no listener is left for it: it keeps its connection for that one request.
                if connection.has_carried_request() || !self.is_shutting_down.get() || self.is_finishing.get()
                {
                    break;
                }
                tokio::select! {
                    biased;
                    _ = http_connection.as_mut() => return,
                    () = self.finish_requested() => {}
                }
            }
            http_connection.as_mut().graceful_shutdown();
            // A response that is pending or being sent keeps the connection open; a client that stops in the middle of a request does
            // not. During a shutdown every connection may stay open until the process exits.
            while timeout(CLOSE_TIMEOUT, http_connection.as_mut()).await.is_err()
                && (connection.is_response_pending()
                    || connection.has_unsent_bytes()
                    || self.is_shutting_down.get())
            {}
        };
        tokio::select! {
            biased;
            () = graceful => Close::Graceful,
            () = connection.immediate_close_requested() => Close::Immediate,
        }
    }
}

/// Turns a panic of the handler into a response with status 500, after which the connection is closed. Other requests are not affected.
async fn catch_panic(handler: impl Future<Output = Response<ClientBody>>) -> Response<ClientBody> {
    let mut handler = pin!(handler);
    poll_fn(|cx| {
        catch_unwind(AssertUnwindSafe(|| handler.as_mut().poll(cx))).unwrap_or_else(|_| {
            tracing::error!("the handling of a request has panicked; going on");
            Poll::Ready(with_close(text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed")))
        })
    })
    .await
}
