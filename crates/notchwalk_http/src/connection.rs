//! A TCP connection that carries HTTP messages, with a bounded read buffer.

use std::{cell::Cell, future::Future, io, pin::Pin, rc::Rc, task::Poll, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::{
    io::IntoPollIo,
    net::{tcp::stream_poll::TcpStreamPoll, TcpStream},
};
use monoio_codec::Decoder;
use monoio_http::{
    common::{request::RequestHead, response::ResponseHead},
    h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder},
};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{
    clients::{ClientSlot, Reservation},
    head_reader::{is_final, skip_blank_lines, take_head},
    tasks::yield_now,
    Body, BodyReader, HttpError,
};

/// Maximum size of a response head, and of a request head unless a server allows more.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bodies up to this size are written in one call with the head.
pub(crate) const MAX_COALESCED_BODY_BYTES: usize = 64 * 1024;
/// Minimum spare capacity of the read buffer before each read.
const MIN_READ_CAPACITY_BYTES: usize = 4 * 1024;
/// Read buffers up to this size are not reserved: the maximum number of connections bounds them.
const UNRESERVED_BUFFER_BYTES: usize = 2 * MIN_READ_CAPACITY_BYTES;
/// Number of bytes that a task reads from one connection until others run.
const MAX_READ_IN_TURN_BYTES: usize = 16 * 1024;
/// Maximum number of bytes buffered from a peer while its request is being handled.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Number of bytes that are sent before any is acknowledged (the initial window of RFC 6928).
const INITIAL_WINDOW_BYTES: usize = 10 * 1_460;
/// How long a reset may take to arrive, more than a round trip between nearby regions.
pub(crate) const RESET_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection and its read buffer.
pub struct Connection {
    io: TcpStreamPoll,
    rbuf: BytesMut,
    received_bytes: Rc<Cell<u64>>,
    /// The client of a server's connection, and what its read buffer occupies.
    client: Option<(ClientSlot, Reservation)>,
    /// Bytes read since other tasks last ran.
    read_in_turn: usize,
    /// Whether a read or write failed. The socket reports its error only once; later reads
    /// return the end of the stream.
    failed: bool,
    /// Bytes written since the connection was made or taken from a pool.
    written_bytes: usize,
    reset_timeout: Duration,
}

