//! Memory of the requests and answers of callers that don't behave.
//!
//! Small requests and answers are bounded by the number of connections. A large request waits
//! unread for a permit before more of it is read. A large answer holds a part of the memory until
//! the caller's socket has taken it; while unread answers take all of it, further requests wait.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::body::{Body, Frame, SizeHint};
use xitca_web::bytes::Bytes;

use super::body::MAX_BODY_BYTES;

/// Size up to which a request or an answer counts as small; ordinary ones are shorter.
pub(super) const SMALL_BYTES: usize = 8 << 10;

/// Limit of the bytes that are read ahead on a connection, and of the head of a request.
pub(super) const READ_AHEAD_BYTES: usize = 24 << 10;

/// Limit of the encoded bytes that collect before they are written.
pub(super) const WRITE_AHEAD_BYTES: usize = 64 << 10;

/// Copies of a large request that are in memory while it runs: as received, parsed, forwarded and
/// encoded for the upstream, and of an answer of its size the same.
const REQUEST_COPIES: usize = 12;

/// Part of the memory that large requests may take, and of that which unread answers may take.
const MEMORY_DIVISOR: usize = 8;

/// Bytes of one permit for an answer.
const ANSWER_UNIT: usize = 1 << 10;

/// Memory for large requests and unread answers.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    requests: Arc<Semaphore>,
    answers: Arc<Semaphore>,
    answer_units: u32,
}

impl Memory {
    /// Divides the memory of a VM, in MiB.
    pub(super) fn new(memory_mb: usize) -> Self {
        let bytes = memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR;
        let requests = (bytes / REQUEST_COPIES / MAX_BODY_BYTES).max(1);
        let units = (bytes / ANSWER_UNIT).clamp(1, Semaphore::MAX_PERMITS.min(u32::MAX as usize));
        Self {
            requests: Arc::new(Semaphore::new(requests.min(Semaphore::MAX_PERMITS))),
            answers: Arc::new(Semaphore::new(units)),
            answer_units: u32::try_from(units).unwrap_or(u32::MAX),
        }
    }

    /// Waits until there is memory for a large request.
    pub(super) async fn hold_request(&self) -> Option<OwnedSemaphorePermit> {
        // Fails only if the semaphore is closed, which it never is.
        Arc::clone(&self.requests).acquire_owned().await.ok()
    }

    /// Waits until unread answers leave memory for another one.
    pub(super) async fn await_answer_room(&self) {
        let _room = self.answers.acquire().await;
    }

    /// Holds memory for an answer until its body was sent.
    ///
    /// The answer is in memory already: one that finds no room is sent all the same.
    pub(super) fn track_answer(&self, bytes: Bytes) -> TrackedBody {
        let units = u32::try_from(bytes.len() / ANSWER_UNIT).unwrap_or(u32::MAX);
        let free = u32::try_from(self.answers.available_permits()).unwrap_or(u32::MAX);
        let units = units.min(self.answer_units).min(free);
        let permit = Arc::clone(&self.answers).try_acquire_many_owned(units).ok();
        TrackedBody {
            size: bytes.len(),
            bytes: Some(bytes),
            is_drained: false,
            _permit: permit,
        }
    }
}

/// Body that holds memory until the socket has taken it.
#[derive(Debug)]
pub(super) struct TrackedBody {
    size: usize,
    bytes: Option<Bytes>,
    is_drained: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(bytes) = self.bytes.take() {
            return Poll::Ready(Some(Ok(Frame::Data(bytes))));
        }
        if self.is_drained {
            return Poll::Ready(None);
        }
        // While a body is pending the server writes what it has encoded of it.
        self.is_drained = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.size as u64)
    }
}
