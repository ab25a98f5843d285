//! Socket of the membership and its handle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervildrift_core::membership::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::counts::Counts;
use super::decode::decode;
use super::encode::encode;
use super::replay::Replays;
use super::seal::{PAYLOAD_BYTES, Seal, Stamp};
use super::{Datagram, Error, Fault, Options};
use crate::wall_clock;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// What the handle and the receiving task share.
#[derive(Debug)]
struct Shared {
    /// Sends without waiting, from any thread.
    sender: std::net::UdpSocket,
    seal: Seal,
    counts: Counts,
    /// Start of this process in wall-clock milliseconds.
    epoch: u64,
    /// Datagrams that were sealed.
    number: AtomicU64,
}

/// Ends the receiving task with the last handle.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handle of the membership socket; the socket closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    address: SocketAddr,
    _task: Arc<Task>,
}

impl Handle {
    /// Opens the socket and starts to receive.
    pub(super) fn open(options: &Options, inbound: mpsc::Sender<Datagram>) -> Result<Self, Error> {
        let runtime = tokio::runtime::Handle::try_current()?;
        let socket = std::net::UdpSocket::bind(options.address)?;
        socket.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            sender: socket.try_clone()?,
            seal: Seal::open(&options.key)?,
            counts: Counts::default(),
            epoch: wall_clock::now_ms(),
            number: AtomicU64::new(0),
        });
        let address = socket.local_addr()?;
        let socket = UdpSocket::from_std(socket)?;
        let task = runtime.spawn(receive(socket, Arc::clone(&shared), inbound));
        Ok(Self {
            shared,
            address,
            _task: Arc::new(Task(task.abort_handle())),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Sends a message; one that the socket does not take at once is dropped and counted.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let shared = &self.shared;
        let stamp = Stamp {
            epoch: shared.epoch,
            number: shared.number.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let Some(datagram) = shared.seal.seal(stamp, &encode(message)) else {
            shared.counts.oversized.raise();
            return;
        };
        match shared.sender.send_to(&datagram, to) {
            Ok(_) => shared.counts.sent.raise(),
            Err(_) => shared.counts.unsent.raise(),
        }
    }
}

/// Receives datagrams and passes their messages on.
async fn receive(socket: UdpSocket, shared: Arc<Shared>, inbound: mpsc::Sender<Datagram>) {
    let mut replays = Replays::default();
    // One byte more than allowed tells a datagram that is too long.
    let mut buffer = [0; PAYLOAD_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(RECEIVE_PAUSE).await;
            continue;
        };
        let datagram = buffer.get(..length).unwrap_or_default();
        match open(&shared.seal, &mut replays, datagram) {
            Ok(message) => pass(&shared, &inbound, Datagram { from, message }),
            Err(fault) => shared.counts.drop_for(fault),
        }
    }
}

/// Checks and decodes a datagram.
fn open(seal: &Seal, replays: &mut Replays, datagram: &[u8]) -> Result<Message, Fault> {
    let opened = seal.unseal(datagram)?;
    let message = decode(opened.content)?;
    if replays.take(Instant::now(), &message.from, opened.stamp) {
        Ok(message)
    } else {
        Err(Fault::Replayed)
    }
}

fn pass(shared: &Shared, inbound: &mpsc::Sender<Datagram>, datagram: Datagram) {
    match inbound.try_send(datagram) {
        Ok(()) => shared.counts.received.raise(),
        Err(_) => shared.counts.overrun.raise(),
    }
}
