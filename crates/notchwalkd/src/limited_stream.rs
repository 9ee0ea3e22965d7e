//! A stream that bounds what it reads until the peer has authenticated.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use monoio::net::tcp::stream_poll::TcpStreamPoll;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that may still be read; `None` for no limit.
#[derive(Clone, Default)]
pub struct ReadLimit(Rc<Cell<Option<usize>>>);

impl ReadLimit {
    /// Creates a limit of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(Some(bytes))))
    }

    /// Removes the limit.
    pub fn remove(&self) {
        self.0.set(None);
    }
}

/// A connection whose reads fail once the limit is reached.
pub struct LimitedStream {
    io: TcpStreamPoll,
    limit: ReadLimit,
}

impl LimitedStream {
    /// Wraps a connection.
    pub fn new(io: TcpStreamPoll, limit: ReadLimit) -> Self {
        Self { io, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(remaining) = self.limit.0.get() else {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        };
        if remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::QuotaExceeded.into()));
        }
        let n = remaining.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(n));
        let read = Pin::new(&mut self.io).poll_read(cx, &mut part);
        let filled = part.filled().len();
        buf.advance(filled);
        self.limit.0.set(Some(remaining - filled));
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
