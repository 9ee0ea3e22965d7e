//! An HTTP client with a pool of idle connections per address.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use monoio::net::TcpStream;
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    connection::{MAX_COALESCED_BODY_BYTES, RESET_TIMEOUT},
    encode_request_head, BodyFraming, BodyReader, Connection, EventScanner, HttpError, Reservation,
};

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// How long a connection stays in the pool; shorter than the idle timeout of our servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a request may use a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// A pooled connection may be used; the server may already have closed it.
    Pooled,
    /// A new connection is made and closed afterwards. A connect error then proves that
    /// nothing was sent.
    Fresh,
}

/// A request to send.
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers, without `Host` and the framing headers (`Content-Length` and
    /// `Transfer-Encoding`).
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether a pooled connection may be used.
    pub reuse: ConnectionReuse,
}

impl OutgoingRequest {
    /// Creates a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            reuse: ConnectionReuse::Pooled,
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be serialized; all message types of this project can.
    pub fn with_json<T: Serialize>(self, value: &T) -> Self {
        let json = HeaderValue::from_static("application/json");
        let body = serde_json::to_vec(value).expect("message types serialize");
        self.with_header(header::CONTENT_TYPE, json).with_body(body)
    }

    /// Sets whether a pooled connection may be used.
    pub fn with_reuse(mut self, reuse: ConnectionReuse) -> Self {
        self.reuse = reuse;
        self
    }
}

/// A response with its complete body.
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Deserializes the body from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

struct IdleConnection {
    conn: Connection,
    expires_at: Instant,
}

type Pool = Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// An HTTP client; clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    connect_timeout: Duration,
    reset_timeout: Duration,
    received_bytes: Rc<Cell<u64>>,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Pool::default(),
            connect_timeout: CONNECT_TIMEOUT,
            reset_timeout: RESET_TIMEOUT,
            received_bytes: Rc::default(),
        }
    }
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the timeout for making a connection.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long a body that ends with its connection waits for a reset, if its request was
    /// large.
    pub fn with_reset_timeout(mut self, timeout: Duration) -> Self {
        self.reset_timeout = timeout;
        self
    }

    /// Returns the number of bytes that all connections of this client and its clones
    /// have received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, HttpError> {
        let connect = TcpStream::connect_addr(addr);
        let stream = match monoio::time::timeout(self.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(HttpError::Connect(e)),
            Err(_) => return Err(HttpError::Connect(std::io::ErrorKind::TimedOut.into())),
        };
        let conn = Connection::new(stream).map_err(HttpError::Connect)?;
        Ok(conn
            .with_received_counter(self.received_bytes.clone())
            .with_reset_timeout(self.reset_timeout))
    }

    /// Removes a usable connection from the pool and returns it.
    async fn idle_connection(&self, addr: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.pool.borrow_mut().get_mut(&addr)?.pop();
            let mut idle = idle?;
            if Instant::now() < idle.expires_at && !idle.conn.is_stale().await {
                idle.conn.begin_request();
                return Some(idle.conn);
            }
        }
    }

    /// Returns a pooled or new connection to `addr`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made.
    pub async fn connection(
        &self,
        addr: SocketAddr,
        reuse: ConnectionReuse,
    ) -> Result<Connection, HttpError> {
        if reuse == ConnectionReuse::Pooled {
            if let Some(conn) = self.idle_connection(addr).await {
                return Ok(conn);
            }
        }
        self.connect(addr).await
    }

    /// Sends a request and reads the response head.
    ///
    /// # Errors
    ///
    /// Fails on connection errors; [`HttpError::is_unsent`] returns whether
    /// the error proves that no byte of the request was sent.
    pub async fn stream(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
    ) -> Result<StreamedResponse, HttpError> {
        let conn = self.connection(addr, req.reuse).await?;
        self.send_on(addr, conn, req).await
    }

    /// Sends a request on an open connection and reads the response head.
    ///
    /// # Errors
    ///
    /// Fails on connection errors.
    pub async fn send_on(
        &self,
        addr: SocketAddr,
        mut conn: Connection,
        mut req: OutgoingRequest,
    ) -> Result<StreamedResponse, HttpError> {
        let host = addr.to_string();
        let length = Some(req.body.len());
        let mut head = encode_request_head(&req.method, &req.path, &host, &req.headers, length);
        if req.body.len() <= MAX_COALESCED_BODY_BYTES {
            head.extend_from_slice(&req.body);
            conn.write_all(&head).await?;
        } else {
            conn.write_all(&head).await?;
            conn.write_all(&req.body).await?;
        }
        // The response may take long; the body is not needed until then.
        drop(std::mem::take(&mut req.body));
        self.receive(addr, conn, &req.method, req.reuse).await
    }

    /// Reads the response head from a connection to which the request was already written.
    ///
    /// # Errors
    ///
    /// Fails on malformed heads and closed connections.
    pub async fn receive(
        &self,
        addr: SocketAddr,
        mut conn: Connection,
        method: &Method,
        reuse: ConnectionReuse,
    ) -> Result<StreamedResponse, HttpError> {
        let head = conn.read_response_head().await?;
        let body = match *method {
            Method::HEAD => BodyReader::Done,
            _ => BodyReader::for_response(head.status, &head.headers)?,
        };
        let close = head.headers.get(header::CONNECTION);
        let close = close.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        Ok(StreamedResponse {
            status: head.status,
            reusable: reuse == ConnectionReuse::Pooled
                && !close
                && !matches!(body, BodyReader::UntilClose),
            idle_timeout: idle_timeout(&head.headers),
            events: is_event_stream(&head.headers).then(EventStreamCheck::default),
            headers: head.headers,
            conn,
            framing: body.framing(),
            body,
            addr,
            pool: self.pool.clone(),
        })
    }

    /// Closes all idle connections. Call this when a request got no response: a network
    /// failure can break many connections at once without a reset, and only a new connection
    /// shows whether a server is reachable.
    pub fn close_idle(&self) {
        self.pool.borrow_mut().clear();
    }

    /// Closes the idle connections to one address. Call this when its server has stopped.
    pub fn close_idle_to(&self, addr: SocketAddr) {
        self.pool.borrow_mut().remove(&addr);
    }

    /// Sends a request and reads the complete response, with a body of at most `limit`
    /// bytes, within `timeout`. A timeout also closes the idle connections to the address.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::stream`], if the body is too large, and on timeout.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        timeout: Duration,
        limit: usize,
    ) -> Result<BufferedResponse, HttpError> {
        let exchange = async { self.stream(addr, req).await?.collect(limit).await };
        self.with_timeout(addr, timeout, exchange).await
    }

    /// Like [`Self::send`], with separate timeouts for the response head and the body: a
    /// short head timeout detects an unresponsive server, and a large body has more time.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::send`].
    pub async fn send_with_timeouts(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        head_timeout: Duration,
        body_timeout: Duration,
        limit: usize,
    ) -> Result<BufferedResponse, HttpError> {
        let head = self.stream(addr, req);
        let response = self.with_timeout(addr, head_timeout, head).await?;
        self.with_timeout(addr, body_timeout, response.collect(limit))
            .await
    }

    /// Awaits `operation` for at most `timeout`. A timeout closes the idle connections to
    /// `addr`.
    async fn with_timeout<T>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
        operation: impl Future<Output = Result<T, HttpError>>,
    ) -> Result<T, HttpError> {
        match monoio::time::timeout(timeout, operation).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.borrow_mut().remove(&addr);
                Err(HttpError::TimedOut)
            }
        }
    }
}

