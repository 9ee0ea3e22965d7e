//! A server: accepts connections, reads requests within bounds and passes each to a
//! service as an [`Exchange`].

use std::{
    panic::AssertUnwindSafe,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{header, HeaderMap, HeaderValue, StatusCode, Version};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::request::RequestHead;
use serde::Serialize;

use crate::{
    body::may_have_body,
    body_buffer::{Body, BodyBuffer},
    clients::{ClientSlot, ClientTable, Reservation, WaitKind},
    connection::MAX_COALESCED_BODY_BYTES,
    encode_chunk, encode_response_head,
    open_exchanges::OpenExchangeGuard,
    BodyReader, Connection, HttpError, LocalBoxFuture, OpenExchanges, CHUNK_END,
};

/// Maximum size of an unread request body that is read and discarded to keep the connection
/// open.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// Responses are written in parts of this size, each of which counts as progress of the client.
const WRITE_BYTES: usize = 64 * 1024;
/// How long a closing connection waits for the peer to read the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits and timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. A further one takes the place of one that waits for
    /// its client, or is closed immediately if there is none.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Maximum time to receive a head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum time to receive the next piece of a body.
    pub body_read_timeout: Duration,
    /// Maximum time for a write to the peer.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 20_000,
            max_head_bytes: crate::MAX_HEAD_BYTES,
            idle_timeout: Duration::from_secs(120),
            head_timeout: Duration::from_secs(10),
            body_read_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Handles requests.
pub trait Service: 'static {
    /// Handles one request and writes the response to its exchange.
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()>;

    /// Returns the current limits, given those that the server was started with. Called
    /// before each request and when the idle timeout of a connection expires.
    fn limits(&self, started_with: ServerLimits) -> ServerLimits {
        started_with
    }

    /// Handles a malformed request, after which the connection is closed. The default closes
    /// it without a response.
    fn reject<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        _error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move { exchange.abort() })
    }

    /// Called after [`Self::call`] or [`Self::reject`] panicked; the connection is closed.
    fn on_panic(&self) {}
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    Nothing,
    Head,
    All,
}

/// A request and its connection, on which the response is written.
pub struct Exchange {
    /// The request head.
    pub head: RequestHead,
    conn: Connection,
    body: BodyReader,
    limits: ServerLimits,
    sent: Sent,
    /// Whether the streamed response may have a body.
    streams_body: bool,
    keep_alive: bool,
    open: Option<OpenExchangeGuard>,
    client: ClientSlot,
    /// What the head occupies.
    _head_memory: Option<Reservation>,
}

impl Exchange {
    fn new(
        mut conn: Connection,
        client: ClientSlot,
        head: RequestHead,
        limits: ServerLimits,
        open: OpenExchangeGuard,
    ) -> Self {
        let connection = head.headers.get(header::CONNECTION);
        let requests_close =
            connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let keep_alive = head.version == Version::HTTP_11 && !requests_close;
        Self {
            head,
            _head_memory: conn.take_reservation(),
            client,
            conn,
            body: BodyReader::Done,
            limits,
            sent: Sent::Nothing,
            streams_body: true,
            keep_alive,
            open: Some(open),
        }
    }

    /// Returns the path of the request, without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the value of a header if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the remaining length of the body, if `Content-Length` declares it.
    pub fn declared_length(&self) -> Option<u64> {
        self.body.remaining_length()
    }

    /// Returns whether the request body was read completely, or there is none.
    pub fn body_is_done(&self) -> bool {
        self.body.is_done()
    }

    /// Sends `100 Continue` if the client expects it.
    async fn send_continue(&mut self) -> Result<(), HttpError> {
        let expect = self.head.headers.remove(header::EXPECT);
        if expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
            self.conn
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        Ok(())
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails as soon as the body exceeds `limit` bytes, if there is not enough memory for it, if
    /// the next piece takes too long, and on connection errors.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        let body = self.read_body_with(limit, |_| {}).await?;
        Ok(body.into_contiguous().0)
    }

    /// Reads the complete body and calls `inspect` with each piece as it arrives. The body
    /// occupies memory for clients until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::read_body`].
    pub async fn read_body_with(
        &mut self,
        limit: usize,
        mut inspect: impl FnMut(&[u8]),
    ) -> Result<Body, HttpError> {
        let mut body = BodyBuffer::new(Some(self.client.reservation()));
        if let Some(length) = self.body.remaining_length() {
            if length > limit as u64 {
                return Err(HttpError::BodyTooLarge(limit));
            }
            body.reserve(length as usize).await?;
        }
        while let Some(piece) = self.next_piece().await? {
            if body.len() + piece.len() > limit {
                return Err(HttpError::BodyTooLarge(limit));
            }
            inspect(&piece);
            body.extend(&piece).await?;
        }
        Ok(body.finish())
    }