impl Connection {
    /// Wraps a connected stream.
    ///
    /// # Errors
    ///
    /// Fails if the socket options can't be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            io: stream.into_poll_io()?,
            rbuf: BytesMut::new(),
            received_bytes: Rc::default(),
            client: None,
            read_in_turn: 0,
            failed: false,
            written_bytes: 0,
            reset_timeout: RESET_TIMEOUT,
        })
    }

    /// Reserves the read buffer for a client of a server.
    pub(crate) fn with_client(mut self, slot: ClientSlot) -> Self {
        let reservation = slot.reservation();
        self.client = Some((slot, reservation));
        self
    }

    /// Takes what is reserved for the read buffer, for a message that was split off it.
    pub(crate) fn take_reservation(&mut self) -> Option<Reservation> {
        let (slot, reservation) = self.client.as_mut()?;
        Some(std::mem::replace(reservation, slot.reservation()))
    }

    /// Frees the memory of an empty read buffer that has grown.
    pub(crate) fn shrink_buffer(&mut self) {
        if self.rbuf.is_empty() && self.rbuf.capacity() > UNRESERVED_BUFFER_BYTES {
            self.rbuf = BytesMut::new();
        }
        if let Some((_, reservation)) = &mut self.client {
            reservation.shrink_to(self.rbuf.capacity());
        }
    }

    /// Reserves room for the read buffer to hold `bytes`, for which its capacity may double.
    async fn reserve_buffer(&mut self, bytes: usize) -> Result<(), HttpError> {
        match &mut self.client {
            Some((_, reservation)) if bytes > UNRESERVED_BUFFER_BYTES => {
                reservation.grow_to(2 * bytes).await
            }
            _ => Ok(()),
        }
    }

    /// Counts received bytes in a counter that several connections share.
    pub fn with_received_counter(mut self, received_bytes: Rc<Cell<u64>>) -> Self {
        self.received_bytes = received_bytes;
        self
    }

    /// Sets how long to wait for a reset after the end of a body that ends with the connection.
    pub(crate) fn with_reset_timeout(mut self, timeout: Duration) -> Self {
        self.reset_timeout = timeout;
        self
    }

    /// Prepares a connection that was idle for the next request.
    pub(crate) fn begin_request(&mut self) {
        self.written_bytes = 0;
    }

    /// Reads more bytes into the buffer and returns their number, 0 at the end of the
    /// stream. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails on socket errors.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        // The socket of a fast sender is always ready, so that reading never suspends the task.
        if self.read_in_turn >= MAX_READ_IN_TURN_BYTES {
            self.read_in_turn = 0;
            yield_now().await;
        }
        self.rbuf.reserve(MIN_READ_CAPACITY_BYTES);
        let read = self.io.read_buf(&mut self.rbuf).await;
        self.failed |= read.is_err();
        let n = read?;
        self.read_in_turn += n;
        self.received_bytes
            .set(self.received_bytes.get() + n as u64);
        Ok(n)
    }

    /// Waits until at least one byte of the next message is buffered; returns `false` if
    /// the peer closed the connection.
    ///
    /// # Errors
    ///
    /// Fails on socket errors.
    pub async fn wait_readable(&mut self) -> io::Result<bool> {
        Ok(!self.rbuf.is_empty() || self.read_more().await? > 0)
    }

    /// Reads a request head of at most about `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails on malformed or oversized heads and closed connections.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead, HttpError> {
        self.read_head(RequestHeadDecoder, max_bytes).await
    }

    /// Reads a response head, skipping interim responses.
    ///
    /// # Errors
    ///
    /// Fails on malformed or oversized heads and closed connections.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, HttpError> {
        /// Interim responses without end would keep the task from ever yielding.
        const MAX_INTERIM_RESPONSES: usize = 32;
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head(ResponseHeadDecoder, MAX_HEAD_BYTES).await?;
            if is_final(head.status)? {
                return Ok(head);
            }
        }
        let reason = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
        Err(HttpError::Head(reason))
    }

    async fn read_head<D>(&mut self, mut decoder: D, max_bytes: usize) -> Result<D::Item, HttpError>
    where
        D: Decoder<Error = DecodeError>,
    {
        let mut skipped = 0;
        loop {
            skipped += skip_blank_lines(&mut self.rbuf);
            if let Some(head) = take_head(&mut decoder, &mut self.rbuf)? {
                return Ok(head);
            }
            if skipped + self.rbuf.len() > max_bytes {
                return Err(HttpError::HeadTooLarge(max_bytes));
            }
            self.reserve_buffer(self.rbuf.len() + MIN_READ_CAPACITY_BYTES)
                .await?;
            if self.read_more().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
    }

    /// Reads the next piece of a body; returns an empty piece at its end.
    ///
    /// # Errors
    ///
    /// Fails on malformed framing, on closed connections, and if a body that ends with the
    /// connection was cut by a failure of it.
    pub async fn read_piece(&mut self, body: &mut BodyReader) -> Result<Bytes, HttpError> {
        loop {
            if let Some(piece) = body.decode(&mut self.rbuf)? {
                return Ok(piece);
            }
            if self.read_more().await? > 0 {
                continue;
            }
            if !matches!(body, BodyReader::UntilClose) || !self.ended_in_order().await {
                return Err(HttpError::Closed);
            }
            *body = BodyReader::Done;
            return Ok(Bytes::new());
        }
    }

    /// Returns whether the peer closed the connection in order, after a read has returned the
    /// end of the stream.
    async fn ended_in_order(&mut self) -> bool {
        // A peer that closed before the whole request arrived resets the connection when it
        // receives the rest.
        if self.written_bytes > INITIAL_WINDOW_BYTES && !self.has_failed() {
            // Boxed: every task that reads a body would hold the timer otherwise.
            Box::pin(monoio::time::sleep(self.reset_timeout)).await;
        }
        !self.has_failed()
    }

    /// Returns whether a read or write has failed, or the next write would.
    fn has_failed(&mut self) -> bool {
        // After the peer has closed its half, a reset is reported to writes only, even to those
        // of no bytes.
        self.failed || matches!(self.io.write(&[]).now_or_never(), Some(Err(_)))
    }

    /// Returns the next piece of a body if it is already buffered.
    ///
    /// # Errors
    ///
    /// Fails on malformed framing.
    pub fn buffered_piece(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, HttpError> {
        if body.is_done() {
            return Ok(None);
        }
        body.decode(&mut self.rbuf)
    }

    /// Reads a complete body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails as soon as the body exceeds `limit`, and like [`Self::read_piece`].
    pub async fn read_body(
        &mut self,
        body: &mut BodyReader,
        limit: usize,
    ) -> Result<Bytes, HttpError> {
        if body.remaining_length().is_some_and(|n| n > limit as u64) {
            return Err(HttpError::BodyTooLarge(limit));
        }
        let length = body.remaining_length().unwrap_or(0) as usize;
        let mut data = BytesMut::with_capacity(length);
        loop {
            let piece = self.read_piece(body).await?;
            if piece.is_empty() && body.is_done() {
                return Ok(data.freeze());
            }
            if data.len() + piece.len() > limit {
                return Err(HttpError::BodyTooLarge(limit));
            }
            data.extend_from_slice(&piece);
            if body.is_done() {
                return Ok(data.freeze());
            }
        }
    }

    /// Writes all of `data`.
    ///
    /// # Errors
    ///
    /// Fails on socket errors.
    pub async fn write_all(&mut self, data: &[u8]) -> io::Result<()> {
        self.written_bytes += data.len();
        let written = self.io.write_all(data).await;
        self.failed |= written.is_err();
        written
    }

    /// Writes a head and a body. Small bodies are written in one call with the head.
    ///
    /// # Errors
    ///
    /// Fails on socket errors.
    pub async fn write_message(&mut self, mut head: Vec<u8>, body: &Body) -> io::Result<()> {
        let mut pieces = body.pieces();
        if body.len() <= MAX_COALESCED_BODY_BYTES {
            for piece in std::mem::take(&mut pieces) {
                head.extend_from_slice(piece);
            }
        }
        self.write_all(&head).await?;
        drop(head);
        for piece in pieces {
            self.write_all(piece).await?;
        }
        Ok(())
    }

    /// Resolves when the peer closes or resets the connection. Buffers the bytes that arrive
    /// until then; never resolves once `MAX_READ_AHEAD_BYTES` are buffered. Cancel safe.
    pub async fn closed(&mut self) {
        loop {
            let is_full = self.rbuf.len() > MAX_READ_AHEAD_BYTES;
            let reserved = self.reserve_buffer(self.rbuf.len() + MIN_READ_CAPACITY_BYTES);
            if is_full || reserved.await.is_err() {
                return std::future::pending().await;
            }
            match self.read_more().await {
                Ok(n) if n > 0 => continue,
                _ => return,
            }
        }
    }

    /// Discards what the peer sends until it closes or resets the connection.
    pub async fn discard_until_closed(&mut self) {
        loop {
            self.rbuf.clear();
            self.shrink_buffer();
            match self.read_more().await {
                Ok(n) if n > 0 => continue,
                _ => return,
            }
        }
    }

    /// Returns whether the peer closed the idle connection or sent unsolicited bytes, so
    /// that it must not be reused.
    pub async fn is_stale(&mut self) -> bool {
        if !self.rbuf.is_empty() {
            return true;
        }
        self.rbuf.reserve(MIN_READ_CAPACITY_BYTES);
        let Self { io, rbuf, .. } = self;
        let mut read = std::pin::pin!(io.read_buf(rbuf));
        std::future::poll_fn(|cx| {
            let ready = read.as_mut().poll(cx).is_ready();
            Poll::Ready(ready)
        })
        .await
    }

    /// Shuts down the write half; data already written is still delivered.
    pub async fn shutdown(&mut self) {
        let _ = std::future::poll_fn(|cx| Pin::new(&mut self.io).poll_shutdown(cx)).await;
    }
}
