//! Start of the VM and its main task.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervildrift_core::config::RelaySettings;
use chervildrift_core::relay::Directory;
use chervildrift_platform::promotion::Promotions;
use chervildrift_platform::store::{Limits, Store};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};

use super::lines::Lines;
use super::metrics::Metrics;
use super::node::Node;
use super::stop::{self, Stage};
use super::{Error, keeper, listener, peers, presence, watch as follow};
use crate::http::{self, OperatorEndpoints};
use crate::wall_clock;

/// VMs that are assumed to share the connections until they have been counted.
const DEFAULT_VMS: usize = 10;

/// Runs the VM until it is told to stop; true when no request was cut.
pub fn run(settings: RelaySettings, path: &Path, log: Logger) -> Result<bool, Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path, log))
}

async fn serve(settings: RelaySettings, path: &Path, log: Logger) -> Result<bool, Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::open()?;
    let probe = probe(&ready, metrics.clone(), log.clone());
    let operators = http::bind_operators(settings.operators, probe)?;
    let callers = TcpListener::bind(settings.callers).await?;
    let peer_listener = TcpListener::bind(settings.peers).await?;
    let node = Rc::new(open(settings, log, metrics, &ready)?);
    info!(node.log, "started"; "event" => "start", "callers" => %node.settings.callers,
        "operators" => %node.settings.operators, "store" => %node.settings.store);
    spawn_local(follow::routes(Rc::clone(&node)));
    spawn_local(follow::upstreams(Rc::clone(&node)));
    spawn_local(follow::expire(Rc::clone(&node)));
    spawn_local(presence::keep(Rc::clone(&node)));
    spawn_local(peers::accept(Rc::clone(&node), peer_listener));
    spawn_local(peers::follow(Rc::clone(&node)));
    spawn_local(keeper::keep(Rc::clone(&node)));
    spawn_local(listener::accept(Rc::clone(&node), callers));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(&node, path),
        }
    }
    stop::stop(&node).await;
    operators.stop();
    Ok(node.sessions.get() == 0)
}

fn open(
    settings: RelaySettings,
    log: Logger,
    metrics: Metrics,
    ready: &Arc<AtomicBool>,
) -> Result<Node, Error> {
    let promotions = settings.promotions.map(Promotions::open).transpose()?;
    let drain = Duration::from_secs_f64(settings.drain_ms / 1_000.0);
    Ok(Node {
        boot: wall_clock::now_ms(),
        metrics,
        store: Store::open(settings.store, Limits::default())?,
        promotions,
        log,
        lines: Lines::open(),
        settings,
        directory: RefCell::new(Directory::open(drain)),
        routes: RefCell::default(),
        groups: RefCell::default(),
        pools: RefCell::default(),
        peers: RefCell::default(),
        vms: Cell::new(DEFAULT_VMS),
        lost: Cell::default(),
        claims: RefCell::default(),
        sessions: Cell::default(),
        tunnels: Cell::default(),
        changed: Notify::new(),
        confirming: RefCell::default(),
        received: Notify::new(),
        stage: watch::Sender::new(Stage::Serving),
        listed: Cell::default(),
        ready: Arc::clone(ready),
    })
}

fn probe(ready: &Arc<AtomicBool>, metrics: Metrics, log: Logger) -> OperatorEndpoints {
    let ready = Arc::clone(ready);
    OperatorEndpoints {
        alive: Box::new(|| true),
        ready: Box::new(move || ready.load(Ordering::Acquire)),
        metrics: Box::new(move || {
            metrics.render().unwrap_or_else(|err| {
                warn!(log, "metrics not rendered"; "event" => "metrics", "error" => %err);
                Vec::new()
            })
        }),
        // Burn is counted by VMs that serve the HTTP interface, whose declarations state objectives.
        burn: Box::new(|_| Vec::new()),
    }
}

/// Reads the settings file again and says what a restart would change.
fn reload(node: &Node, path: &Path) {
    match crate::cli::read_relay_settings(path) {
        Ok(_) => info!(node.log, "settings read again"; "event" => "reload"),
        Err(err) => warn!(node.log, "settings not read"; "event" => "reload", "error" => %err),
    }
}