    /// Reads the next piece of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the piece takes too long, if the client must give way to others, and on
    /// connection errors.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, HttpError> {
        if self.body.is_done() {
            return Ok(None);
        }
        // A timer for each of many small chunks would cost more than the chunks.
        if let Some(piece) = self.conn.buffered_piece(&mut self.body)? {
            return Ok((!piece.is_empty()).then_some(piece));
        }
        self.send_continue().await?;
        let read = self.conn.read_piece(&mut self.body);
        let timeout = self.limits.body_read_timeout;
        let piece = self.client.wait(WaitKind::Request, timeout, read).await??;
        Ok((!piece.is_empty()).then_some(piece))
    }

    /// Returns an empty reservation of memory for the response.
    pub fn reservation(&self) -> Reservation {
        self.client.reservation()
    }

    async fn write(&mut self, data: &[u8]) -> Result<(), HttpError> {
        let written = self.write_parts(data).await;
        self.keep_alive &= written.is_ok();
        written
    }

    async fn write_parts(&mut self, data: &[u8]) -> Result<(), HttpError> {
        let started_at = Instant::now();
        for part in data.chunks(WRITE_BYTES) {
            let timeout = self.limits.write_timeout;
            let remaining = timeout.saturating_sub(started_at.elapsed());
            let write = self.conn.write_all(part);
            self.client
                .wait(WaitKind::Response, remaining, write)
                .await??;
        }
        Ok(())
    }

    /// Sends a response with a complete body. A write error closes the connection.
    pub async fn respond(&mut self, status: StatusCode, mut headers: HeaderMap, body: &[u8]) {
        if self.sent != Sent::Nothing {
            self.keep_alive = false;
            return;
        }
        self.prepare_headers(&mut headers);
        let mut buf = encode_response_head(status, &headers, Some(body.len()));
        let has_body = self.head.method != http::Method::HEAD && may_have_body(status);
        self.sent = Sent::All;
        if has_body && body.len() > MAX_COALESCED_BODY_BYTES {
            if self.write(&buf).await.is_ok() {
                let _ = self.write(body).await;
            }
            return;
        }
        if has_body {
            buf.extend_from_slice(body);
        }
        let _ = self.write(&buf).await;
    }

    /// Sends a JSON response.
    pub async fn respond_json<T: Serialize>(&mut self, status: StatusCode, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        self.respond(status, headers, &body).await;
    }

    /// Sends a plain-text response.
    pub async fn respond_text(&mut self, status: StatusCode, text: &str) {
        let mut headers = HeaderMap::new();
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, plain);
        self.respond(status, headers, text.as_bytes()).await;
    }

    fn prepare_headers(&mut self, headers: &mut HeaderMap) {
        if self
            .body
            .remaining_length()
            .is_some_and(|n| n > MAX_DISCARD_BYTES as u64)
        {
            self.keep_alive = false;
        }
        if !self.keep_alive {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Starts a streamed response; `first` is sent with the head. The response to a `HEAD`
    /// request and one whose status allows no body consist of the head only: further bytes would
    /// stand before the next response.
    ///
    /// # Errors
    ///
    /// Fails on socket errors and if the write times out.
    pub async fn start_stream(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        first: &[u8],
    ) -> Result<(), HttpError> {
        self.prepare_headers(&mut headers);
        let mut buf = encode_response_head(status, &headers, None);
        self.streams_body = self.head.method != http::Method::HEAD && may_have_body(status);
        if self.streams_body {
            encode_chunk(&mut buf, first);
        }
        self.sent = Sent::Head;
        self.write(&buf).await
    }

    /// Writes chunks that are already encoded (see [`encode_chunk`]).
    ///
    /// # Errors
    ///
    /// Fails on socket errors, and if the peer reads too slowly.
    pub async fn write_chunks(&mut self, encoded: &[u8]) -> Result<(), HttpError> {
        if !self.streams_body {
            return Ok(());
        }
        self.write(encoded).await
    }

    /// Ends a streamed response.
    ///
    /// # Errors
    ///
    /// Fails on socket errors and if the write times out.
    pub async fn finish_stream(&mut self) -> Result<(), HttpError> {
        self.sent = Sent::All;
        if !self.streams_body {
            return Ok(());
        }
        self.write(CHUNK_END).await
    }

    /// Closes the connection after this exchange. A streamed response that was not finished
    /// is thereby truncated, which the peer detects.
    pub fn abort(&mut self) {
        self.keep_alive = false;
    }

    /// Closes the connection after this exchange.
    pub fn close_after(&mut self) {
        self.keep_alive = false;
    }

    /// Resolves when the peer closes or resets the connection. Never resolves while the
    /// request body has not been read completely. Cancel safe.
    pub async fn peer_closed(&mut self) {
        if !self.body.is_done() {
            return std::future::pending().await;
        }
        self.conn.closed().await;
        self.keep_alive = false;
    }

    /// Discards the rest of the request body and returns the connection for the next
    /// request. Closes it if it can't be reused.
    async fn into_reusable(mut self) -> Option<Connection> {
        if self.sent != Sent::All {
            self.keep_alive = false;
        }
        let mut discarded = 0;
        while self.keep_alive && !self.body.is_done() {
            match self.next_piece().await {
                Ok(Some(piece)) => discarded += piece.len(),
                Ok(None) => break,
                Err(_) => self.keep_alive = false,
            }
            if discarded > MAX_DISCARD_BYTES {
                self.keep_alive = false;
            }
        }
        self.conn.shrink_buffer();
        if self.keep_alive {
            return Some(self.conn);
        }
        if self.client.is_evicted() {
            return None;
        }
        if self.sent == Sent::All {
            self.conn.shutdown().await;
            if self.body.is_done() {
                // The system delivers the response even if the process exits.
                self.open = None;
            }
            // Closing with unread bytes resets the connection, which can discard the
            // response before the peer reads it.
            let closed = self.conn.discard_until_closed();
            let _ = monoio::time::timeout(LINGER_TIMEOUT, closed).await;
        }
        None
    }
}

/// Accepts connections and serves each in its own task.
pub struct Server {
    limits: ServerLimits,
    service: Rc<dyn Service>,
    clients: ClientTable,
    open: OpenExchanges,
}

impl Server {
    /// Creates a server that shares no resources with others.
    pub fn new(limits: ServerLimits, service: Rc<dyn Service>) -> Self {
        Self {
            limits,
            service,
            clients: ClientTable::unlimited(),
            open: OpenExchanges::default(),
        }
    }

    /// Shares the memory for clients with other servers.
    pub fn with_clients(mut self, clients: ClientTable) -> Self {
        self.clients = clients;
        self
    }

    /// Counts the open exchanges.
    pub fn with_open_exchanges(mut self, open: OpenExchanges) -> Self {
        self.open = open;
        self
    }

    /// Serves the connections of `listener` indefinitely.
    pub async fn serve(self, listener: TcpListener) {
        const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
        let Self {
            limits,
            service,
            clients,
            open,
        } = self;
        let server = clients.add_server();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // The process is probably out of file descriptors: wait until some are closed.
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(client) = clients.admit(server, limits.max_connections).await else {
                continue;
            };
            let (service, open) = (service.clone(), open.clone());
            crate::spawn(serve_connection(stream, client, limits, service, open));
        }
    }
}

