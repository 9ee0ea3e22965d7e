//! What callers ask for in headers.

use http::{HeaderMap, HeaderValue};
use notchwalk_http::Exchange;

use crate::api_error::ApiFailure;

/// The longest request id that is echoed.
const MAX_REQUEST_ID: usize = 200;

/// What callers ask for in headers.
pub struct RequestOptions {
    /// `x-notchwalk-priority`.
    pub priority: Option<u8>,
    /// `x-notchwalk-timeout-ms`.
    pub timeout_ms: Option<u64>,
    /// `x-request-id`, echoed.
    pub request_id: Option<HeaderValue>,
}

impl RequestOptions {
    /// Reads them.
    ///
    /// # Errors
    ///
    /// Fails for a header that is no number in its range.
    pub fn read(exchange: &Exchange) -> Result<Self, ApiFailure> {
        Ok(Self {
            priority: number(exchange, "x-notchwalk-priority", 9)?,
            timeout_ms: number(exchange, "x-notchwalk-timeout-ms", u64::MAX)?,
            request_id: request_id(exchange),
        })
    }

    /// Returns the headers that every answer carries.
    pub fn answer_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(id) = &self.request_id {
            headers.insert("x-request-id", id.clone());
        }
        headers
    }
}

/// Returns the id that a caller gave its request, unless it is too long to echo.
pub(crate) fn request_id(exchange: &Exchange) -> Option<HeaderValue> {
    let id = exchange.head.headers.get("x-request-id")?;
    (id.len() <= MAX_REQUEST_ID).then(|| id.clone())
}

fn number<T>(exchange: &Exchange, name: &str, max: T) -> Result<Option<T>, ApiFailure>
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
            Err(ApiFailure::bad_param("invalid_header", name, message))
        }
    }
}
