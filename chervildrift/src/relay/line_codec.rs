//! Framing of messages as lines.
//!
//! Only a line ending completes a message. If a connection ends inside a line, the beginning that
//! has arrived may look like a whole message with another meaning, so it is never handed out.

use memchr::memmem;
use quick_error::quick_error;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Length above which a line counts as large; ordinary messages are far shorter.
pub(in crate::relay) const LARGE_LINE_BYTES: usize = 32 << 10;

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
pub(in crate::relay) struct LineCodec {
    ending: &'static str,
    max_bytes: usize,
    /// Number of buffered bytes in which no line ending begins.
    searched: usize,
}

impl LineCodec {
    /// Creates a codec for lines of at most `max_bytes` in front of this ending.
    pub(in crate::relay) const fn new(ending: &'static str, max_bytes: usize) -> Self {
        Self {
            ending,
            max_bytes,
            searched: 0,
        }
    }
}

impl Decoder for LineCodec {
    type Item = String;
    type Error = LineCodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<String>, LineCodecError> {
        let ending = self.ending.as_bytes();
        let Some(found) = memmem::find(&src[self.searched..], ending) else {
            // The buffer may end with the beginning of a line ending.
            self.searched = src.len().saturating_sub(ending.len() - 1);
            if self.searched > self.max_bytes {
                return Err(LineCodecError::TooLong);
            }
            return Ok(None);
        };
        let length = self.searched + found;
        self.searched = 0;
        let line = src.split_to(length + ending.len());
        if length > self.max_bytes {
            return Err(LineCodecError::TooLong);
        }
        if length > LARGE_LINE_BYTES {
            // An idle connection doesn't keep the memory of its largest line.
            *src = BytesMut::from(src.as_ref());
        }
        Ok(Some(std::str::from_utf8(&line[..length])?.to_owned()))
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<String>, LineCodecError> {
        match self.decode(buf)? {
            None if !buf.is_empty() => Err(LineCodecError::Incomplete),
            line => Ok(line),
        }
    }
}
