//! State shared by all connections of one peer thread.

use std::cell::Cell;
use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use super::counters::Counters;
use super::handshake::Identity;
use super::message::Inbound;
use super::options::Limits;

/// Parameters from which a peer thread builds its [`Context`].
#[derive(Clone, Debug)]
pub struct ThreadParams {
    /// Identity of this VM in handshakes.
    pub identity: Identity,
    /// Limits of links and connections.
    pub limits: Limits,
    /// Channel for calls to the event loop.
    pub inbound: mpsc::Sender<Inbound>,
    /// Counters of this VM's peer links.
    pub counters: Arc<Counters>,
}

/// State shared by the links and inbound connections of one peer thread.
#[derive(Debug)]
pub struct Context {
    /// Identity of this VM in handshakes.
    pub identity: Identity,
    /// Limits of links and connections.
    pub limits: Limits,
    /// Channel for calls to the event loop.
    pub inbound: mpsc::Sender<Inbound>,
    /// Counters of this VM's peer links.
    pub counters: Arc<Counters>,
    /// Set once further calls of peers are refused.
    pub stopping: Cell<bool>,
    /// Becomes true when the inbound connections must end; each of them holds a receiver.
    pub closing: watch::Sender<bool>,
}

impl Context {
    /// Creates the state of one thread.
    pub fn new(params: ThreadParams) -> Self {
        Self {
            identity: params.identity,
            limits: params.limits,
            inbound: params.inbound,
            counters: params.counters,
            stopping: Cell::new(false),
            closing: watch::channel(false).0,
        }
    }
}
