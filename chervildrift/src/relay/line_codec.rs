//! Framing of messages as lines.
//!
//! Only a line ending completes a message. If a connection ends inside a line, the beginning that
//! has arrived may look like a whole message with another meaning, so it is never handed out.

use memchr::memchr;
use quick_error::quick_error;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::Decoder;

quick_error! {
    /// Reason why no further line can be read.
    #[derive(Debug)]
    pub enum LineCodecError {
        /// The connection failed.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// The connection ended inside a line.
        Incomplete {
            display("connection ended inside a line")
        }
        /// The line is longer than allowed.
        TooLong {
            display("line too long")
        }
        /// The line is not valid UTF-8.
        Encoding(err: std::str::Utf8Error) {
            from()
            display("{err}")
        }
    }
}

/// Decoder of lines without their endings.
#[derive(Debug)]
pub(super) struct LineCodec {
    max_bytes: usize,
    /// Number of buffered bytes that contain no line ending.
    searched: usize,
}

impl LineCodec {
    /// Creates a codec for lines of at most `max_bytes`.
    pub(super) const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            searched: 0,
        }
    }
}

impl Decoder for LineCodec {
    type Item = String;
    type Error = LineCodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LineCodecError> {
        let Some(found) = memchr(b'\n', &buffer[self.searched..]) else {
            self.searched = buffer.len();
            if buffer.len() > self.max_bytes {
                return Err(LineCodecError::TooLong);
            }
            return Ok(None);
        };
        let line = buffer.split_to(self.searched + found + 1);
        self.searched = 0;
        if line.len() > self.max_bytes + 1 {
            return Err(LineCodecError::TooLong);
        }
        let line = &line[..line.len() - 1];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        Ok(Some(std::str::from_utf8(line)?.to_owned()))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LineCodecError> {
        match self.decode(buffer)? {
            None if !buffer.is_empty() => Err(LineCodecError::Incomplete),
            line => Ok(line),
        }
    }
}
