//! Errors of the commands.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// A settings file is not valid.
        Settings(path: PathBuf, finding: chervildrift_core::config::Finding) {
            display("{}:{}", path.display(), finding)
        }
        /// The VM failed to start.
        Start(err: crate::serve::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The relaying VM failed to start.
        Relay(err: crate::relay::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The operators' files can't be read.
        Collect(err: crate::operator_files::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The configuration can't be published.
        Publish(err: crate::publish::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The demo fleet failed.
        Try(err: crate::try_out::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The report can't be fetched.
        Report(err: crate::report::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The request can't be explained.
        Explain(err: crate::explain::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The trace can't be replayed.
        Replay(err: crate::replay::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The stand-in of an upstream failed.
        Upstream(err: chervildrift_standin::upstream::Error) {
            display("stand-in upstream: {}", err)
            source(err)
            from()
        }
        /// The stand-in of the platform failed.
        Platform(err: chervildrift_standin::platform::Error) {
            display("stand-in platform: {}", err)
            source(err)
            from()
        }
        /// The runtime or a signal handler can't be set up.
        Runtime(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}
