//! Other VMs: what they know, and connections through them.
//!
//! A VM that can't read the platform's store asks another one, and a VM that is cut off from an
//! upstream reaches it through another one. A question is one line; the answer is one line of JSON,
//! or, for a connection, a confirmation after which all bytes are passed on.

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
use super::stop::Stage;

/// Question for what a VM knows.
const BELIEFS: &str = "BELIEFS";

/// Question for a connection to an upstream.
const TUNNEL: &str = "TUNNEL ";

/// Confirmation of a connection to an upstream.
const CONNECTED: &str = "CONNECTED";

/// Longest line; a configuration of some thousand routes fits.
const LINE_BYTES: usize = 4 << 20;

/// Time for a connection; several times the longest way between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time for a question and its answer.
const ASK_LIMIT: Duration = Duration::from_millis(800);

/// Time for which the store must not have answered before another VM is asked.
const STORE_SILENCE: Duration = Duration::from_millis(600);

/// Interval at which another VM is asked meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// VMs that are asked at once for a way to an upstream, in its zone and in the others each.
const WAYS: usize = 4;

/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers other VMs until the process ends.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    if let Err(err) = answer(&node, stream).await {
                        debug!(node.log, "peer lost"; "event" => "peer", "error" => %err);
                    }
                });
            }
            Err(err) => {
                warn!(node.log, "accept failed"; "event" => "accept", "error" => %err);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(node: &Node, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(LINE_BYTES));
    let Ok(Some(Ok(line))) = timeout(ASK_LIMIT, lines.next()).await else {
        return Ok(());
    };
    if line == BELIEFS {
        let mut out = serde_json::to_vec(&beliefs(node))?;
        out.push(b'\n');
        return lines.get_mut().write_all(&out).await;
    }
    let Some(upstream) = line.strip_prefix(TUNNEL).map(Upstream::from) else {
        return Ok(());
    };
    if *node.stage.borrow() > Stage::Serving {
        // The connection would soon be cut.
        return Ok(());
    }
    let address = node.directory.borrow().get(&upstream).map(|it| it.address);
    let Some(address) = address else {
        return Ok(());
    };
    let Ok(connected) = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await else {
        return Ok(());
    };
    let mut outward = connected?;
    outward.set_nodelay(true)?;
    // The asking VM sends nothing before the confirmation, so no bytes are left in the codec.
    let mut inward = lines.into_inner();
    inward
        .write_all([CONNECTED, "\n"].concat().as_bytes())
        .await?;
    node.tunnels.set(node.tunnels.get() + 1);
    let carried = copy_bidirectional(&mut inward, &mut outward).await;
    node.tunnels.set(node.tunnels.get() - 1);
    carried.map(|_bytes| ())
}

fn beliefs(node: &Node) -> CachedView {
    let now = clock::now();
    let services = node.routes.borrow().services();
    let judge = |service: Service| {
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
        current: !node.store_silent(STORE_SILENCE),
        routes: node.routes.borrow().current().clone(),
        entries: node.directory.borrow().iter().cloned().collect(),
        judgements: services.into_iter().map(judge).collect(),
        peers: node.peers.borrow().clone(),
    }
}

/// Asks another VM what it knows; `None` if it does not answer.
async fn ask(address: SocketAddr) -> Option<CachedView> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let question = [BELIEFS, "\n"].concat();
        stream.write_all(question.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(LINE_BYTES));
        let line = lines.next().await?.ok()?;
        serde_json::from_str(&line).ok()
    };
    timeout(ASK_LIMIT, exchange).await.ok()?
}

/// Asks the other VMs whether they agree that a leader has to be replaced; returns as soon as enough
/// of them do, since some may not answer at all.
pub(super) async fn agree(
    node: &Node,
    service: &Service,
    leader: Option<&Upstream>,
    enough: usize,
) -> bool {
    let mut asked: FuturesUnordered<_> = addresses(node).into_iter().map(ask).collect();
    let mut agreeing = 0;
    while agreeing < enough {
        match asked.next().await {
            Some(Some(beliefs)) if beliefs.agrees(service, leader) => agreeing += 1,
            Some(_) => {}
            None => return false,
        }
    }
    true
}

/// Returns the listeners of all other VMs that are known.
fn addresses(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let known = peers.iter().map(|peer| peer.address);
    let mut all: Vec<SocketAddr> = known.chain(node.settings.seeds.iter().copied()).collect();
    all.retain(|address| *address != node.settings.peers);
    all.sort();
    all.dedup();
    all
}

/// Learns from other VMs what the store does not tell, until the process ends.
pub(super) async fn follow(node: Rc<Node>) {
    let mut turn = 0;
    loop {
        sleep(ASK_INTERVAL).await;
        if !node.store_silent(STORE_SILENCE) {
            continue;
        }
        let others = addresses(&node);
        if others.is_empty() {
            continue;
        }
        turn += 1;
        if let Some(beliefs) = ask(others[turn % others.len()]).await {
            learn(&node, beliefs);
        }
    }
}

/// Takes in what another VM knows, unless it can't read the store either.
fn learn(node: &Node, beliefs: CachedView) {
    let first = !node.listed.get();
    let useful = beliefs.current || first;
    if !useful || !node.store_silent(STORE_SILENCE) {
        return;
    }
    if first {
        info!(node.log, "learned from a peer"; "event" => "peer",
            "version" => beliefs.routes.version, "upstreams" => beliefs.entries.len());
    }
    node.take_routes(beliefs.routes);
    node.take_listing(beliefs.entries);
    if node.peers.borrow().len() < beliefs.peers.len() {
        node.take_peers(beliefs.peers);
    }
}

/// Looks for a VM that reaches an upstream; the first one that does carries the connection.
pub(super) async fn find_way(node: &Node, upstream: &Upstream) -> Option<(Peer, TcpStream)> {
    let ways = ways(node, upstream);
    let tries = ways.into_iter().map(|peer| {
        Box::pin(async move {
            let stream = tunnel(&peer, upstream).await.ok_or(())?;
            Ok::<_, ()>((peer, stream))
        })
    });
    let tries: Vec<_> = tries.collect();
    if tries.is_empty() {
        return None;
    }
    let ((peer, stream), _others) = select_ok(tries).await.ok()?;
    Some((peer, stream))
}

/// Returns the VMs through which an upstream may be reached: some of its zone and some others,
/// since a cut may take a whole zone away.
fn ways(node: &Node, upstream: &Upstream) -> Vec<Peer> {
    let zone = node
        .directory
        .borrow()
        .get(upstream)
        .map(|it| it.zone.clone());
    let peers = node.peers.borrow();
    let others = peers.iter().filter(|peer| peer.vm != node.settings.vm);
    let (near, far): (Vec<&Peer>, Vec<&Peer>) =
        others.partition(|peer| Some(&peer.zone) == zone.as_ref());
    let near = near.into_iter().take(WAYS);
    near.chain(far.into_iter().take(WAYS)).cloned().collect()
}

/// Opens a connection to an upstream through another VM.
pub(super) async fn tunnel(peer: &Peer, upstream: &Upstream) -> Option<TcpStream> {
    let open = async {
        let mut stream = TcpStream::connect(peer.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let question = [TUNNEL, upstream.as_str(), "\n"].concat();
        stream.write_all(question.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(LINE_BYTES));
        let line = lines.next().await?.ok()?;
        // Upstreams speak only when spoken to, so no bytes are left in the codec.
        (line == CONNECTED).then(|| lines.into_inner())
    };
    timeout(ASK_LIMIT, open).await.ok()?
}
