//! Communication with other VMs: exchange of cached views, and tunnels to upstreams.
//!
//! A VM that can't read the platform's store requests the cached view of another VM, and a VM that
//! can't connect to an upstream tunnels through another VM. A request is one line. The response is
//! one line of JSON or, for a tunnel, a confirmation after which all bytes are forwarded.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{CachedView, LeaderStatus, Peer};
use chervildrift_core::types::{Service, Upstream};
use futures::StreamExt;
use futures::future::select_ok;
use futures::stream::FuturesUnordered;
use slog::{debug, info, warn};
use tokio::io::{AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

use super::clock;
use super::node::Node;
use super::stop::StopPhase;

/// Request for the cached view of a VM.
const VIEW_REQUEST: &str = "BELIEFS";

/// Request for a tunnel, followed by the name of the upstream.
const TUNNEL_REQUEST: &str = "TUNNEL ";

/// Confirmation that a tunnel is open.
const TUNNEL_CONFIRMATION: &str = "CONNECTED";

/// Maximum length of a line; enough for a configuration with some thousand routes.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Timeout for connecting to an upstream; several times the longest network delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a request to another VM, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which calls to the store must have failed before another VM is asked for its cached
/// view.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

/// Interval at which other VMs are asked, one at a time, while the store is unavailable.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of VMs that are asked for a tunnel at once, both in the upstream's zone and in
/// the other zones.
const MAX_CANDIDATES_EACH: usize = 4;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests of other VMs until the process ends.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    if let Err(err) = serve_peer(&node, stream).await {
                        debug!(node.log, "peer connection failed"; "event" => "peer",
                            "error" => %err);
                    }
                });
            }
            Err(err) => {
                warn!(node.log, "accept failed"; "event" => "accept", "error" => %err);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(node: &Node, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    let Ok(Some(Ok(line))) = timeout(REQUEST_TIMEOUT, lines.next()).await else {
        return Ok(());
    };
    if line == VIEW_REQUEST {
        let mut out = serde_json::to_vec(&cached_view(node))?;
        out.push(b'\n');
        return lines.get_mut().write_all(&out).await;
    }
    let Some(upstream) = line.strip_prefix(TUNNEL_REQUEST).map(Upstream::from) else {
        return Ok(());
    };
    if *node.stop_phase.borrow() > StopPhase::Serving {
        // The shutdown would soon cut the tunnel.
        return Ok(());
    }
    let address = node.directory.borrow().get(&upstream).map(|it| it.address);
    let Some(address) = address else {
        return Ok(());
    };
    let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return Ok(());
    };
    let mut upstream_stream = connected?;
    upstream_stream.set_nodelay(true)?;
    // The requesting VM sends nothing before the confirmation, so the codec has no bytes buffered.
    let mut peer_stream = lines.into_inner();
    peer_stream
        .write_all([TUNNEL_CONFIRMATION, "\n"].concat().as_bytes())
        .await?;
    node.tunnel_count.set(node.tunnel_count.get() + 1);
    let result = copy_bidirectional(&mut peer_stream, &mut upstream_stream).await;
    node.tunnel_count.set(node.tunnel_count.get() - 1);
    result.map(|_bytes| ())
}

fn cached_view(node: &Node) -> CachedView {
    let now = clock::now();
    let services = node.routes.borrow().services();
    let to_leader_status = |service: Service| {
        let (leader, suspected) = node.with_group(&service, |group| {
            (group.leader().cloned(), group.needs_failover(now))
        });
        LeaderStatus {
            service,
            leader,
            suspected,
        }
    };
    CachedView {
        current: !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD),
        routes: node.routes.borrow().current().clone(),
        entries: node.directory.borrow().iter().cloned().collect(),
        judgements: services.into_iter().map(to_leader_status).collect(),
        peers: node.peers.borrow().clone(),
    }
}

/// Requests the cached view of another VM; `None` if it does not respond.
async fn request_view(address: SocketAddr) -> Option<CachedView> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = [VIEW_REQUEST, "\n"].concat();
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let line = lines.next().await?.ok()?;
        serde_json::from_str(&line).ok()
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}

