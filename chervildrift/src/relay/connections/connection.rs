//! Connection to an upstream.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chervildrift_core::relay::{Code, PreparedStatement, Session, SessionVariables, SetupStep};
use chervildrift_core::types::{LogPosition, Organisation, Service, Time, Upstream};
use chervildrift_platform::wire::{
    Command, LINE_END, MAX_LINE_BYTES, ReplyLine, TransactionState, encode_command, encode_start,
    parse_reply_line,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::relay::clock;
use crate::relay::line_codec::{LARGE_LINE_BYTES, LineCodec};

/// Timeout for connecting by TCP; several times the longest network delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the handshake, in which the upstream waits for one of its slots.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Bytes that a read has room for; several ordinary replies.
const READ_BYTES: usize = 8 << 10;

quick_error! {
    /// Reason why a connection can't be opened or used.
    #[derive(Clone, Debug, Deserialize, Serialize)]
    pub enum ConnectionError {
        /// The TCP connection failed.
        ConnectFailed(reason: String) {
            display("no connection: {reason}")
        }
        /// The upstream refused the connection.
        Refused(code: Code, detail: String) {
            display("connection refused: {code} {detail}")
        }
        /// The connection broke or a reply can't be parsed.
        Broken(reason: String) {
            display("connection broke: {reason}")
        }
        /// Another upstream became leader before anything was sent.
        LeaderReplaced {
            display("replaced before anything was sent")
        }
        /// The upstream did not reply in time.
        NoReply {
            display("no answer in time")
        }
    }
}

/// Reply of an upstream to one command.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(in crate::relay) struct Reply {
    /// Rows as the upstream sent them.
    pub rows: Vec<String>,
    /// Signature of the upstream, or the error.
    pub result: Result<String, (Code, String)>,
    /// Transaction state of the connection after the command.
    pub state: TransactionState,
    /// Last log position that the upstream has applied.
    pub position: Option<LogPosition>,
}

/// Connection to an upstream.
#[derive(Debug)]
pub(in crate::relay) struct Connection {
    stream: TcpStream,
    codec: LineCodec,
    /// Bytes that have arrived and aren't decoded.
    buffer: BytesMut,
    /// Permits to receive a large reply, so that few of them are in memory at a time.
    large_replies: Arc<Semaphore>,
    large_reply: Option<OwnedSemaphorePermit>,
    variables: SessionVariables,
    prepared_names: HashSet<Box<str>>,
    /// Organisation under whose name it was started; no other one may use it.
    organisation: Option<Organisation>,
    /// Number of commands whose replies have not been read.
    pending_replies: usize,
    state: TransactionState,
    /// Time of the last reply.
    pub last_used: Time,
    /// Reference that counts this connection in its pool.
    _open_count: Rc<()>,
}

impl Connection {
    /// Connects to an upstream by TCP; also returns the round-trip time.
    pub(in crate::relay) async fn connect(
        address: SocketAddr,
    ) -> Result<(TcpStream, Duration), ConnectionError> {
        let started = clock::now();
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connect =
            connect.map_err(|_elapsed| ConnectionError::ConnectFailed("timeout".into()))?;
        let stream = connect.map_err(|err| ConnectionError::ConnectFailed(err.to_string()))?;
        Ok((stream, clock::now().since(started)))
    }

