//! What all connections of one peer thread share.

use std::cell::Cell;
use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use super::counters::Counters;
use super::hello::Identity;
use super::message::Inbound;
use super::options::Limits;

/// What a peer thread starts with.
#[derive(Clone, Debug)]
pub struct ThreadParams {
    /// Identity of this VM for hellos.
    pub identity: Identity,
    /// Limits of links and connections.
    pub limits: Limits,
    /// Channel to the event loop.
    pub inbound: mpsc::Sender<Inbound>,
    /// Counters.
    pub counters: Arc<Counters>,
}

/// State shared by the links and inbound connections of one peer thread.
#[derive(Debug)]
pub struct Context {
    /// Identity of this VM for hellos.
    pub identity: Identity,
    /// Limits of links and connections.
    pub limits: Limits,
    /// Channel to the event loop.
    pub inbound: mpsc::Sender<Inbound>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Set when no further calls are taken.
    pub stopping: Cell<bool>,
    /// Turns true when the inbound connections are to end; each holds a receiver.
    pub closing: watch::Sender<bool>,
}

impl Context {
    /// Opens the state of one thread.
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
