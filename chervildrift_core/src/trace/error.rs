//! Errors of traces.

use quick_error::quick_error;

quick_error! {
    /// Errors of reading or writing a trace.
    #[derive(Debug)]
    pub enum Error {
        /// A line is not valid.
        InvalidLine(line: usize, err: serde_json::Error) {
            display("line {}: {}", line, err)
            source(err)
        }
        /// An event or outcome comes before the `opened` line.
        MissingOpened {
            display("the trace does not begin with an `opened` line")
        }
        /// A line can't be written.
        Write(err: serde_json::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}
