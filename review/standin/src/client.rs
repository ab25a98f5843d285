//! Client of the line protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::record::Record;

/// Response to a statement; the result is empty if the connection ended before it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub rows: Vec<String>,
    pub result: String,
    pub ready: String,
}

impl Response {
    /// Returns whether the client got a success with a database's signature.
    pub fn is_success(&self) -> bool {
        self.result.starts_with("COMPLETE sig.") && !self.ready.is_empty()
    }
}

/// Session of a client.
pub struct Client<'a> {
    name: String,
    reader: BufReader<TcpStream>,
    record: &'a Record,
}

impl<'a> Client<'a> {
    /// Connects and starts a session; `None` if it is refused.
    pub fn start(
        address: SocketAddr,
        database: &str,
        name: &str,
        record: &'a Record,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .ok()?;
        let mut client = Self {
            name: name.to_owned(),
            reader: BufReader::new(stream),
            record,
        };
        client.send(&format!("START {database} u3f1"));
        let response = client.receive();
        response.ready.starts_with("READY I").then_some(client)
    }

    /// Sends a message.
    pub fn send(&mut self, line: &str) {
        let shown: String = line.chars().take(160).collect();
        let rest = line.len() - shown.len();
        let rest = if rest == 0 {
            String::new()
        } else {
            format!(" and {rest} bytes more")
        };
        self.record
            .line(&format!("{} sends {shown:?}{rest}", self.name));
        // A connection that has ended shows at the next read.
        let _sent = self
            .reader
            .get_mut()
            .write_all(format!("{line}\r\n").as_bytes());
    }

    /// Reads the response to one message.
    pub fn receive(&mut self) -> Response {
        let mut response = Response::default();
        loop {
            let mut line = String::new();
            let read = self.reader.read_line(&mut line);
            if !matches!(read, Ok(count) if count > 0) {
                break;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if let Some(row) = line.strip_prefix("ROW ") {
                response.rows.push(row.to_owned());
            } else if line.starts_with("READY ") {
                response.ready = line.to_owned();
                break;
            } else {
                response.result = line.to_owned();
            }
        }
        self.record.line(&format!(
            "{} gets rows={:?} {:?} {:?}",
            self.name, response.rows, response.result, response.ready
        ));
        response
    }

    /// Sends a message and reads the response.
    pub fn query(&mut self, id: &str, text: &str) -> Response {
        self.send(&format!("QUERY {id} {text}"));
        self.receive()
    }
}
