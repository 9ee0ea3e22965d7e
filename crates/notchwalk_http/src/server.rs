//! A server loop: accepts connections, reads requests within bounds and hands
//! each to a service as an exchange.

use std::{cell::Cell, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{header, HeaderMap, HeaderValue, StatusCode, Version};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::request::RequestHead;
use serde::Serialize;

use crate::{
    chunk_into, response_head, BodyReader, Connection, HttpError, LocalBoxFuture, CHUNK_END,
};

/// Bytes of an unread request body that are read and dropped, so that the
/// connection can carry the next request.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// How long a closing connection waits for the peer to read its last answer.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at once; further ones are closed at once.
    pub connections: usize,
    /// How long a connection may lie idle.
    pub idle: Duration,
    /// How long a head may take from its first byte.
    pub head: Duration,
    /// How long the next piece of a body may take.
    pub body_piece: Duration,
    /// How long the peer may take to read what was written.
    pub write: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            idle: Duration::from_secs(120),
            head: Duration::from_secs(10),
            body_piece: Duration::from_secs(10),
            write: Duration::from_secs(30),
        }
    }
}

/// Answers requests.
pub trait Service: 'static {
    /// Answers one request through its exchange.
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()>;

    /// Returns the bounds in force now, given those that the server started with.
    /// Asked before each request, and again when a connection lay idle for its time.
    fn limits(&self, started_with: ServerLimits) -> ServerLimits {
        started_with
    }

    /// Answers a request that could not be read; the connection closes after.
    /// Without a better answer it closes at once.
    fn refuse<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        _error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move { exchange.abort() })
    }

    /// Hears that a call panicked; its connection closes.
    fn panicked(&self) {}
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    Nothing,
    Head,
    All,
}

/// One request and the means to answer it.
pub struct Exchange {
    /// The request's head.
    pub head: RequestHead,
    conn: Connection,
    body: BodyReader,
    limits: ServerLimits,
    sent: Sent,
    keep_alive: bool,
}

impl Exchange {
    fn new(conn: Connection, head: RequestHead, limits: ServerLimits) -> Self {
        let connection = head.headers.get(header::CONNECTION);
        let asks_close = connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let keep_alive = head.version == Version::HTTP_11 && !asks_close;
        Self {
            head,
            conn,
            body: BodyReader::Done,
            limits,
            sent: Sent::Nothing,
            keep_alive,
        }
    }

    /// Returns the request's path, without its query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns a header's text, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the body's declared length, if one was declared.
    pub fn declared_length(&self) -> Option<u64> {
        self.body.declared()
    }

    /// Tells whether the request has no body left to read.
    pub fn body_is_done(&self) -> bool {
        self.body.is_done()
    }