    /// Opens a connection with a handshake over a TCP stream, on behalf of an organisation if any.
    pub(in crate::relay) async fn open(
        stream: TcpStream,
        service: &Service,
        organisation: Option<Organisation>,
        upstream: &Upstream,
        open_count: Rc<()>,
        large_replies: Arc<Semaphore>,
    ) -> Result<Self, ConnectionError> {
        let broken = |err: std::io::Error| ConnectionError::Broken(err.to_string());
        stream.set_nodelay(true).map_err(broken)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&stream)
            .set_tcp_keepalive(&keepalive)
            .map_err(broken)?;
        let mut out = String::new();
        encode_start(service.as_str(), organisation.as_ref(), upstream, &mut out);
        let mut connection = Self {
            stream,
            codec: LineCodec::new(LINE_END, MAX_LINE_BYTES),
            buffer: BytesMut::new(),
            large_replies,
            large_reply: None,
            variables: SessionVariables::new(),
            prepared_names: HashSet::new(),
            organisation,
            pending_replies: 1,
            state: TransactionState::Idle,
            last_used: clock::now(),
            _open_count: open_count,
        };
        timeout(HANDSHAKE_TIMEOUT, connection.handshake(&out))
            .await
            .map_err(|_elapsed| ConnectionError::NoReply)??;
        Ok(connection)
    }

    async fn handshake(&mut self, start: &str) -> Result<(), ConnectionError> {
        self.send(start).await?;
        let line = self.read_line().await?;
        match parse_reply_line(&line) {
            Ok(ReplyLine::Ready(..)) => {
                self.pending_replies = 0;
                self.last_used = clock::now();
                Ok(())
            }
            Ok(ReplyLine::Error(code, detail)) => {
                Err(ConnectionError::Refused(code, detail.to_owned()))
            }
            Ok(_) => Err(ConnectionError::Broken(format!(
                "unexpected message: {line}"
            ))),
            Err(err) => Err(ConnectionError::Broken(err.to_string())),
        }
    }

    /// Returns whether another session may use the connection.
    pub(in crate::relay) fn is_reusable(&self) -> bool {
        self.pending_replies == 0 && self.state == TransactionState::Idle
    }

    /// Returns whether an idle connection is still open, as far as the local socket knows.
    pub(in crate::relay) fn is_open(&self) -> bool {
        // An idle upstream sends nothing, so readable data means that it closed the connection or
        // broke the protocol.
        let read = self.stream.try_read(&mut [0]);
        read.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Returns the organisation that may use the connection, if it belongs to one.
    pub(in crate::relay) const fn organisation(&self) -> Option<&Organisation> {
        self.organisation.as_ref()
    }

    /// Returns whether a reply is outstanding.
    pub(in crate::relay) const fn has_pending(&self) -> bool {
        self.pending_replies > 0
    }

    /// Returns the number of setup steps that the connection would need for a session.
    pub(in crate::relay) fn setup_steps(
        &self,
        session: &Session,
        prepared: Option<&PreparedStatement>,
    ) -> usize {
        session
            .setup_steps(&self.variables, &self.prepared_names, prepared)
            .len()
    }

    /// Runs commands for a session, in one pipeline after the setup steps that the connection
    /// needs.
    ///
    /// Replies to setup steps are checked but not returned.
    pub(in crate::relay) async fn run_in_session(
        &mut self,
        session: &Session,
        prepared: Option<&PreparedStatement>,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        let setup = session.setup_steps(&self.variables, &self.prepared_names, prepared);
        let mut all: Vec<Command<'_>> = setup.iter().copied().map(Command::Setup).collect();
        all.extend_from_slice(commands);
        let mut replies = self.run_pipeline(&all, limit).await?;
        for (step, reply) in setup.iter().zip(replies.drain(..setup.len())) {
            if let Err((code, detail)) = reply.result {
                self.pending_replies += 1; // Keeps the connection from being used again.
                return Err(ConnectionError::Broken(format!(
                    "setup failed: {code} {detail}"
                )));
            }
            self.record_setup(step);
        }
        Ok(replies)
    }

    fn record_setup(&mut self, step: &SetupStep<'_>) {
        match step {
            SetupStep::Reset => {
                self.variables.clear();
                self.prepared_names.clear();
            }
            SetupStep::Set(name, value) => {
                self.variables.insert((*name).into(), (*value).into());
            }
            SetupStep::Prepare(prepared) => {
                self.prepared_names.insert(prepared.name.clone());
            }
        }
    }

    /// Runs commands in one pipeline.
    pub(in crate::relay) async fn run_pipeline(
        &mut self,
        commands: &[Command<'_>],
        limit: Duration,
    ) -> Result<Vec<Reply>, ConnectionError> {
        let mut out = String::new();
        for command in commands {
            encode_command(command, &mut out);
        }
        self.pending_replies += commands.len();
        let exchange = async {
            self.send(&out).await?;
            let mut replies = Vec::with_capacity(commands.len());
            for _ in commands {
                replies.push(self.read_reply().await?);
            }
            Ok(replies)
        };
        timeout(limit, exchange)
            .await
            .map_err(|_elapsed| ConnectionError::NoReply)?
    }

    async fn send(&mut self, text: &str) -> Result<(), ConnectionError> {
        let result = self.stream.write_all(text.as_bytes()).await;
        result.map_err(|err| ConnectionError::Broken(err.to_string()))
    }

    async fn read_reply(&mut self) -> Result<Reply, ConnectionError> {
        let mut rows = Vec::new();
        let mut result = Err((Code::Failed, "no result".to_owned()));
        loop {
            let line = self.read_line().await?;
            match parse_reply_line(&line).map_err(|err| ConnectionError::Broken(err.to_string()))? {
                ReplyLine::Row(row) => rows.push(row.to_owned()),
                ReplyLine::Complete(signature) => result = Ok(signature.to_owned()),
                ReplyLine::Error(code, detail) => result = Err((code, detail.to_owned())),
                ReplyLine::Ready(state, position) => {
                    self.pending_replies -= 1;
                    self.state = state;
                    self.last_used = clock::now();
                    self.large_reply = None;
                    return Ok(Reply {
                        rows,
                        result,
                        state,
                        position,
                    });
                }
            }
        }
    }

    async fn read_line(&mut self) -> Result<String, ConnectionError> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(line)) => return Ok(line),
                Ok(None) => {}
                Err(err) => return Err(ConnectionError::Broken(err.to_string())),
            }
            if self.buffer.len() > LARGE_LINE_BYTES && self.large_reply.is_none() {
                // Fails only if the semaphore is closed, which it never is.
                let permit = Arc::clone(&self.large_replies).acquire_owned().await;
                self.large_reply = permit.ok();
            }
            self.buffer.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) => return Err(ConnectionError::Broken("closed by the upstream".into())),
                Ok(_) => {}
                Err(err) => return Err(ConnectionError::Broken(err.to_string())),
            }
        }
    }
}