/// Serves connections indefinitely; shares no resources with other servers.
pub async fn serve(listener: TcpListener, limits: ServerLimits, service: Rc<dyn Service>) {
    Server::new(limits, service).serve(listener).await;
}

/// Like [`serve`], and counts the open exchanges.
pub async fn serve_counted(
    listener: TcpListener,
    limits: ServerLimits,
    service: Rc<dyn Service>,
    open: OpenExchanges,
) {
    let server = Server::new(limits, service).with_open_exchanges(open);
    server.serve(listener).await;
}

async fn serve_connection(
    stream: TcpStream,
    client: ClientSlot,
    limits: ServerLimits,
    service: Rc<dyn Service>,
    open: OpenExchanges,
) {
    let Ok(conn) = Connection::new(stream) else {
        return;
    };
    let mut conn = conn.with_client(client.clone());
    loop {
        if !wait_for_request(&mut conn, &client, limits, &*service).await {
            return;
        }
        let open = open.open();
        let limits = service.limits(limits);
        let read = conn.read_request_head(limits.max_head_bytes);
        let read = client.wait(WaitKind::Request, limits.head_timeout, read);
        let head = read.await.and_then(|head| head);
        let (mut exchange, error) = match head {
            Ok(head) => {
                let framing = BodyReader::for_request(&head.headers);
                let mut exchange = Exchange::new(conn, client.clone(), head, limits, open);
                match framing {
                    Ok(body) => {
                        exchange.body = body;
                        (exchange, None)
                    }
                    Err(e) => (exchange, Some(e)),
                }
            }
            Err(HttpError::Closed | HttpError::Io(_)) => return,
            Err(e) => {
                let exchange = Exchange::new(conn, client.clone(), empty_head(), limits, open);
                (exchange, Some(e))
            }
        };
        let call = match error {
            None => service.call(&mut exchange),
            Some(e) => {
                exchange.keep_alive = false;
                service.reject(&mut exchange, e)
            }
        };
        if AssertUnwindSafe(call).catch_unwind().await.is_err() {
            service.on_panic();
            return;
        }
        match exchange.into_reusable().await {
            Some(next) => conn = next,
            None => return,
        }
    }
}

/// Waits for the next request; returns whether it arrived within the idle timeout. When the
/// timeout expires, reads the current one again: the service may have announced a longer
/// timeout to the peer in the meantime.
async fn wait_for_request(
    conn: &mut Connection,
    client: &ClientSlot,
    limits: ServerLimits,
    service: &dyn Service,
) -> bool {
    let mut waited = Duration::ZERO;
    loop {
        let idle_timeout = service.limits(limits).idle_timeout;
        let Some(remaining) = idle_timeout
            .checked_sub(waited)
            .filter(|remaining| !remaining.is_zero())
        else {
            return false;
        };
        let readable = conn.wait_readable();
        match client.wait(WaitKind::Request, remaining, readable).await {
            Ok(readable) => return matches!(readable, Ok(true)),
            Err(HttpError::TimedOut) => waited += remaining,
            Err(_) => return false,
        }
    }
}

/// Returns a placeholder for a request head that could not be parsed.
fn empty_head() -> RequestHead {
    let (head, ()) = http::Request::new(()).into_parts();
    head
}
