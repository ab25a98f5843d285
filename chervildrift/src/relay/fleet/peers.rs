//! Listener for other VMs, and tunnels to upstreams.
//!
//! A VM that can't connect to an upstream tunnels through another VM. The request is one line, and
//! the response is a confirmation after which all bytes are forwarded. Any other first line begins
//! a link.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::Peer;
use chervildrift_core::types::Upstream;
use futures::StreamExt;
use futures::future::select_ok;
use slog::{debug, warn};
use tokio::io::{AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::relay::connections::holder;
use crate::relay::fleet::link::{self, Link, MAX_MESSAGE_BYTES, MESSAGE_END};
use crate::relay::line_codec::LineCodec;
use crate::relay::node::Node;
use crate::relay::stop::StopPhase;

/// Request for a tunnel, followed by the name of the upstream.
const TUNNEL_REQUEST: &str = "TUNNEL ";

/// Confirmation that a tunnel is open.
const TUNNEL_CONFIRMATION: &str = "CONNECTED";

/// Timeout for connecting to an upstream; several times the longest network delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a request to another VM, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of VMs that are asked for a tunnel at once, both in the upstream's zone and in
/// the other zones.
const MAX_CANDIDATES_EACH: usize = 4;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests of other VMs until the process ends.
///
/// Further connections wait to be accepted while as many are open as their part of the sockets.
pub(in crate::relay) async fn accept(node: Rc<Node>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(node.settings.limits.peers()));
    loop {
        // Fails only if the semaphore is closed, which it never is.
        let place = Arc::clone(&places).acquire_owned().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    let _place = place;
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

async fn serve_peer(node: &Rc<Node>, stream: TcpStream) -> std::io::Result<()> {
    link::configure(&stream)?;
    let mut lines = Framed::new(stream, LineCodec::new(MESSAGE_END, MAX_MESSAGE_BYTES));
    let Ok(Some(Ok(line))) = timeout(REQUEST_TIMEOUT, lines.next()).await else {
        return Ok(());
    };
    let Some(upstream) = line.strip_prefix(TUNNEL_REQUEST).map(Upstream::from) else {
        if let Ok(request) = serde_json::from_str(&line) {
            holder::serve(node, Link::new(lines), request).await;
        }
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
    link::configure(&upstream_stream)?;
    // The requesting VM sends nothing before the confirmation, so the codec has no bytes buffered.
    let mut peer_stream = lines.into_inner();
    peer_stream
        .write_all([TUNNEL_CONFIRMATION, MESSAGE_END].concat().as_bytes())
        .await?;
    node.tunnel_count.set(node.tunnel_count.get() + 1);
    let result = copy_bidirectional(&mut peer_stream, &mut upstream_stream).await;
    node.tunnel_count.set(node.tunnel_count.get() - 1);
    result.map(|_bytes| ())
}

/// Asks several VMs for a tunnel to an upstream and returns the first one that opens.
pub(in crate::relay) async fn find_tunnel(
    node: &Node,
    upstream: &Upstream,
) -> Option<(Peer, TcpStream)> {
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
pub(in crate::relay) async fn open_tunnel(peer: &Peer, upstream: &Upstream) -> Option<TcpStream> {
    let open = async {
        let mut stream = TcpStream::connect(peer.address).await.ok()?;
        link::configure(&stream).ok()?;
        let request = [TUNNEL_REQUEST, upstream.as_str(), MESSAGE_END].concat();
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut lines = Framed::new(stream, LineCodec::new(MESSAGE_END, MAX_MESSAGE_BYTES));
        let line = lines.next().await?.ok()?;
        // Upstreams send nothing unasked, so the codec has no bytes buffered.
        (line == TUNNEL_CONFIRMATION).then(|| lines.into_inner())
    };
    timeout(REQUEST_TIMEOUT, open).await.ok()?
}
