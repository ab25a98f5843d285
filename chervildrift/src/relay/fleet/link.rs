//! Links to other VMs: messages, and idle links that are kept open.
//!
//! A link is a TCP connection that carries one message a line. It is used for one purpose at a
//! time, such as one connection to an upstream, so that its end tells the other VM that the purpose
//! is gone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::dispatch::Completion;
use chervildrift_core::quota::{Ask, Grant};
use chervildrift_core::relay::{
    Access, CachedView, PreparedStatement, SessionVariables, ViewRequest,
};
use chervildrift_core::types::{
    Caller, Kind, LogPosition, Organisation, Rank, Service, Term, Time, Upstream,
};
use chervildrift_platform::wire::Command;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::relay::clock;
use crate::relay::connections::connection::{ConnectionError, Reply};
use crate::relay::line_codec::LineCodec;

/// Maximum length of a message; enough for a configuration with some thousand routes.
pub(in crate::relay) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Ending of a message; JSON escapes line feeds in strings.
pub(in crate::relay) const MESSAGE_END: &str = "\n";

/// Timeout for connecting to another VM; several times the longest network delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an idle link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a link counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Links of the VM's own tasks, such as views and votes, beside those of statements.
const OWN_LINKS: usize = 16;

/// Message to another VM.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) enum LinkRequest {
    /// Requests a connection to an upstream.
    #[serde(rename = "a")]
    Acquire(AcquireMessage),
    /// Runs commands on the acquired connection.
    #[serde(rename = "r")]
    Run(RunMessage),
    /// Returns the acquired connection.
    #[serde(rename = "f")]
    Release(Completion),
    /// Requests the cached view of the VM.
    #[serde(rename = "v")]
    View(ViewRequest),
    /// Waits until a replica has received a commit.
    #[serde(rename = "c")]
    AwaitReceived(ReceiptMessage),
    /// Requests operations of an organisation from the share that the VM keeps.
    #[serde(rename = "k")]
    Ask(Ask),
    /// Demotes an upstream that the other VM may not reach.
    #[serde(rename = "d")]
    Demote(DemotionMessage),
}

/// Properties by which a requested connection is scheduled and chosen.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) struct AcquireMessage {
    /// Upstream to connect to.
    pub upstream: Upstream,
    /// Kind of the statement.
    pub kind: Kind,
    /// Rank of the kind, for a VM that does not know the kind yet.
    pub rank: Rank,
    /// Caller that sent the statement.
    pub caller: Caller,
    /// Organisation of the caller, if the route needs a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Organisation>,
    /// Time in which the statement must finish, in milliseconds.
    pub remaining_ms: u64,
    /// Session in which the first commands run.
    pub state: SessionState,
    /// Commands to run as soon as a connection is acquired; they may be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<RunMessage>,
}

/// Part of a session that a connection needs before a statement of the session runs on it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(in crate::relay) struct SessionState {
    /// Variables of the session.
    #[serde(default, skip_serializing_if = "SessionVariables::is_empty")]
    pub variables: SessionVariables,
    /// Prepared statement that the commands execute.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prepared: Option<PreparedStatement>,
}

/// Commands to run on an acquired connection.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) struct RunMessage {
    /// Session in which the commands run; `None` for commands that need no session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<SessionState>,
    /// Commands to run in one pipeline.
    pub commands: Vec<LinkCommand>,
    /// Time limit in milliseconds.
    pub limit_ms: u64,
}

/// Outcome of commands that were run with the request for a connection.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) struct RanMessage {
    /// Current wait for a connection, in milliseconds.
    pub wait_ms: u64,
    /// Time for which the commands ran, in milliseconds.
    pub run_ms: u64,
    /// Replies, or how the connection failed.
    pub result: Result<Vec<Reply>, ConnectionError>,
}

/// Upstream to demote.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(in crate::relay) struct DemotionMessage {
    /// Upstream that leads no longer.
    pub upstream: Upstream,
    /// Term below which it gives up its lead.
    pub term: Term,
}

/// Commit for whose receipt by a replica another VM waits.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) struct ReceiptMessage {
    /// Service of the replica.
    pub service: Service,
    /// Replica that has to receive the commit.
    pub upstream: Upstream,
    /// Log position of the commit.
    pub position: LogPosition,
    /// Time limit in milliseconds.
    pub limit_ms: u64,
}

