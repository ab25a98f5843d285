//! Errors of the measurement.

use quick_error::quick_error;

quick_error! {
    /// Why the measurement ended early.
    #[derive(Debug)]
    pub enum Error {
        /// The demo fleet did not start.
        Start(err: chervildrift::try_out::Error) {
            display("embedded default: {err}")
            source(err)
            from()
        }
        /// A socket, a file or a runtime failed.
        Io(err: std::io::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// A request of the load failed.
        Http(err: reqwest::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The upstream refused a direct connection or statement.
        Upstream(err: tokio_postgres::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// A load task panicked.
        Task(err: tokio::task::JoinError) {
            display("{err}")
            source(err)
            from()
        }
        /// A request that the measurement depends on was refused, or had an answer of another form.
        Answer(text: String) {
            display("unexpected answer: {text}")
        }
        /// The group did not get a primary, confirm writes or rejoin the old primary in time.
        Unsettled(change: u64) {
            display("the group did not settle after change {change}")
        }
    }
}
