//! One connection to an upstream.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, PreparedStatement, Session, SessionVariables, SetupStep};
use chervildrift_core::types::{LogPosition, Service, Time, Upstream};
use chervildrift_platform::wire::{
    Command, LINE_BYTES, Part, State, encode_command, encode_start, parse_part,
};
use futures::StreamExt;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LinesCodec};

use super::clock;

/// Time for a connection at the level of TCP; several times the longest way between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time for an upstream to take a connection, which waits for one of its slots.
const OPEN_LIMIT: Duration = Duration::from_millis(700);

/// Time after which an idle connection is probed, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer after which an idle connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

quick_error! {
    /// Why a connection can't be opened or used.
    #[derive(Clone, Debug)]
    pub enum LinkError {
        /// No connection was made.
        Connect(reason: String) {
            display("no connection: {reason}")
        }
        /// The upstream did not take the connection.
        Refused(code: Code, detail: String) {
            display("connection refused: {code} {detail}")
        }
        /// The connection broke or its answer can't be read.
        Broken(reason: String) {
            display("connection broke: {reason}")
        }
        /// The upstream was replaced before anything was sent.
        Replaced {
            display("replaced before anything was sent")
        }
        /// No answer came in time.
        Silent {
            display("no answer in time")
        }
    }
}

/// Answer of an upstream to one statement.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    /// Rows as they were sent.
    pub rows: Vec<String>,
    /// Signature, or why the statement failed.
    pub result: Result<String, (Code, String)>,
    /// State of the connection after the statement.
    pub state: State,
    /// Applied position of the upstream's log.
    pub mark: Option<LogPosition>,
}

/// One connection to an upstream.
#[derive(Debug)]
pub(super) struct Link {
    lines: Framed<TcpStream, LinesCodec>,
    values: SessionVariables,
    prepared: HashSet<Box<str>>,
    /// Statements whose answers have not been read.
    pending: usize,
    state: State,
    /// When the last answer came.
    pub used: Time,
    /// Counts this connection among those of its pool.
    _tally: Rc<()>,
}

impl Link {
    /// Connects to an upstream; also returns the time that a message takes there and back.
    pub(super) async fn connect(address: SocketAddr) -> Result<(TcpStream, Duration), LinkError> {
        let asked = clock::now();
        let connect = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let connect = connect.map_err(|_elapsed| LinkError::Connect("timeout".into()))?;
        let stream = connect.map_err(|err| LinkError::Connect(err.to_string()))?;
        Ok((stream, clock::now().since(asked)))
    }