/// Command for an upstream as it is sent to another VM.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) enum LinkCommand {
    /// Corresponds to [`Command::Begin`].
    Begin(Access, Option<LogPosition>),
    /// Corresponds to [`Command::Rollback`].
    Rollback,
    /// Corresponds to [`Command::Status`].
    Status,
    /// Corresponds to [`Command::Fence`].
    Fence(Term),
    /// Corresponds to [`Command::Unfence`].
    Unfence,
    /// Corresponds to [`Command::Demote`].
    Demote(Term),
    /// Corresponds to [`Command::Run`].
    Run(Box<str>, Option<LogPosition>, Box<str>),
}

/// Message from another VM.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) enum LinkResponse {
    /// The request is being processed.
    #[serde(rename = "q")]
    Queued,
    /// A connection was acquired; also tells the current wait for one, in milliseconds.
    #[serde(rename = "g")]
    Granted(u64),
    /// A connection was acquired, and the commands of the request were run on it.
    #[serde(rename = "x")]
    Ran(RanMessage),
    /// No connection was acquired and nothing was sent to the upstream.
    #[serde(rename = "n")]
    Refused(LinkRefusal),
    /// Replies of the upstream.
    #[serde(rename = "r")]
    Replies(Vec<Reply>),
    /// The connection failed while commands were run on it.
    #[serde(rename = "e")]
    Failed(ConnectionError),
    /// Cached view of the VM.
    #[serde(rename = "v")]
    View(Box<CachedView>),
    /// Position that a replica has received, if it is known.
    #[serde(rename = "p")]
    Position(Option<LogPosition>),
    /// Granted operations; `None` if the VM does not keep the share.
    #[serde(rename = "k")]
    Quota(Option<Grant>),
    /// Whether the upstream is a replica now.
    #[serde(rename = "d")]
    Demoted(bool),
}

/// Reason why another VM did not provide a connection.
#[derive(Debug, Deserialize, Serialize)]
pub(in crate::relay) enum LinkRefusal {
    /// The scheduler refused the request; with the time after which to retry in milliseconds.
    Busy(String, u64),
    /// The VM holds no connections to the upstream.
    NotHolder,
    /// The VM is stopping.
    Stopping,
    /// The upstream can't be reached or refused the connection.
    Connection(ConnectionError),
}

impl LinkCommand {
    /// Returns the command as it is sent to the upstream.
    pub(in crate::relay) fn as_command(&self) -> Command<'_> {
        match self {
            Self::Begin(access, position) => Command::Begin(*access, *position),
            Self::Rollback => Command::Rollback,
            Self::Status => Command::Status,
            Self::Fence(term) => Command::Fence(*term),
            Self::Unfence => Command::Unfence,
            Self::Demote(term) => Command::Demote(*term),
            Self::Run(id, min_position, text) => Command::Run {
                id,
                min_position: *min_position,
                text,
            },
        }
    }

    /// Converts a command; `None` for setup steps, which the holder derives from the session.
    pub(in crate::relay) fn from_command(command: &Command<'_>) -> Option<Self> {
        match *command {
            Command::Setup(_) => None,
            Command::Begin(access, position) => Some(Self::Begin(access, position)),
            Command::Rollback => Some(Self::Rollback),
            Command::Status => Some(Self::Status),
            Command::Fence(term) => Some(Self::Fence(term)),
            Command::Unfence => Some(Self::Unfence),
            Command::Demote(term) => Some(Self::Demote(term)),
            Command::Run {
                id,
                min_position,
                text,
            } => Some(Self::Run(id.into(), min_position, text.into())),
        }
    }
}

/// Sets the options of a socket between VMs, the same on both sides.
pub(in crate::relay) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Open link to another VM.
#[derive(Debug)]
pub(in crate::relay) struct Link {
    framed: Framed<TcpStream, LineCodec>,
    last_used: Time,
    /// Counts the links that this VM has opened, by its references.
    _open: Option<Rc<()>>,
}

impl Link {
    /// Wraps a connected stream.
    pub(in crate::relay) fn new(framed: Framed<TcpStream, LineCodec>) -> Self {
        Self {
            framed,
            last_used: clock::now(),
            _open: None,
        }
    }

