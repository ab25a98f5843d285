//! Errors of the measurement.

use quick_error::quick_error;

quick_error! {
    /// Why the measurement ended early.
    #[derive(Debug)]
    pub enum Error {
        /// The embedded default did not start.
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
        /// An answer that the measurement rests on was a refusal or had another form.
        Answer(text: String) {
            display("unexpected answer: {text}")
        }
        /// A group did not settle after a change of primary.
        Unsettled(change: u64) {
            display("the group did not settle after change {change}")
        }
    }
}
