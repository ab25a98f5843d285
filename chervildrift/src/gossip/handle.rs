//! Membership socket and its handle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervildrift_core::membership::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::counters::Counters;
use super::decoder::decode;
use super::encoder::encode;
use super::replay::ReplayFilter;
use super::signer::{DatagramId, DatagramSigner, MAX_PAYLOAD_BYTES};
use super::{Datagram, DropReason, Error, Options};
use crate::wall_clock;

/// Delay after a failed receive.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(10);

/// State shared by the handle and the receiving task.
#[derive(Debug)]
struct Shared {
    /// Non-blocking socket, so that any thread may send.
    sender: std::net::UdpSocket,
    signer: DatagramSigner,
    counters: Counters,
    /// Start of this process as wall-clock time in milliseconds.
    epoch: u64,
    /// Number of the last datagram; zero before the first.
    last_number: AtomicU64,
}

/// Guard that aborts the receiving task when the last handle is dropped.
#[derive(Debug)]
struct ReceiveTask(AbortHandle);

impl Drop for ReceiveTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handle of the membership socket; the socket closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    address: SocketAddr,
    _task: Arc<ReceiveTask>,
}

impl Handle {
    /// Binds the socket and starts the receiving task.
    pub(super) fn bind(options: &Options, inbound: mpsc::Sender<Datagram>) -> Result<Self, Error> {
        let runtime = tokio::runtime::Handle::try_current()?;
        let socket = std::net::UdpSocket::bind(options.address)?;
        socket.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            sender: socket.try_clone()?,
            signer: DatagramSigner::new(&options.key)?,
            counters: Counters::default(),
            epoch: wall_clock::now_ms(),
            last_number: AtomicU64::new(0),
        });
        let address = socket.local_addr()?;
        let socket = UdpSocket::from_std(socket)?;
        let task = runtime.spawn(receive_loop(socket, Arc::clone(&shared), inbound));
        Ok(Self {
            shared,
            address,
            _task: Arc::new(ReceiveTask(task.abort_handle())),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of the socket.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Sends a message, or drops and counts it if the socket can't send it at once.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let shared = &self.shared;
        let id = DatagramId {
            epoch: shared.epoch,
            number: shared.last_number.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let Some(datagram) = shared.signer.sign(id, &encode(message)) else {
            shared.counters.oversized.increment();
            return;
        };
        match shared.sender.send_to(&datagram, to) {
            Ok(_) => shared.counters.sent.increment(),
            Err(_) => shared.counters.unsent.increment(),
        }
    }
}

/// Receives datagrams and passes their messages to `inbound`.
async fn receive_loop(socket: UdpSocket, shared: Arc<Shared>, inbound: mpsc::Sender<Datagram>) {
    let mut replay_filter = ReplayFilter::default();
    // The additional byte reveals a datagram that is too long.
    let mut buffer = [0; MAX_PAYLOAD_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(RECEIVE_BACKOFF).await;
            continue;
        };
        let datagram = buffer.get(..length).unwrap_or_default();
        match verify_message(&shared.signer, &mut replay_filter, datagram) {
            Ok(message) => deliver(&shared, &inbound, Datagram { from, message }),
            Err(reason) => shared.counters.count_dropped(reason),
        }
    }
}

/// Verifies and decodes a datagram, and rejects one that was received before.
fn verify_message(
    signer: &DatagramSigner,
    replay_filter: &mut ReplayFilter,
    datagram: &[u8],
) -> Result<Message, DropReason> {
    let verified = signer.verify(datagram)?;
    let message = decode(verified.content)?;
    if replay_filter.accept(Instant::now(), &message.from, verified.id) {
        Ok(message)
    } else {
        Err(DropReason::Replayed)
    }
}

fn deliver(shared: &Shared, inbound: &mpsc::Sender<Datagram>, datagram: Datagram) {
    match inbound.try_send(datagram) {
        Ok(()) => shared.counters.received.increment(),
        Err(_) => shared.counters.overrun.increment(),
    }
}