    async fn invite_body(&mut self) -> Result<(), HttpError> {
        let expect = self.head.headers.remove(header::EXPECT);
        if expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
            self.conn
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        Ok(())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails as soon as the body is known to exceed `limit` bytes, when it is
    /// trickled too slowly, or with the connection.
    pub async fn body_bytes(&mut self, limit: usize) -> Result<Bytes, HttpError> {
        self.body_bytes_seen(limit, |_| {}).await
    }

    /// Reads the whole body and shows each piece to `see` as it arrives.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::body_bytes`].
    pub async fn body_bytes_seen(
        &mut self,
        limit: usize,
        mut see: impl FnMut(&[u8]),
    ) -> Result<Bytes, HttpError> {
        if self.body.declared().is_some_and(|n| n > limit as u64) {
            return Err(HttpError::BodyTooLarge(limit));
        }
        let mut whole = bytes::BytesMut::with_capacity(self.body.declared().unwrap_or(0) as usize);
        while let Some(piece) = self.next_piece(limit).await? {
            if whole.len() + piece.len() > limit {
                return Err(HttpError::BodyTooLarge(limit));
            }
            see(&piece);
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Reads the body's next piece, `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the piece takes too long or the connection fails.
    pub async fn next_piece(&mut self, limit: usize) -> Result<Option<Bytes>, HttpError> {
        if self.body.is_done() {
            return Ok(None);
        }
        self.invite_body().await?;
        let read = self.conn.read_piece(&mut self.body, limit);
        match monoio::time::timeout(self.limits.body_piece, read).await {
            Ok(piece) => piece.map(|p| (!p.is_empty()).then_some(p)),
            Err(_) => Err(HttpError::TimedOut),
        }
    }

    async fn write(&mut self, data: &[u8]) -> Result<(), HttpError> {
        let write = self.conn.write_all(data);
        match monoio::time::timeout(self.limits.write, write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(e)) => {
                self.keep_alive = false;
                Err(e.into())
            }
            Err(_) => {
                self.keep_alive = false;
                Err(HttpError::TimedOut)
            }
        }
    }

    /// Answers with a whole body. Failures to write end the connection.
    pub async fn respond(&mut self, status: StatusCode, mut headers: HeaderMap, body: &[u8]) {
        if self.sent != Sent::Nothing {
            self.keep_alive = false;
            return;
        }
        self.prepare_headers(&mut headers);
        let mut buf = response_head(status, &headers, Some(body.len()));
        if self.head.method != http::Method::HEAD {
            buf.extend_from_slice(body);
        }
        self.sent = Sent::All;
        let _ = self.write(&buf).await;
    }

    /// Answers with JSON.
    pub async fn respond_json<T: Serialize>(&mut self, status: StatusCode, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        self.respond(status, headers, &body).await;
    }

    /// Answers with plain text.
    pub async fn respond_text(&mut self, status: StatusCode, text: &str) {
        let mut headers = HeaderMap::new();
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, plain);
        self.respond(status, headers, text.as_bytes()).await;
    }

    fn prepare_headers(&mut self, headers: &mut HeaderMap) {
        if self
            .body
            .declared()
            .is_some_and(|n| n > MAX_DISCARD_BYTES as u64)
        {
            self.keep_alive = false;
        }
        if !self.keep_alive {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Starts a streamed answer; `first` goes out with the head.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn start_stream(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        first: &[u8],
    ) -> Result<(), HttpError> {
        self.prepare_headers(&mut headers);
        let mut buf = response_head(status, &headers, None);
        chunk_into(&mut buf, first);
        self.sent = Sent::Head;
        self.write(&buf).await
    }

    /// Writes chunks that are already framed (see [`chunk_into`]).
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone or reads too slowly.
    pub async fn write_framed(&mut self, framed: &[u8]) -> Result<(), HttpError> {
        self.write(framed).await
    }

    /// Ends a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn finish_stream(&mut self) -> Result<(), HttpError> {
        self.sent = Sent::All;
        self.write(CHUNK_END).await
    }

    /// Breaks a streamed answer off, so that the peer sees it is not whole.
    pub fn abort(&mut self) {
        self.keep_alive = false;
    }

    /// Asks that the connection close after this exchange.
    pub fn close_after(&mut self) {
        self.keep_alive = false;
    }

    /// Resolves when the peer closes or breaks the connection. Safe to cancel.
    /// Never resolves while a body is still to be read.
    pub async fn peer_closed(&mut self) {
        if !self.body.is_done() {
            return std::future::pending().await;
        }
        self.conn.closed().await;
        self.keep_alive = false;
    }

    async fn into_next(mut self) -> Option<Connection> {
        if self.sent != Sent::All {
            self.keep_alive = false;
        }
        let mut dropped = 0;
        while self.keep_alive && !self.body.is_done() {
            match self.next_piece(MAX_DISCARD_BYTES).await {
                Ok(Some(piece)) => dropped += piece.len(),
                Ok(None) => break,
                Err(_) => self.keep_alive = false,
            }
            if dropped > MAX_DISCARD_BYTES {
                self.keep_alive = false;
            }
        }
        if self.keep_alive {
            return Some(self.conn);
        }
        if self.sent == Sent::All {
            self.conn.shutdown().await;
            // Unread bytes would turn the close into a reset that destroys
            // the answer on its way.
            let _ = monoio::time::timeout(LINGER, self.conn.closed()).await;
        }
        None
    }
}

struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    fn open(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenConnections {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections for ever and serves each in a task of its own.
pub async fn serve(listener: TcpListener, limits: ServerLimits, service: Rc<dyn Service>) {
    const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors, most likely; some will come free.
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= limits.connections {
            continue;
        }
        let guard = OpenConnections::open(&open);
        let service = service.clone();
        crate::spawn(async move {
            let _guard = guard;
            serve_connection(stream, peer, limits, service).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    _peer: SocketAddr,
    limits: ServerLimits,
    service: Rc<dyn Service>,
) {
    let Ok(mut conn) = Connection::new(stream) else {
        return;
    };
    loop {
        if !is_taken_up(&mut conn, limits, &*service).await {
            return;
        }
        let limits = service.limits(limits);
        let read = monoio::time::timeout(limits.head, conn.read_request_head()).await;
        let head = read.unwrap_or(Err(HttpError::TimedOut));
        let (mut exchange, fault) = match head {
            Ok(head) => {
                let framing = BodyReader::for_request(&head.headers);
                let mut exchange = Exchange::new(conn, head, limits);
                match framing {
                    Ok(body) => {
                        exchange.body = body;
                        (exchange, None)
                    }
                    Err(e) => (exchange, Some(e)),
                }
            }
            Err(HttpError::Closed | HttpError::Io(_)) => return,
            Err(e) => (Exchange::new(conn, empty_head(), limits), Some(e)),
        };
        let call = match fault {
            None => service.call(&mut exchange),
            Some(e) => {
                exchange.keep_alive = false;
                service.refuse(&mut exchange, e)
            }
        };
        if AssertUnwindSafe(call).catch_unwind().await.is_err() {
            service.panicked();
            return;
        }
        match exchange.into_next().await {
            Some(next) => conn = next,
            None => return,
        }
    }
}

/// Waits for the next request; tells whether it came while the connection may lie
/// idle. The bound may have grown meanwhile, so that its peer counts on more.
async fn is_taken_up(conn: &mut Connection, limits: ServerLimits, service: &dyn Service) -> bool {
    let mut waited = Duration::ZERO;
    loop {
        let idle = service.limits(limits).idle;
        let Some(left) = idle.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return false;
        };
        match monoio::time::timeout(left, conn.wait_readable()).await {
            Ok(readable) => return matches!(readable, Ok(true)),
            Err(_) => waited += left,
        }
    }
}

fn empty_head() -> RequestHead {
    let (head, ()) = http::Request::new(()).into_parts();
    head
}
