//! Startup of the VM and its main task.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervildrift_core::config::RelaySettings;
use chervildrift_core::relay::Directory;
use chervildrift_platform::promotion::PromotionClient;
use chervildrift_platform::store::{Store, Timeouts};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, Notify, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::http::{self, OperatorEndpoints};
use crate::relay::Error;
use crate::relay::clock;
use crate::relay::fleet::link::Links;
use crate::relay::fleet::peers;
use crate::relay::fleet::presence;
use crate::relay::fleet::store_feed;
use crate::relay::fleet::view;
use crate::relay::groups::leader_monitor;
use crate::relay::log_quotas::LogQuotas;
use crate::relay::metrics::Metrics;
use crate::relay::node::Node;
use crate::relay::quotas::{self, Quotas};
use crate::relay::sessions::listener;
use crate::relay::sessions::seats::Seats;
use crate::relay::stop::{self, StopPhase};
use crate::wall_clock;

/// Number of VMs assumed to share the connection limits until they have been counted.
const ASSUMED_VM_COUNT: usize = 10;

/// Runs the VM until a signal stops it; returns whether all sessions had ended by then.
pub fn run(settings: RelaySettings, path: &Path, log: Logger) -> Result<bool, Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path, log))
}

async fn serve(settings: RelaySettings, path: &Path, log: Logger) -> Result<bool, Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new()?;
    let endpoints = operator_endpoints(&ready, metrics.clone(), log.clone());
    let operators = http::bind_operators(settings.operators, endpoints)?;
    let callers = TcpListener::bind(settings.callers).await?;
    let peer_listener = TcpListener::bind(settings.peers).await?;
    let node = Rc::new(build_node(settings, log, metrics, &ready)?);
    info!(node.log, "started"; "event" => "start", "callers" => %node.settings.callers,
        "operators" => %node.settings.operators, "store" => %node.settings.store);
    spawn_local(store_feed::follow_routes(Rc::clone(&node)));
    spawn_local(store_feed::follow_upstreams(Rc::clone(&node)));
    spawn_local(store_feed::expire_upstreams(Rc::clone(&node)));
    spawn_local(presence::run(Rc::clone(&node)));
    spawn_local(peers::accept(Rc::clone(&node), peer_listener));
    spawn_local(view::refresh(Rc::clone(&node)));
    spawn_local(view::follow_observers(Rc::clone(&node)));
    spawn_local(view::compare_routes(Rc::clone(&node)));
    spawn_local(leader_monitor::run(Rc::clone(&node)));
    spawn_local(quotas::run(Rc::clone(&node)));
    spawn_local(listener::accept(Rc::clone(&node), callers));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => check_settings(&node, path),
        }
    }
    stop::stop(&node).await;
    operators.stop();
    Ok(node.session_count.get() == 0)
}

fn build_node(
    settings: RelaySettings,
    log: Logger,
    metrics: Metrics,
    ready: &Arc<AtomicBool>,
) -> Result<Node, Error> {
    let promotions = settings.promotions.map(PromotionClient::new).transpose()?;
    let drain = Duration::from_secs_f64(settings.drain_ms / 1_000.0);
    Ok(Node {
        boot: wall_clock::now_ms(),
        metrics,
        store: Store::open(settings.store, Timeouts::default())?,
        promotions,
        log,
        log_quotas: LogQuotas::full(),
        quotas: Quotas::new(&settings),
        seats: Seats::new(&settings.limits),
        links: Links::new(settings.limits.socket_shares(0, true).links),
        large_replies: Arc::new(Semaphore::new(settings.limits.large_replies())),
        settings,
        directory: RefCell::new(Directory::new(drain)),
        routes: RefCell::default(),
        groups: RefCell::default(),
        pools: RefCell::default(),
        peers: RefCell::default(),
        vm_count: Cell::new(ASSUMED_VM_COUNT),
        observer: Cell::default(),
        started: clock::now(),
        listed_before: Cell::default(),
        view_at: Cell::default(),
        presence_due: Notify::new(),
        presence_lock: Mutex::default(),
        renewed_at: Cell::default(),
        renewal_at: Cell::default(),
        heard_at: RefCell::default(),
        loan_count: Cell::default(),
        polled_replicas: RefCell::default(),
        outage: Cell::default(),
        table_reads: RefCell::default(),
        leases: RefCell::default(),
        session_count: Cell::default(),
        tunnel_count: Cell::default(),
        state_changed: Notify::new(),
        confirming_services: RefCell::default(),
        replica_advanced: Notify::new(),
        stop_phase: watch::Sender::new(StopPhase::Serving),
        upstreams_listed: Cell::default(),
        ready: Arc::clone(ready),
    })
}

fn operator_endpoints(ready: &Arc<AtomicBool>, metrics: Metrics, log: Logger) -> OperatorEndpoints {
    let ready = Arc::clone(ready);
    OperatorEndpoints {
        alive: Box::new(|| true),
        ready: Box::new(move || ready.load(Ordering::Acquire)),
        metrics: Box::new(move || {
            metrics.render().unwrap_or_else(|err| {
                warn!(log, "failed to render metrics"; "event" => "metrics", "error" => %err);
                Vec::new()
            })
        }),
        // Only VMs that serve the HTTP interface compute burn rates: relays have no declared
        // objectives.
        burn: Box::new(|_| Vec::new()),
    }
}

/// Reads the settings file again and logs whether it can be read; nothing is applied.
fn check_settings(node: &Node, path: &Path) {
    match crate::cli::read_relay_settings(path) {
        Ok(_) => info!(node.log, "settings can be read"; "event" => "reload"),
        Err(err) => warn!(node.log, "cannot read settings"; "event" => "reload", "error" => %err),
    }
}
