//! Complete message bodies in pieces of bounded size.

use bytes::{Bytes, BytesMut};

use crate::{clients::Reservation, HttpError};

const MIN_PIECE_BYTES: usize = 1024;
/// Allocations of this size come from the heap of the process and are reused.
const MAX_PIECE_BYTES: usize = 64 * 1024;

/// A body and what it occupies of the memory for clients.
#[derive(Default)]
pub struct Body {
    pieces: Vec<Bytes>,
    length: usize,
    reservation: Option<Reservation>,
}

impl Body {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }

    /// Joins the pieces. Returns the reservation as well, which covers them.
    pub fn into_contiguous(mut self) -> (Bytes, Option<Reservation>) {
        if self.pieces.len() <= 1 {
            return (self.pieces.pop().unwrap_or_default(), self.reservation);
        }
        let mut joined = BytesMut::with_capacity(self.length);
        for piece in self.pieces {
            joined.extend_from_slice(&piece);
        }
        (joined.freeze(), self.reservation)
    }
}

/// Collects a body. Copies what it is given: a piece off the wire keeps the whole read buffer
/// that it was split off.
pub(crate) struct BodyBuffer {
    body: Body,
    tail: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer that reserves its memory from `reservation`, if given.
    pub fn new(reservation: Option<Reservation>) -> Self {
        Self {
            body: Body {
                reservation,
                ..Body::default()
            },
            tail: BytesMut::new(),
        }
    }

    /// Returns the number of bytes collected.
    pub fn len(&self) -> usize {
        self.body.length
    }

    /// Reserves memory for a body of this length.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough.
    pub async fn reserve(&mut self, length: usize) -> Result<(), HttpError> {
        match &mut self.body.reservation {
            Some(reservation) => reservation.grow_to(length).await,
            None => Ok(()),
        }
    }

    /// Appends `data`.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough memory.
    pub async fn extend(&mut self, mut data: &[u8]) -> Result<(), HttpError> {
        while !data.is_empty() {
            if self.tail.capacity() == self.tail.len() {
                self.start_piece().await?;
            }
            let n = data.len().min(self.tail.capacity() - self.tail.len());
            self.tail.extend_from_slice(&data[..n]);
            self.body.length += n;
            data = &data[n..];
        }
        Ok(())
    }

    async fn start_piece(&mut self) -> Result<(), HttpError> {
        let capacity = self.len().clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES);
        self.reserve(self.len() + capacity).await?;
        self.finish_piece();
        self.tail = BytesMut::with_capacity(capacity);
        Ok(())
    }

    fn finish_piece(&mut self) {
        if !self.tail.is_empty() {
            let piece = std::mem::take(&mut self.tail);
            self.body.pieces.push(piece.freeze());
        }
    }

    /// Returns the body.
    pub fn finish(mut self) -> Body {
        self.finish_piece();
        self.body
    }
}
