//! A peer thread: owns connections to and from peers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::Error;
use super::call::Order;
use super::context::{Context, Seed};
use super::link;
use super::listener::Listener;

/// Pause after a failed accept, which mostly means that no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Commands taken at once.
const BATCH: usize = 256;

/// What a handle asks of the thread.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "nearly all commands are calls")]
pub enum Command {
    /// Makes a call to a peer.
    Call { peer: SocketAddr, order: Order },
    /// Serves an inbound connection.
    Serve(std::net::TcpStream),
    /// Stops once the calls in flight are answered, at the latest after the grace time.
    Stop {
        grace: Duration,
        done: oneshot::Sender<()>,
    },
}

/// State of the peer thread.
struct Peers {
    context: Rc<Context>,
    listener: Listener,
    links: HashMap<SocketAddr, mpsc::Sender<Order>>,
    tasks: JoinSet<()>,
}

/// Accepts inbound connections and passes them to the threads in turn.
///
/// The senders are weak, since the threads end with the last handle.
async fn accept(listener: TcpListener, threads: Vec<mpsc::WeakSender<Command>>) {
    let mut next = threads.iter().cycle();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => pass(socket, next.next()),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Passes a connection to a thread; without room for it, it is closed.
fn pass(socket: TcpStream, thread: Option<&mpsc::WeakSender<Command>>) {
    let thread = thread.and_then(mpsc::WeakSender::upgrade);
    if let (Some(thread), Ok(socket)) = (thread, socket.into_std()) {
        let _ = thread.try_send(Command::Serve(socket));
    }
}

/// Socket that a thread listens on, and the threads that serve its connections.
#[derive(Debug)]
pub struct Door {
    /// Listening socket.
    pub listener: std::net::TcpListener,
    /// Commands to all threads.
    pub threads: Vec<mpsc::WeakSender<Command>>,
}

/// Accepts connections if this is the thread that listens.
async fn listen(door: Option<Door>) {
    let Some(door) = door else {
        return;
    };
    if let Ok(listener) = TcpListener::from_std(door.listener) {
        accept(listener, door.threads).await;
    }
}

/// Starts the thread.
pub fn spawn(seed: Seed, door: Option<Door>, commands: mpsc::Receiver<Command>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("peer".into())
        .spawn(move || {
            let peers = Peers::open(Rc::new(Context::open(seed)));
            LocalSet::new().block_on(&runtime, peers.run(door, commands));
        })?;
    Ok(())
}

impl Peers {
    fn open(context: Rc<Context>) -> Self {
        Self {
            listener: Listener::open(&context),
            context,
            links: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Runs until a stop is asked for or all handles are dropped.
    async fn run(mut self, door: Option<Door>, mut commands: mpsc::Receiver<Command>) {
        let accepting = spawn_local(listen(door));
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = commands.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    if let Some((grace, done)) = self.take(&mut batch) {
                        accepting.abort();
                        return self.stop(&mut commands, grace, done).await;
                    }
                }
                Some(_) = self.tasks.join_next() => {}
            }
        }
    }

    /// Carries out commands up to a stop.
    fn take(&mut self, batch: &mut Vec<Command>) -> Option<(Duration, oneshot::Sender<()>)> {
        let mut stop = None;
        for command in batch.drain(..) {
            match command {
                Command::Call { order, .. } if stop.is_some() => {
                    order.fail(&Error::Stopped { sent: false });
                }
                Command::Call { peer, order } => self.call(peer, order),
                Command::Serve(socket) => self.serve(socket),
                Command::Stop { grace, done } => stop = Some((grace, done)),
            }
        }
        stop
    }

    /// Admits a connection, unless it can no longer be used.
    fn serve(&self, socket: std::net::TcpStream) {
        if let Ok(socket) = TcpStream::from_std(socket) {
            self.listener.admit(socket);
        }
    }

    /// Passes a call to the link of its peer, which is made if there is none.
    fn call(&mut self, peer: SocketAddr, order: Order) {
        let Some(link) = self.links.get(&peer) else {
            return self.open_link(peer, order);
        };
        match link.try_send(order) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(order)) => order.fail(&Error::Busy),
            Err(mpsc::error::TrySendError::Closed(order)) => self.open_link(peer, order),
        }
    }

    fn open_link(&mut self, peer: SocketAddr, order: Order) {
        let (sender, orders) = mpsc::channel(self.context.limits.calls);
        self.links.retain(|_, link| !link.is_closed());
        self.tasks
            .spawn_local(link::run(Rc::clone(&self.context), peer, orders));
        // The queue is new and has room.
        if let Err(error) = sender.try_send(order) {
            error.into_inner().fail(&Error::Busy);
        }
        self.links.insert(peer, sender);
    }

    /// Waits for the calls in flight both ways, and until all peers have closed their links.
    async fn stop(
        mut self,
        commands: &mut mpsc::Receiver<Command>,
        grace: Duration,
        done: oneshot::Sender<()>,
    ) {
        let mut waiting = vec![done];
        self.context.stopping.set(true);
        self.context.closing.send_replace(true);
        self.links.clear();
        commands.close();
        // What is left after the grace time is cut.
        let _ = timeout(grace, self.finish(commands, &mut waiting)).await;
        for done in waiting {
            // Whoever asked may have stopped waiting.
            let _ = done.send(());
        }
    }

    /// Waits until no call is in flight and no inbound connection is left.
    async fn finish(
        &mut self,
        commands: &mut mpsc::Receiver<Command>,
        waiting: &mut Vec<oneshot::Sender<()>>,
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Call { order, .. } => order.fail(&Error::Stopped { sent: false }),
                Command::Serve(socket) => drop(socket),
                Command::Stop { done, .. } => waiting.push(done),
            }
        }
        while self.tasks.join_next().await.is_some() {}
        self.context.closing.closed().await;
    }
}
