//! Per-request options from headers.

use http::{HeaderMap, HeaderValue};
use notchwalk_http::Exchange;

use crate::api_error::ApiFailure;

/// Maximum length of a request id that is echoed, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 200;

/// Options of one request, given in headers.
pub struct RequestOptions {
    /// `x-notchwalk-priority`.
    pub priority: Option<u8>,
    /// `x-notchwalk-timeout-ms`.
    pub timeout_ms: Option<u64>,
    /// `x-request-id`, echoed in the response.
    pub request_id: Option<HeaderValue>,
}

impl RequestOptions {
    /// Parses the options.
    ///
    /// # Errors
    ///
    /// Fails if a header is not a number in its range.
    pub fn parse(exchange: &Exchange) -> Result<Self, ApiFailure> {
        Ok(Self {
            priority: parse_number(exchange, "x-notchwalk-priority", 9)?,
            timeout_ms: parse_number(exchange, "x-notchwalk-timeout-ms", u64::MAX)?,
            request_id: request_id(exchange),
        })
    }

    /// Returns the headers that every response to the request carries.
    pub fn response_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(id) = &self.request_id {
            headers.insert("x-request-id", id.clone());
        }
        headers
    }
}

/// Returns the caller's `x-request-id`, unless it is too long to echo.
pub(crate) fn request_id(exchange: &Exchange) -> Option<HeaderValue> {
    let id = exchange.head.headers.get("x-request-id")?;
    (id.len() <= MAX_REQUEST_ID_BYTES).then(|| id.clone())
}

fn parse_number<T>(exchange: &Exchange, name: &str, max: T) -> Result<Option<T>, ApiFailure>
where
    T: std::str::FromStr + PartialOrd + std::fmt::Display,
{
    let Some(text) = exchange.header(name) else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(value) if value <= max => Ok(Some(value)),
        _ => {
            let message = format!("{name} is a whole number, at most {max}");
            Err(ApiFailure::invalid_param("invalid_header", name, message))
        }
    }
}