/// Asks the other VMs whether a leader has to be replaced; returns true as soon as enough of them
/// agree, since some may not respond at all.
pub(super) async fn collect_agreement(
    node: &Node,
    service: &Service,
    leader: Option<&Upstream>,
    required: usize,
) -> bool {
    let mut requests: FuturesUnordered<_> =
        peer_addresses(node).into_iter().map(request_view).collect();
    let mut agreed = 0;
    while agreed < required {
        match requests.next().await {
            Some(Some(view)) if view.agrees(service, leader) => agreed += 1,
            Some(_) => {}
            None => return false,
        }
    }
    true
}

/// Returns the peer addresses of all other known VMs.
fn peer_addresses(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let known = peers.iter().map(|peer| peer.address);
    let mut all: Vec<SocketAddr> = known.chain(node.settings.seeds.iter().copied()).collect();
    all.retain(|address| *address != node.settings.peers);
    all.sort();
    all.dedup();
    all
}

/// Requests cached views from other VMs while the store is unavailable, until the process ends.
pub(super) async fn refresh_view(node: Rc<Node>) {
    let mut round = 0;
    loop {
        sleep(REFRESH_INTERVAL).await;
        if !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD) {
            continue;
        }
        let others = peer_addresses(&node);
        if others.is_empty() {
            continue;
        }
        round += 1;
        if let Some(view) = request_view(others[round % others.len()]).await {
            apply_view(&node, view);
        }
    }
}

/// Applies the cached view of another VM if that VM can read the store, or if this one has none
/// yet.
fn apply_view(node: &Node, view: CachedView) {
    let is_first = !node.upstreams_listed.get();
    let is_useful = view.current || is_first;
    if !is_useful || !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD) {
        return;
    }
    if is_first {
        info!(node.log, "cached view loaded from a peer"; "event" => "peer",
            "version" => view.routes.version, "upstreams" => view.entries.len());
    }
    node.apply_routes(view.routes);
    node.apply_listing(view.entries);
    if node.peers.borrow().len() < view.peers.len() {
        node.apply_peers(view.peers);
    }
}

/// Asks several VMs for a tunnel to an upstream and returns the first one that opens.
pub(super) async fn find_tunnel(node: &Node, upstream: &Upstream) -> Option<(Peer, TcpStream)> {
    let candidates = tunnel_candidates(node, upstream);
    let attempts = candidates.into_iter().map(|peer| {
        Box::pin(async move {
            let stream = open_tunnel(&peer, upstream).await.ok_or(())?;
            Ok::<_, ()>((peer, stream))
        })
    });
    let attempts: Vec<_> = attempts.collect();
    if attempts.is_empty() {
        return None;
    }
    let ((peer, stream), _others) = select_ok(attempts).await.ok()?;
    Some((peer, stream))
}

/// Returns the VMs to ask for a tunnel: some in the upstream's zone and some in other zones, since
/// a network partition may cut off a whole zone.
fn tunnel_candidates(node: &Node, upstream: &Upstream) -> Vec<Peer> {
    let zone = node
        .directory
        .borrow()
        .get(upstream)
        .map(|it| it.zone.clone());
    let peers = node.peers.borrow();
    let others = peers.iter().filter(|peer| peer.vm != node.settings.vm);
    let (same_zone, other_zones): (Vec<&Peer>, Vec<&Peer>) =
        others.partition(|peer| Some(&peer.zone) == zone.as_ref());
    let same_zone = same_zone.into_iter().take(MAX_CANDIDATES_EACH);
    same_zone
        .chain(other_zones.into_iter().take(MAX_CANDIDATES_EACH))
        .cloned()
        .collect()
}

/// Opens a tunnel to an upstream through another VM.
pub(super) async fn open_tunnel(peer: &Peer, upstream: &Upstream) -> Option<TcpStream> {
    let open = async {
        let mut stream = TcpStream::connect(peer.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let request = [TUNNEL_REQUEST, upstream.as_str(), "\n"].concat();
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let line = lines.next().await?.ok()?;
        // Upstreams send nothing unasked, so the codec has no bytes buffered.
        (line == TUNNEL_CONFIRMATION).then(|| lines.into_inner())
    };
    timeout(REQUEST_TIMEOUT, open).await.ok()?
}
