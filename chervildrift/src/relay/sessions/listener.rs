//! Listener for callers.

use std::rc::Rc;
use std::time::Duration;

use slog::warn;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::relay::node::Node;
use crate::relay::sessions::session;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers until the process ends.
pub(in crate::relay) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match node.seats.take().await {
                Some(seat) => {
                    tokio::task::spawn_local(session::serve(Rc::clone(&node), stream, seat));
                }
                None => session::refuse(&node, &stream),
            },
            Err(err) => {
                warn!(node.log, "accept failed"; "event" => "accept", "error" => %err);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