    /// Connects to another VM.
    async fn connect(address: SocketAddr, open: Rc<()>) -> std::io::Result<Self> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connect.map_err(std::io::Error::from)??;
        configure(&stream)?;
        let codec = LineCodec::new(MESSAGE_END, MAX_MESSAGE_BYTES);
        Ok(Self {
            _open: Some(open),
            ..Self::new(Framed::new(stream, codec))
        })
    }

    /// Sends a message.
    pub(in crate::relay) async fn send(&mut self, message: &impl Serialize) -> std::io::Result<()> {
        let mut out = serde_json::to_vec(message)?;
        out.extend_from_slice(MESSAGE_END.as_bytes());
        self.last_used = clock::now();
        self.framed.get_mut().write_all(&out).await
    }

    /// Receives a message; `None` if the link has ended or the message is malformed.
    ///
    /// Cancelling this loses no part of a message.
    pub(in crate::relay) async fn receive<T: DeserializeOwned>(&mut self) -> Option<T> {
        let line = self.framed.next().await?.ok()?;
        serde_json::from_str(&line).ok()
    }

    /// Returns whether an idle link is still open, as far as the local socket knows.
    fn is_open(&self) -> bool {
        let read = self.framed.get_ref().try_read(&mut [0]);
        read.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Right to use a link for a statement or transaction, until it is dropped.
#[derive(Debug)]
pub(in crate::relay) struct LinkPermit {
    links: Rc<Links>,
}

impl Drop for LinkPermit {
    fn drop(&mut self) {
        let links = &self.links;
        links.in_use.set(links.in_use.get() - 1);
        links.returned.notify_one();
    }
}

/// Links that this VM has opened to others, and VMs that gave no response.
#[derive(Debug)]
pub(in crate::relay) struct Links {
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
    failures: RefCell<HashMap<SocketAddr, Time>>,
    /// Number of links, idle and in use, as the reference count.
    open: Rc<()>,
    /// Maximum number of statements and transactions that use links.
    max_statements: Cell<usize>,
    /// Number of statements and transactions that use links.
    in_use: Cell<usize>,
    /// Wakes a statement that waits for a link.
    returned: Notify,
}

impl Links {
    /// Creates an empty set that is used by up to `max_statements` at a time.
    pub(in crate::relay) fn new(max_statements: usize) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            failures: RefCell::default(),
            open: Rc::default(),
            max_statements: Cell::new(max_statements),
            in_use: Cell::default(),
            returned: Notify::new(),
        })
    }

    /// Changes the maximum number of statements and transactions that use links.
    pub(in crate::relay) fn set_max_statements(&self, count: usize) {
        self.max_statements.set(count);
        self.returned.notify_one();
    }

    /// Waits until a statement may use a link.
    pub(in crate::relay) async fn permit(self: &Rc<Self>) -> LinkPermit {
        while self.in_use.get() >= self.max_statements.get() {
            self.returned.notified().await;
        }
        self.in_use.set(self.in_use.get() + 1);
        if self.in_use.get() < self.max_statements.get() {
            // There may be room for the next one too.
            self.returned.notify_one();
        }
        LinkPermit {
            links: Rc::clone(self),
        }
    }

    /// Takes an idle link to a VM, or opens one.
    pub(in crate::relay) async fn take(&self, address: SocketAddr) -> std::io::Result<Link> {
        while let Some(link) = self.pop_idle(address) {
            if link.is_open() {
                return Ok(link);
            }
        }
        while self.open_links() >= self.max_links() && self.close_idle() {}
        Link::connect(address, Rc::clone(&self.open)).await
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Link> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    /// Closes the link that has been idle for longest; returns false if none is idle.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // The links of one VM are used from the end.
        let oldest = idle
            .iter()
            .filter_map(|(address, links)| Some((links.first()?.last_used, *address)))
            .min();
        let links = oldest.and_then(|(_, address)| idle.get_mut(&address));
        links.is_some_and(|links| {
            links.remove(0);
            true
        })
    }

    /// Returns the number of links that are open or being opened.
    fn open_links(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    fn max_links(&self) -> usize {
        self.max_statements.get().saturating_add(OWN_LINKS)
    }

    /// Keeps a link for later use, unless there are too many.
    pub(in crate::relay) fn put(&self, address: SocketAddr, link: Link) {
        if self.open_links() > self.max_links() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(link);
    }

    /// Closes links that have been idle for longer than the timeout.
    pub(in crate::relay) fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, links| {
            links.retain(|link| now.since(link.last_used) < IDLE_TIMEOUT);
            !links.is_empty()
        });
        self.failures
            .borrow_mut()
            .retain(|_, at| now.since(*at) < IDLE_TIMEOUT);
    }

    /// Records that a VM gave no response; its idle links are closed.
    pub(in crate::relay) fn record_failure(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
        self.failures.borrow_mut().insert(address, clock::now());
    }

    /// Records that a VM gave a response.
    pub(in crate::relay) fn clear_failure(&self, address: SocketAddr) {
        self.failures.borrow_mut().remove(&address);
    }

    /// Returns the time at which a VM last gave no response.
    pub(in crate::relay) fn failed_at(&self, address: SocketAddr) -> Option<Time> {
        self.failures.borrow().get(&address).copied()
    }
}