/// Progress of the check that an event stream is complete.
#[derive(Default)]
struct EventStreamCheck {
    scanner: EventScanner,
    has_bytes: bool,
}

impl EventStreamCheck {
    fn scan(&mut self, piece: &[u8]) {
        self.has_bytes |= !piece.is_empty();
        self.scanner.scan(piece);
    }

    /// Returns whether a body with this framing may end here.
    fn may_end(&self, framing: BodyFraming) -> bool {
        let has_end_mark = framing != BodyFraming::UntilClose;
        !self.scanner.is_inside_event() && (has_end_mark || self.has_bytes)
    }
}

/// A response whose body has not been read completely.
pub struct StreamedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    conn: Connection,
    framing: BodyFraming,
    /// Checks that the body ends between events; `None` if it is no event stream.
    events: Option<EventStreamCheck>,
    body: BodyReader,
    addr: SocketAddr,
    pool: Pool,
    reusable: bool,
    idle_timeout: Duration,
}

impl StreamedResponse {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Sets whether the body is an event stream, which must not end inside an event. The
    /// default follows from `Content-Type`. Call this before the body is read.
    pub fn with_event_stream(mut self, is_event_stream: bool) -> Self {
        self.events = is_event_stream.then(EventStreamCheck::default);
        self
    }

    /// Reads the next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails on malformed framing, when the connection closes early and when an event stream
    /// ends inside an event.
    pub async fn next(&mut self) -> Result<Option<Bytes>, HttpError> {
        if self.body.is_done() {
            return self.check_end().map(|()| None);
        }
        let piece = self.conn.read_piece(&mut self.body).await?;
        if piece.is_empty() {
            return self.check_end().map(|()| None);
        }
        self.scan(&piece);
        Ok(Some(piece))
    }

