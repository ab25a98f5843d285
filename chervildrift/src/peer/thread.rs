//! Peer thread, which owns connections to and from peers.

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
use super::call::QueuedCall;
use super::context::{Context, ThreadParams};
use super::link;
use super::listener::Listener;

/// Delay after a failed accept, mostly caused by a lack of free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of commands received at once.
const MAX_COMMAND_BATCH: usize = 256;

/// Command of a handle to a peer thread.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "nearly all commands are calls")]
pub enum Command {
    /// Makes a call to a peer.
    Call { peer: SocketAddr, call: QueuedCall },
    /// Serves an inbound connection.
    Serve(std::net::TcpStream),
    /// Stops once the calls in flight have ended, at the latest after the grace period.
    Stop {
        grace: Duration,
        done: oneshot::Sender<()>,
    },
}

/// State of a peer thread.
struct PeerThread {
    context: Rc<Context>,
    listener: Listener,
    links: HashMap<SocketAddr, mpsc::Sender<QueuedCall>>,
    tasks: JoinSet<()>,
}

/// Accepts inbound connections and distributes them to the threads in turn.
///
/// The senders are weak, so that the threads end once the last handle is dropped.
async fn accept_loop(listener: TcpListener, threads: Vec<mpsc::WeakSender<Command>>) {
    let mut next = threads.iter().cycle();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => send_to_thread(socket, next.next()),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Passes a connection to a thread, or closes it if the thread's queue is full.
fn send_to_thread(socket: TcpStream, thread: Option<&mpsc::WeakSender<Command>>) {
    let thread = thread.and_then(mpsc::WeakSender::upgrade);
    if let (Some(thread), Ok(socket)) = (thread, socket.into_std()) {
        let _ = thread.try_send(Command::Serve(socket));
    }
}

/// Listening socket and the threads that serve its connections.
#[derive(Debug)]
pub struct Acceptor {
    /// Socket on which one thread accepts connections.
    pub listener: std::net::TcpListener,
    /// Channels for commands to all threads.
    pub threads: Vec<mpsc::WeakSender<Command>>,
}

/// Accepts connections if this thread has an acceptor.
async fn run_acceptor(acceptor: Option<Acceptor>) {
    let Some(acceptor) = acceptor else {
        return;
    };
    if let Ok(listener) = TcpListener::from_std(acceptor.listener) {
        accept_loop(listener, acceptor.threads).await;
    }
}

/// Starts a peer thread.
pub fn spawn(
    params: ThreadParams,
    acceptor: Option<Acceptor>,
    commands: mpsc::Receiver<Command>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("peer".into())
        .spawn(move || {
            let peer_thread = PeerThread::new(Rc::new(Context::new(params)));
            LocalSet::new().block_on(&runtime, peer_thread.run(acceptor, commands));
        })?;
    Ok(())
}

impl PeerThread {
    fn new(context: Rc<Context>) -> Self {
        Self {
            listener: Listener::new(&context),
            context,
            links: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Runs until a stop command arrives or all handles are dropped.
    async fn run(mut self, acceptor: Option<Acceptor>, mut commands: mpsc::Receiver<Command>) {
        let accept_task = spawn_local(run_acceptor(acceptor));
        let mut batch = Vec::with_capacity(MAX_COMMAND_BATCH);
        loop {
            tokio::select! {
                count = commands.recv_many(&mut batch, MAX_COMMAND_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    if let Some((grace, done)) = self.execute_commands(&mut batch) {
                        accept_task.abort();
                        return self.stop(&mut commands, grace, done).await;
                    }
                }
                Some(_) = self.tasks.join_next() => {}
            }
        }
    }

    /// Executes a batch of commands; if one of them is a stop, returns its arguments.
    fn execute_commands(
        &mut self,
        batch: &mut Vec<Command>,
    ) -> Option<(Duration, oneshot::Sender<()>)> {
        let mut stop = None;
        for command in batch.drain(..) {
            match command {
                Command::Call { call, .. } if stop.is_some() => {
                    call.fail(&Error::Stopped { sent: false });
                }
                Command::Call { peer, call } => self.call(peer, call),
                Command::Serve(socket) => self.serve(socket),
                Command::Stop { grace, done } => stop = Some((grace, done)),
            }
        }
        stop
    }

    /// Serves a connection, unless it can no longer be used.
    fn serve(&self, socket: std::net::TcpStream) {
        if let Ok(socket) = TcpStream::from_std(socket) {
            self.listener.spawn_serve(socket);
        }
    }

    /// Passes a call to the link of its peer, which is opened if there is none.
    fn call(&mut self, peer: SocketAddr, call: QueuedCall) {
        let Some(link) = self.links.get(&peer) else {
            return self.open_link(peer, call);
        };
        match link.try_send(call) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(call)) => call.fail(&Error::Busy),
            Err(mpsc::error::TrySendError::Closed(call)) => self.open_link(peer, call),
        }
    }

    fn open_link(&mut self, peer: SocketAddr, call: QueuedCall) {
        let (sender, queue) = mpsc::channel(self.context.limits.max_calls);
        self.links.retain(|_, link| !link.is_closed());
        self.tasks
            .spawn_local(link::run(Rc::clone(&self.context), peer, queue));
        // The queue is new, so it has room.
        if let Err(error) = sender.try_send(call) {
            error.into_inner().fail(&Error::Busy);
        }
        self.links.insert(peer, sender);
    }

    /// Waits for the calls in flight in both directions and for the end of all connections.
    async fn stop(
        mut self,
        commands: &mut mpsc::Receiver<Command>,
        grace: Duration,
        done: oneshot::Sender<()>,
    ) {
        let mut stop_replies = vec![done];
        self.context.stopping.set(true);
        self.context.closing.send_replace(true);
        self.links.clear();
        commands.close();
        // Calls that are left after the grace period are cut off.
        let _ = timeout(grace, self.drain(commands, &mut stop_replies)).await;
        for done in stop_replies {
            // Sending fails if the stopping task no longer waits.
            let _ = done.send(());
        }
    }

    /// Waits until no link and no inbound connection is left.
    async fn drain(
        &mut self,
        commands: &mut mpsc::Receiver<Command>,
        stop_replies: &mut Vec<oneshot::Sender<()>>,
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Call { call, .. } => call.fail(&Error::Stopped { sent: false }),
                Command::Serve(socket) => drop(socket),
                Command::Stop { done, .. } => stop_replies.push(done),
            }
        }
        while self.tasks.join_next().await.is_some() {}
        self.context.closing.closed().await;
    }
}
