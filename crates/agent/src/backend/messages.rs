//! The HTTP messages between the agent and a server: requests to it, and where the bodies of its responses end.

use super::UpstreamRequest;
use crate::connections::EndpointAddress;
use crate::dialect::OLD;
use crate::download::BodyLength;
use crate::upload::{AttemptBody, RequestBody, MAX_BODY_BYTES};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use std::time::Duration;

/// Returns how the head of a response delimits its body; `None` if the framing headers are repeated, conflicting or invalid, or
/// the length exceeds [`MAX_BODY_BYTES`]. The bytes after such a head can't be trusted.
pub(super) fn body_length(status: StatusCode, headers: &HeaderMap) -> Option<BodyLength> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            let length = length.to_str().ok()?.parse().ok();
            length.filter(|length| *length <= MAX_BODY_BYTES).map(BodyLength::Known)
        }
        (None, None, Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(BodyLength::Chunked)
        }
        (None, None, None, None) => Some(BodyLength::CloseDelimited),
        _ => None,
    }
}

/// Builds the HTTP request to a server: the client's own, with the time that remains for this attempt. (The old dialect has no
/// header for that time.)
pub(super) fn build_http_request(
    request: &UpstreamRequest,
    endpoint: EndpointAddress,
    remaining_time: Duration,
) -> Request<AttemptBody> {
    let host = HeaderValue::from_str(&endpoint.address.to_string());
    if let Some(legacy) = request.legacy.as_deref().filter(|_| endpoint.dialect == OLD) {
        let mut http_request = Request::new(RequestBody::Buffered(legacy.body.clone()).attempt_body());
        *http_request.method_mut() = legacy.method.clone();
        *http_request.uri_mut() = legacy.uri.clone();
        *http_request.headers_mut() = legacy.headers.clone();
        if let Ok(host) = host {
            http_request.headers_mut().entry(HOST).or_insert(host);
        }
        return http_request;
    }
    let mut http_request = Request::new(request.body.attempt_body());
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.uri.clone();
    *http_request.headers_mut() = request.headers.clone();
    http_request.headers_mut().insert("x-budget-ms", HeaderValue::from(remaining_time.as_millis() as u64));
    if let Ok(host) = host {
        http_request.headers_mut().entry(HOST).or_insert(host);
    }
    http_request
}