    fn scan(&mut self, piece: &[u8]) {
        if let Some(events) = &mut self.events {
            events.scan(piece);
        }
    }

    /// Checks that an event stream may end here. The end of an unframed body is the end of
    /// the connection, which a crash of the sender causes as well.
    fn check_end(&self) -> Result<(), HttpError> {
        match &self.events {
            Some(events) if !events.may_end(self.framing) => Err(HttpError::TruncatedEvent),
            _ => Ok(()),
        }
    }

    /// Returns the next piece of the body if it is already buffered.
    ///
    /// # Errors
    ///
    /// Fails on malformed framing.
    pub fn buffered(&mut self) -> Result<Option<Bytes>, HttpError> {
        let piece = self.conn.buffered_piece(&mut self.body)?;
        let piece = piece.filter(|piece| !piece.is_empty());
        if let Some(piece) = &piece {
            self.scan(piece);
        }
        Ok(piece)
    }

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails on connection errors, and like [`Self::next`] at the end of an event stream.
    pub async fn collect(mut self, limit: usize) -> Result<BufferedResponse, HttpError> {
        let body = self.conn.read_body(&mut self.body, limit).await?;
        self.into_buffered(body)
    }

    /// Like [`Self::collect`]; reserves memory for the body before it is read, and waits until
    /// there is enough.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::collect`].
    pub async fn collect_within(
        mut self,
        limit: usize,
        memory: &mut Reservation,
    ) -> Result<BufferedResponse, HttpError> {
        let length = self.body.remaining_length().unwrap_or(0);
        if length > limit as u64 {
            return Err(HttpError::BodyTooLarge(limit));
        }
        memory.wait_to_grow_to(length as usize).await;
        let mut body = BytesMut::with_capacity(length as usize);
        while !self.body.is_done() {
            let piece = self.conn.read_piece(&mut self.body).await?;
            let length = body.len() + piece.len();
            if length > limit {
                return Err(HttpError::BodyTooLarge(limit));
            }
            if length > body.capacity() {
                // The capacity may double.
                memory.wait_to_grow_to(2 * length).await;
            }
            body.extend_from_slice(&piece);
        }
        self.into_buffered(body.freeze())
    }

    fn into_buffered(mut self, body: Bytes) -> Result<BufferedResponse, HttpError> {
        self.scan(&body);
        self.check_end()?;
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        self.release();
        Ok(BufferedResponse {
            status,
            headers,
            body,
        })
    }

    /// Reads and discards the rest of this response, then reads the head of the next
    /// response on the same connection. What the discarded body holds does not matter.
    ///
    /// # Errors
    ///
    /// Fails on connection errors, and if the end of this response's body is marked by
    /// the end of the connection.
    pub async fn next_response(mut self, method: &Method) -> Result<Self, HttpError> {
        if matches!(self.body, BodyReader::UntilClose) {
            return Err(HttpError::Closed);
        }
        self.events = None;
        while self.next().await?.is_some() {}
        let client = Client {
            pool: self.pool,
            ..Client::default()
        };
        let reuse = if self.reusable {
            ConnectionReuse::Pooled
        } else {
            ConnectionReuse::Fresh
        };
        client.receive(self.addr, self.conn, method, reuse).await
    }

    /// Prevents the connection from returning to the pool.
    pub fn disable_reuse(&mut self) {
        self.reusable = false;
    }

    /// Returns the connection to the pool if the body was read completely and reuse is
    /// allowed; closes it otherwise.
    pub fn release(self) {
        if !self.reusable || !self.body.is_done() {
            return;
        }
        let mut pool = self.pool.borrow_mut();
        let idle = pool.entry(self.addr).or_default();
        let now = Instant::now();
        idle.retain(|idle| now < idle.expires_at);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                conn: self.conn,
                expires_at: now + self.idle_timeout,
            });
        }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    let content_type = headers.get(header::CONTENT_TYPE);
    let media_type = content_type.and_then(|v| v.as_bytes().split(|&b| b == b';').next());
    media_type.is_some_and(|m| m.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Returns how long a connection may stay in the pool after a response with these headers:
/// less than the `Keep-Alive` timeout, so that the server does not close it first.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    const SAFETY_MARGIN: Duration = Duration::from_millis(500);
    let keep_alive = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout = keep_alive.and_then(|text| {
        let parameters = text.split(',').map(str::trim);
        let mut timeouts = parameters.filter_map(|p| p.strip_prefix("timeout="));
        timeouts.next()?.trim().parse::<u64>().ok()
    });
    match timeout {
        Some(s) => Duration::from_secs(s)
            .saturating_sub(SAFETY_MARGIN)
            .min(IDLE_TIMEOUT),
        None => IDLE_TIMEOUT,
    }
}
