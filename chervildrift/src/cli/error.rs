//! Errors of the commands.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
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
        /// The VM could not start.
        Start(err: crate::serve::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The relaying VM could not start.
        Relay(err: crate::relay::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The operators' files could not be collected.
        Collect(err: crate::operator_files::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The configuration was not published.
        Publish(err: crate::publish::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The embedded default did not start.
        Try(err: crate::try_out::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The report could not be made.
        Report(err: crate::report::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The request could not be explained.
        Explain(err: crate::explain::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The trace could not be replayed.
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
        /// A runtime could not be started or a signal not be awaited.
        Runtime(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}
