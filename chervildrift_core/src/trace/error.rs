//! Errors of traces.

use quick_error::quick_error;

quick_error! {
    /// Why a trace can't be read or written.
    #[derive(Debug)]
    pub enum Error {
        /// A line is not valid.
        InvalidLine(line: usize, err: serde_json::Error) {
            display("line {}: {}", line, err)
            source(err)
        }
        /// An event comes before the line that opens the coordinator.
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
