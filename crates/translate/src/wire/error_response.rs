//! Error responses in the client's own form, with the same meaning in each form.

use super::{json::quoted, soap};
use crate::charset::Charset;
use crate::mapping::Form;
use crate::node::Limits;
use std::time::Duration;

/// Why a request has no response of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request can't be decoded or translated; sending it again gives the same error.
    BadRequest(String),
    /// The request exceeds a size limit.
    TooLarge(String),
    /// The request did not run and may be sent again, after this delay if one is known.
    Rejected(Option<Duration>),
    /// The request may have run.
    Failed(String),
}

/// An HTTP error response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The status code.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: &'static str,
    /// The seconds of `Retry-After`, rounded up.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestFailure {
    fn parts(&self) -> (u16, &'static str, String) {
        match self {
            RequestFailure::BadRequest(reason) => (400, "Request not understood", reason.clone()),
            RequestFailure::TooLarge(reason) => (413, "Request too large", reason.clone()),
            RequestFailure::Rejected(_) => {
                (503, "Refused", "It did not run; trying again is harmless.".into())
            }
            RequestFailure::Failed(reason) => {
                (502, "Failed", format!("It may have run. {reason}").trim_end().to_owned())
            }
        }
    }

    /// Encodes the failure in the client's form.
    ///
    /// SOAP 1.1 (6.2) requires status 500 with a Fault if the request was processed. A rejected or too large request
    /// was not processed, and keeps its own status so that the client can distinguish it.
    pub fn to_response(&self, form: Form) -> ErrorResponse {
        let (status, title, detail) = self.parts();
        let retry_after = match self {
            RequestFailure::Rejected(Some(delay)) => {
                Some(delay.as_secs() + u64::from(delay.subsec_nanos() > 0))
            }
            _ => None,
        };
        let (status, content_type, body) = match form {
            Form::Json => {
                let kind = title.to_ascii_lowercase().replace(' ', "-");
                let retry_after_part =
                    retry_after.map(|s| format!(",\"retry_after_s\":{s}")).unwrap_or_default();
                let body = format!(
                    "{{\"type\":\"about:blank#{kind}\",\"title\":{},\"status\":{status},\"detail\":{}{retry_after_part}}}",
                    quoted(title),
                    quoted(&detail)
                );
                (status, "application/problem+json", body)
            }
            Form::Soap => {
                let code = match self {
                    RequestFailure::BadRequest(_) | RequestFailure::TooLarge(_) => "Client",
                    RequestFailure::Rejected(_) => "Server.Busy",
                    RequestFailure::Failed(_) => "Server",
                };
                let status = match self {
                    RequestFailure::BadRequest(_) | RequestFailure::Failed(_) => 500,
                    RequestFailure::TooLarge(_) | RequestFailure::Rejected(_) => status,
                };
                let detail_element = retry_after.map(|s| ("retryAfterSeconds", s.to_string()));
                (
                    status,
                    "text/xml; charset=utf-8",
                    soap::encode_fault(code, &format!("{title}: {detail}"), detail_element),
                )
            }
            Form::Form | Form::Table => {
                let retry_after_part =
                    retry_after.map(|s| format!("RETRY-AFTER {s}\r\n")).unwrap_or_default();
                let heading = title.to_ascii_uppercase();
                (
                    status,
                    "text/plain; charset=us-ascii",
                    format!("{heading}\r\n{}\r\n{retry_after_part}", ascii(&detail)),
                )
            }
        };
        ErrorResponse { status, content_type, retry_after, body: body.into_bytes() }
    }
}

/// Reports whether an old server's response states that the request was rejected without any effect: status 503 with
/// the first line of a text rejection, or with the SOAP fault code of a rejection. After any other response the request
/// may have run.
pub fn is_rejection(status: u16, body: &[u8]) -> bool {
    if status != 503 {
        return false;
    }
    if body.starts_with(b"REFUSED\r\n") {
        return true;
    }
    let read = soap::decode(body, Charset::Utf8, Limits::default());
    matches!(read, Ok(soap::Body::Fault { code, .. }) if code.rsplit(':').next() == Some("Server.Busy"))
}

/// Replaces every character that is not printable ASCII. Legacy clients can read ASCII in any charset.
fn ascii(text: &str) -> String {
    text.chars().map(|c| if c.is_ascii() && !c.is_control() { c } else { '?' }).collect()
}

#[cfg(test)]
mod tests;
