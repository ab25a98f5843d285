//! Other VMs: what they know, and connections through them.
//!
//! A VM that can't read the platform's store asks another one, and a VM that is cut off from an
//! upstream reaches it through another one. A question is one line; the answer is one line of JSON,
//! or, for a connection, a confirmation after which all bytes are passed on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Beliefs, Judgement, Peer};
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

/// Question for what a VM knows.
const STATE_REQUEST: &str = "BELIEFS";

/// Question for a connection to an upstream.
const TUNNEL_REQUEST: &str = "TUNNEL ";

/// Confirmation of a connection to an upstream.
const TUNNEL_CONFIRMATION: &str = "CONNECTED";

/// Longest line; a configuration of some thousand routes fits.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Time for a connection; several times the longest way between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for a question and its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which the store must not have answered before another VM is asked.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(600);

/// Interval at which another VM is asked meanwhile.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// VMs that are asked at once for a way to an upstream, in its zone and in the others each.
const MAX_CANDIDATES_EACH: usize = 4;

/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers other VMs until the process ends.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    if let Err(err) = serve_peer(&node, stream).await {
                        debug!(node.log, "peer lost"; "event" => "peer", "error" => %err);
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
    if line == STATE_REQUEST {
        let mut out = serde_json::to_vec(&cached_state(node))?;
        out.push(b'\n');
        return lines.get_mut().write_all(&out).await;
    }
    let Some(upstream) = line.strip_prefix(TUNNEL_REQUEST).map(Upstream::from) else {
        return Ok(());
    };
    if *node.stop_phase.borrow() > StopPhase::Serving {
        // The connection would soon be cut.
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
    // The asking VM sends nothing before the confirmation, so no bytes are left in the codec.
    let mut peer_stream = lines.into_inner();
    peer_stream
        .write_all([TUNNEL_CONFIRMATION, "\n"].concat().as_bytes())
        .await?;
    node.tunnel_count.set(node.tunnel_count.get() + 1);
    let result = copy_bidirectional(&mut peer_stream, &mut upstream_stream).await;
    node.tunnel_count.set(node.tunnel_count.get() - 1);
    result.map(|_bytes| ())
}

fn cached_state(node: &Node) -> Beliefs {
    let now = clock::now();
    let services = node.routes.borrow().services();
    let to_judgement = |service: Service| {
        let (leader, suspected) = node.with_group(&service, |group| {
            (group.leader().cloned(), group.suspects(now))
        });
        Judgement {
            service,
            leader,
            suspected,
        }
    };
    Beliefs {
        current: !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD),
        routes: node.routes.borrow().current().clone(),
        entries: node.directory.borrow().iter().cloned().collect(),
        judgements: services.into_iter().map(to_judgement).collect(),
        peers: node.peers.borrow().clone(),
    }
}

/// Asks another VM what it knows; `None` if it does not answer.
async fn request_state(address: SocketAddr) -> Option<Beliefs> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = [STATE_REQUEST, "\n"].concat();
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let line = lines.next().await?.ok()?;
        serde_json::from_str(&line).ok()
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}

/// Asks the other VMs whether they agree that a leader has to be replaced; returns as soon as enough
/// of them do, since some may not answer at all.
pub(super) async fn collect_agreement(
    node: &Node,
    service: &Service,
    leader: Option<&Upstream>,
    required: usize,
) -> bool {
    let mut requests: FuturesUnordered<_> = peer_addresses(node)
        .into_iter()
        .map(request_state)
        .collect();
    let mut agreed = 0;
    while agreed < required {
        match requests.next().await {
            Some(Some(state)) if state.agrees(service, leader) => agreed += 1,
            Some(_) => {}
            None => return false,
        }
    }
    true
}

/// Returns the listeners of all other VMs that are known.
fn peer_addresses(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let known = peers.iter().map(|peer| peer.address);
    let mut all: Vec<SocketAddr> = known.chain(node.settings.seeds.iter().copied()).collect();
    all.retain(|address| *address != node.settings.peers);
    all.sort();
    all.dedup();
    all
}

/// Learns from other VMs what the store does not tell, until the process ends.
pub(super) async fn refresh_state(node: Rc<Node>) {
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
        if let Some(state) = request_state(others[round % others.len()]).await {
            apply_state(&node, state);
        }
    }
}

/// Takes in what another VM knows, unless it can't read the store either.
fn apply_state(node: &Node, state: Beliefs) {
    let is_first = !node.upstreams_listed.get();
    let is_useful = state.current || is_first;
    if !is_useful || !node.is_store_unavailable(STORE_OUTAGE_THRESHOLD) {
        return;
    }
    if is_first {
        info!(node.log, "learned from a peer"; "event" => "peer",
            "version" => state.routes.version, "upstreams" => state.entries.len());
    }
    node.apply_routes(state.routes);
    node.apply_listing(state.entries);
    if node.peers.borrow().len() < state.peers.len() {
        node.apply_peers(state.peers);
    }
}

/// Looks for a VM that reaches an upstream; the first one that does carries the connection.
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

/// Returns the VMs through which an upstream may be reached: some of its zone and some others,
/// since a cut may take a whole zone away.
fn tunnel_candidates(node: &Node, upstream: &Upstream) -> Vec<Peer> {
    let zone = node
        .directory
        .borrow()
        .get(upstream)
        .map(|it| it.zone.clone());
    let peers = node.peers.borrow();
    let others = peers.iter().filter(|peer| peer.vm != node.settings.vm);
    let (near, far): (Vec<&Peer>, Vec<&Peer>) =
        others.partition(|peer| Some(&peer.zone) == zone.as_ref());
    let near = near.into_iter().take(MAX_CANDIDATES_EACH);
    near.chain(far.into_iter().take(MAX_CANDIDATES_EACH))
        .cloned()
        .collect()
}

/// Opens a connection to an upstream through another VM.
pub(super) async fn open_tunnel(peer: &Peer, upstream: &Upstream) -> Option<TcpStream> {
    let open = async {
        let mut stream = TcpStream::connect(peer.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let request = [TUNNEL_REQUEST, upstream.as_str(), "\n"].concat();
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let line = lines.next().await?.ok()?;
        // Upstreams speak only when spoken to, so no bytes are left in the codec.
        (line == TUNNEL_CONFIRMATION).then(|| lines.into_inner())
    };
    timeout(REQUEST_TIMEOUT, open).await.ok()?
}
