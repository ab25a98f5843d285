//! Listener and runtime threads of an upstream.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pgwire::tokio::process_socket;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::select;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::error::Error;
use super::session::Session;
use super::shared::Shared;
use super::wire::Handlers;
use super::{Handle, Options, replica};

/// Longest wait of a graceful stop for active batches of statements.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a graceful stop checks for active batches.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Binds the listener and starts the threads of an upstream.
pub(super) fn spawn(options: Options) -> Result<Handle, Error> {
    let listener = TcpListener::bind(options.address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(options.threads.max(1))
        .thread_name("upstream")
        .enable_all()
        .build()?;
    let shared = Arc::new(Shared::new(options)?);
    let (stop, stopping) = oneshot::channel();
    let (stopped_sender, stopped) = oneshot::channel();
    let state = Arc::clone(&shared);
    thread::Builder::new()
        .name("upstream".to_owned())
        .spawn(move || {
            serve(runtime, listener, &state, stopping);
            // The receiver is gone if the handle was dropped.
            let _ = stopped_sender.send(());
        })?;
    Ok(Handle {
        address,
        shared,
        stop: Some(stop),
        stopped,
    })
}

fn serve(
    runtime: Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
    stopping: oneshot::Receiver<()>,
) {
    runtime.block_on(async {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(replica::pull_loop(Arc::clone(shared)));
        tasks.spawn(replica::advance_loop(Arc::clone(shared)));
        let graceful = select! {
            graceful = stopping => graceful.is_ok(),
            () = accept(&listener, shared, &mut tasks) => false,
        };
        drop(listener);
        if graceful {
            drain(shared).await;
        }
        tasks.shutdown().await;
    });
    runtime.shutdown_background();
}

async fn accept(listener: &tokio::net::TcpListener, shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let session = Session::new(Arc::clone(shared));
                tasks.spawn(serve_connection(socket, Arc::new(session)));
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(socket: TcpStream, session: Arc<Session>) {
    let handlers = Handlers::new(Arc::clone(&session));
    let disconnects = session.shared.faults.watch_disconnects();
    select! {
        // An error closes the connection like a normal end.
        _ = process_socket(socket, None, handlers) => {}
        () = session.close_request.notified() => {}
        () = await_disconnect(&session, disconnects) => {}
    }
}

/// Waits for a request to close all connections, except those of [`FAULT_USER`].
///
/// [`FAULT_USER`]: super::FAULT_USER
async fn await_disconnect(session: &Session, mut disconnects: watch::Receiver<u64>) {
    while disconnects.changed().await.is_ok() {
        if !session.fault_control.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Waits until no batch is active, up to [`STOP_TIMEOUT`].
async fn drain(shared: &Shared) {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while shared.active_batches.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
}
