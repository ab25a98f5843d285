//! Client of the line protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a client gives up on an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Answer to one message.
pub struct Answer {
    /// Line with the result, such as `COMPLETE` or `ERROR`.
    pub result: String,
}

impl Answer {
    /// Returns whether the statement succeeded.
    pub fn succeeded(&self) -> bool {
        self.result.starts_with("COMPLETE ")
    }

    /// Returns the error code, or an empty string.
    pub fn code(&self) -> &str {
        let rest = self.result.strip_prefix("ERROR ").unwrap_or_default();
        rest.split(' ').next().unwrap_or_default()
    }
}

/// Open session.
pub struct Session {
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Opens a session; `None` if it is refused.
    pub async fn open(address: SocketAddr, database: &str) -> Option<Self> {
        let connect = timeout(Duration::from_secs(2), TcpStream::connect(address));
        let stream = connect.await.ok()?.ok()?;
        let mut session = Self {
            reader: BufReader::new(stream),
        };
        let start = format!("START {database} client\r\n");
        session.send(&start).await?;
        let line = timeout(Duration::from_secs(2), session.read_line());
        line.await.ok()??.starts_with("READY I").then_some(session)
    }

    /// Runs a statement; `None` if the connection ends or there is no answer in time.
    pub async fn run(&mut self, text: &str) -> Option<Answer> {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        let id = COUNT.fetch_add(1, Ordering::Relaxed);
        let message = format!("QUERY {id:016x} {text}\r\n");
        let exchange = async {
            self.send(&message).await?;
            let mut result = String::new();
            loop {
                let line = self.read_line().await?;
                if line.starts_with("READY ") {
                    return Some(Answer { result });
                }
                if !line.starts_with("ROW ") {
                    result = line;
                }
            }
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }

    async fn send(&mut self, message: &str) -> Option<()> {
        self.reader.get_mut().write_all(message.as_bytes()).await.ok()
    }

    /// Reads a line without its CR LF.
    async fn read_line(&mut self) -> Option<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            if self.reader.read_until(b'\n', &mut line).await.ok()? == 0 {
                return None;
            }
        }
        line.truncate(line.len() - 2);
        String::from_utf8(line).ok()
    }
}