    /// Opens a connection with an upstream over a stream to it.
    pub(super) async fn open(
        stream: TcpStream,
        service: &Service,
        upstream: &Upstream,
        tally: Rc<()>,
    ) -> Result<Self, LinkError> {
        let broken = |err: std::io::Error| LinkError::Broken(err.to_string());
        stream.set_nodelay(true).map_err(broken)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&stream)
            .set_tcp_keepalive(&keepalive)
            .map_err(broken)?;
        let codec = LinesCodec::new_with_max_length(LINE_BYTES);
        let mut link = Self {
            lines: Framed::new(stream, codec),
            values: SessionVariables::new(),
            prepared: HashSet::new(),
            pending: 1,
            state: State::Idle,
            used: clock::now(),
            _tally: tally,
        };
        let mut out = String::new();
        encode_start(service.as_str(), upstream, &mut out);
        timeout(OPEN_LIMIT, link.greet(&out))
            .await
            .map_err(|_elapsed| LinkError::Silent)??;
        Ok(link)
    }

    async fn greet(&mut self, start: &str) -> Result<(), LinkError> {
        self.send(start).await?;
        let line = self.line().await?;
        match parse_part(&line) {
            Ok(Part::Ready(..)) => {
                self.pending = 0;
                self.used = clock::now();
                Ok(())
            }
            Ok(Part::Error(code, detail)) => Err(LinkError::Refused(code, detail.to_owned())),
            Ok(_) => Err(LinkError::Broken(format!("unexpected message: {line}"))),
            Err(err) => Err(LinkError::Broken(err.to_string())),
        }
    }

    /// Tells whether another session may use the connection.
    pub(super) fn is_clean(&self) -> bool {
        self.pending == 0 && self.state == State::Idle
    }

    /// Tells whether an idle connection is still open, as far as the network has told.
    pub(super) fn is_open(&self) -> bool {
        // An idle upstream sends nothing, so whatever can be read is the end or a mistake.
        let read = self.lines.get_ref().try_read(&mut [0]);
        read.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Tells whether an answer is outstanding.
    pub(super) const fn is_pending(&self) -> bool {
        self.pending > 0
    }

    /// Returns the number of values and names that a session would have to change.
    pub(super) fn mismatch(&self, session: &Session, shape: Option<&PreparedStatement>) -> usize {
        session
            .setup_steps(&self.values, &self.prepared, shape)
            .len()
    }

    /// Runs statements for a session, after those that bring the connection to its state.
    ///
    /// The answers to the setup are checked but not returned.
    pub(super) async fn run_for(
        &mut self,
        session: &Session,
        shape: Option<&PreparedStatement>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, LinkError> {
        let setup = session.setup_steps(&self.values, &self.prepared, shape);
        let mut all: Vec<Command<'_>> = setup.iter().copied().map(Command::Setup).collect();
        all.extend_from_slice(commands);
        let mut replies = self.run(&all, limit).await?;
        for (step, reply) in setup.iter().zip(replies.drain(..setup.len())) {
            if let Err((code, detail)) = reply.result {
                self.pending += 1; // Keeps the connection from being used again.
                return Err(LinkError::Broken(format!("setup failed: {code} {detail}")));
            }
            self.learn(step);
        }
        Ok(replies)
    }

    fn learn(&mut self, step: &SetupStep<'_>) {
        match step {
            SetupStep::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            SetupStep::Set(name, value) => {
                self.values.insert((*name).into(), (*value).into());
            }
            SetupStep::Prepare(shape) => {
                self.prepared.insert(shape.name.clone());
            }
        }
    }

    /// Runs statements in one pipeline.
    pub(super) async fn run(
        &mut self,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, LinkError> {
        let mut out = String::new();
        for command in commands {
            encode_command(command, &mut out);
        }
        self.pending += commands.len();
        let exchange = async {
            self.send(&out).await?;
            let mut replies = Vec::with_capacity(commands.len());
            for _ in commands {
                replies.push(self.reply().await?);
            }
            Ok(replies)
        };
        timeout(limit, exchange)
            .await
            .map_err(|_elapsed| LinkError::Silent)?
    }

    async fn send(&mut self, text: &str) -> Result<(), LinkError> {
        let sent = self.lines.get_mut().write_all(text.as_bytes()).await;
        sent.map_err(|err| LinkError::Broken(err.to_string()))
    }

    async fn reply(&mut self) -> Result<Reply, LinkError> {
        let mut rows = Vec::new();
        let mut result = Err((Code::Failed, "no result".to_owned()));
        loop {
            let line = self.line().await?;
            match parse_part(&line).map_err(|err| LinkError::Broken(err.to_string()))? {
                Part::Row(row) => rows.push(row.to_owned()),
                Part::Complete(signature) => result = Ok(signature.to_owned()),
                Part::Error(code, detail) => result = Err((code, detail.to_owned())),
                Part::Ready(state, mark) => {
                    self.pending -= 1;
                    self.state = state;
                    self.used = clock::now();
                    return Ok(Reply {
                        rows,
                        result,
                        state,
                        mark,
                    });
                }
            }
        }
    }

    async fn line(&mut self) -> Result<String, LinkError> {
        match self.lines.next().await {
            Some(Ok(line)) => Ok(line),
            Some(Err(err)) => Err(LinkError::Broken(err.to_string())),
            None => Err(LinkError::Broken("closed by the upstream".into())),
        }
    }
}
