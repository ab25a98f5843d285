//! Messages of one caller, within limits on memory and time.
//!
//! No more is read than there is memory for, so what a caller sends ahead stays in its own socket.
//! An idle connection has no buffer. Only CR LF completes a message: what has arrived when a
//! connection ends is never handed out.

use std::time::Duration;

use chervildrift_core::config::CallerLimits;
use chervildrift_platform::wire::LINE_END;
use memchr::memmem;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::bytes::BytesMut;

use crate::relay::sessions::seats::{CloseCause, Seat};

/// First size of a buffer; ordinary messages are shorter.
const FIRST_BUFFER_BYTES: usize = 1 << 10;

/// Number of unanswered keepalive probes after which a caller counts as gone.
const KEEPALIVE_PROBES: u32 = 2;

/// What a caller sent.
#[derive(Debug)]
pub(in crate::relay) enum Received {
    /// A message without its ending.
    Message(BytesMut),
    /// The caller closed the connection, or it failed.
    Closed,
    /// The connection has to be closed.
    Refused(CloseCause),
}

/// Connection of one caller.
#[derive(Debug)]
pub(in crate::relay) struct CallerStream {
    stream: TcpStream,
    seat: Seat,
    limits: CallerLimits,
    /// Bytes that have arrived and aren't handed out.
    buffer: BytesMut,
    /// Number of buffered bytes in front of which all line endings are counted.
    searched: usize,
    /// Number of whole messages in the buffer.
    whole: usize,
    /// Time by which the message that has begun to arrive must be whole.
    deadline: Option<Instant>,
    /// Whether part of an answer was sent, after which nothing else may be.
    cut_answer: bool,
}

impl CallerStream {
    /// Wraps the connection of a caller that has a seat.
    pub(in crate::relay) fn new(stream: TcpStream, seat: Seat, limits: CallerLimits) -> Self {
        Self {
            stream,
            seat,
            limits,
            buffer: BytesMut::new(),
            searched: 0,
            whole: 0,
            deadline: None,
            cut_answer: false,
        }
    }

    /// Sets the options of the socket.
    pub(in crate::relay) fn configure(&self) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        let interval = Duration::from_millis(self.limits.silent_ms) / (KEEPALIVE_PROBES + 1);
        let keepalive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&self.stream).set_tcp_keepalive(&keepalive)
    }

    /// Returns the seat of the session.
    pub(in crate::relay) const fn seat(&mut self) -> &mut Seat {
        &mut self.seat
    }

    /// Receives the next message; the one before must have been dropped.
    ///
    /// Cancelling this loses no part of a message.
    pub(in crate::relay) async fn receive(&mut self) -> Received {
        match self.try_receive().await {
            Ok(Some(message)) => Received::Message(message),
            Ok(None) => Received::Closed,
            Err(cause) => Received::Refused(cause),
        }
    }

    async fn try_receive(&mut self) -> Result<Option<BytesMut>, CloseCause> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(message));
            }
            if !self.await_bytes().await? {
                return Ok(None);
            }
        }
    }

    /// Takes a whole message out of the buffer.
    fn take_message(&mut self) -> Result<Option<BytesMut>, CloseCause> {
        if self.whole == 0 {
            if self.searched > self.limits.message_bytes {
                return Err(CloseCause::TooLong);
            }
            return Ok(None);
        }
        let Some(length) = memmem::find(&self.buffer, LINE_END.as_bytes()) else {
            return Ok(None);
        };
        if length > self.limits.message_bytes {
            return Err(CloseCause::TooLong);
        }
        let end = length + LINE_END.len();
        self.whole -= 1;
        self.searched = self.searched.saturating_sub(end);
        let mut message = if end == self.buffer.len() {
            std::mem::take(&mut self.buffer)
        } else {
            self.buffer.split_to(end)
        };
        message.truncate(length);
        self.deadline = None;
        Ok(Some(message))
    }

    /// Waits for more bytes and reads them; returns false at the end of the connection.
    async fn await_bytes(&mut self) -> Result<bool, CloseCause> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.seat.release_received();
        } else if self.deadline.is_none() {
            let limit = Duration::from_millis(self.limits.message_ms);
            self.deadline = Some(Instant::now() + limit);
        }
        let deadline = self.deadline;
        let withdrawal = self.seat.await_withdrawal();
        let expiry = async {
            match deadline {
                Some(deadline) => sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            cause = withdrawal => Err(cause),
            () = expiry => Err(CloseCause::SlowMessage),
            read = self.read() => read,
        }
    }

    async fn read(&mut self) -> Result<bool, CloseCause> {
        loop {
            if self.stream.readable().await.is_err() {
                return Ok(false);
            }
            self.make_room().await?;
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Ok(false),
                Ok(_) => {
                    self.count_messages();
                    return if self.whole > self.limits.sent_ahead {
                        Err(CloseCause::SentAhead)
                    } else {
                        Ok(true)
                    };
                }
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Ok(false),
            }
        }
    }

    /// Makes the buffer larger if it is full.
    async fn make_room(&mut self) -> Result<(), CloseCause> {
        let length = self.buffer.len();
        if length < self.buffer.capacity() {
            return Ok(());
        }
        let most = self.limits.message_bytes + LINE_END.len();
        let size = (2 * length)
            .max(FIRST_BUFFER_BYTES)
            .min(most.max(length + 1));
        self.seat.hold_received(size).await?;
        let mut buffer = BytesMut::with_capacity(size);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        Ok(())
    }

    fn count_messages(&mut self) {
        let ending = LINE_END.as_bytes();
        let found = memmem::find_iter(&self.buffer[self.searched..], ending);
        let (count, last) = found.fold((0, None), |(count, _), at| (count + 1, Some(at)));
        self.whole += count;
        let after_last = last.map_or(self.searched, |at| self.searched + at + ending.len());
        // The buffer may end with the beginning of a line ending.
        let unfinished = self.buffer.len().saturating_sub(ending.len() - 1);
        self.searched = unfinished.max(after_last);
    }

    /// Sends an answer; fails if the caller reads nothing for too long.
    pub(in crate::relay) async fn send(&mut self, answer: String) -> Result<(), CloseCause> {
        let mut sent = 0;
        let limit = Duration::from_millis(self.limits.unread_ms);
        loop {
            match self.stream.try_write(&answer.as_bytes()[sent..]) {
                Ok(count) => sent += count,
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
                // The next read finds the connection closed.
                Err(_) => return Ok(()),
            }
            if sent == answer.len() {
                self.cut_answer = false;
                return self.seat.hold_answer(0);
            }
            self.cut_answer = true;
            self.seat.hold_answer(answer.capacity())?;
            let withdrawal = self.seat.await_withdrawal();
            tokio::select! {
                biased;
                cause = withdrawal => return Err(cause),
                writable = timeout(limit, self.stream.writable()) => {
                    if writable.is_err() {
                        return Err(CloseCause::UnreadAnswer);
                    }
                }
            }
        }
    }

    /// Sends a last message, unless that would have to wait or follows a part of an answer.
    pub(in crate::relay) fn send_last(&self, message: &str) {
        if !self.cut_answer {
            // A caller that doesn't read learns from the close alone.
            let _sent = self.stream.try_write(message.as_bytes());
        }
    }
}
